"""Graceful shutdown of agents during a map change."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from ospreyford.rebalance.decisions import OrderCarriedOut
from ospreyford.rebalance.election import Election
from ospreyford.rebalance.group import Arm, Hold, Order, Prepare
from ospreyford.rebalance.messages import LeaveGranted
from ospreyford.rebalance.shutdown import GracefulShutdown
from tests.fakes.clock import FakeClock
from tests.rebalance.runningagents import (
    SIZE,
    TIMEOUT_SECONDS,
    Cluster,
    OrderObserver,
    run_cluster,
)

#: The first agent wins the election.
LEADER = 0
MEMBER = 2
ME, OTHER = ('10.0.0.1', 7), ('10.0.0.2', 7)
HOLDING_ORDERS = ((Hold, 1), (Arm, 1), (Arm, 2))


def stop_at(
    kind: type, rank: int, *agents: int
) -> Callable[[Cluster], OrderObserver]:
    """Stop agents once a rank has accepted an order of a given type."""

    def watch(cluster: Cluster) -> OrderObserver:
        def stop(given: int, order: Order) -> None:
            if isinstance(order, kind) and given == rank:
                for agent in agents:
                    cluster.stop(agent)

        return stop

    return watch


@pytest.mark.parametrize(('kind', 'rank'), HOLDING_ORDERS)
def test_stopping_coordinator_leaves_no_pass_held(
    kind: type, rank: int
) -> None:
    """Guards against a group blocked until its next coordinator takes over."""
    with run_cluster(stop_at(kind, rank, LEADER)) as cluster:
        cluster.threads[LEADER].join(TIMEOUT_SECONDS)
        held = cluster.list_held()
        assert not cluster.threads[LEADER].is_alive()
        assert any(isinstance(order, kind) for _, order, _ in cluster.submitted)
    assert not held


@pytest.mark.parametrize('kind', [Prepare, Arm])
def test_stopping_agent_answers_the_order_in_flight(kind: type) -> None:
    """Guards against a group held while requests to a stopped agent expire."""
    with run_cluster(stop_at(kind, MEMBER, MEMBER)) as cluster:
        cluster.threads[MEMBER].join(TIMEOUT_SECONDS)
        near = [
            type(order).__name__
            for rank, order, is_near in tuple(cluster.submitted)
            if rank == MEMBER and is_near
        ]
        lines = cluster.lines[MEMBER].find(OrderCarriedOut)
        answered = [line.order for line in lines]
    assert kind.__name__ in near
    assert answered == near


@pytest.mark.parametrize('kind', [Prepare, Hold, Arm])
def test_agents_stopping_together_leave_no_pass_held(kind: type) -> None:
    """Guards against a held pass that no agent is left to release."""
    everyone = range(SIZE)
    with run_cluster(stop_at(kind, 1, *everyone)) as cluster:
        for thread in cluster.threads:
            thread.join(TIMEOUT_SECONDS)
        held = cluster.list_held()
        assert not any(thread.is_alive() for thread in cluster.threads)
    assert not held


@pytest.mark.parametrize(('is_retired', 'token'), [(False, 9), (True, 8)])
def test_stale_leave_grant_is_ignored(token: int, *, is_retired: bool) -> None:
    """Covers grants to an earlier process or from a replaced coordinator."""
    nothing: Any = None
    election = Election(ME, FakeClock())
    election.handle_heartbeat(9, OTHER)
    if is_retired:
        election.withdraw()
    leaving = GracefulShutdown(ME, nothing, election, nothing, nothing)
    leaving.handle_leave_granted(LeaveGranted(token))
    assert not leaving.may_end
    election.withdraw()
    leaving.handle_leave_granted(LeaveGranted(9))
    assert leaving.may_end
