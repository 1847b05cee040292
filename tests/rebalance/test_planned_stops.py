"""Planned stops of agents while a change of maps is under way."""

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

#: The first agent of a group stands first.
LEADER = 0
MEMBER = 2
ME, OTHER = ('10.0.0.1', 7), ('10.0.0.2', 7)
HOLDING_ORDERS = ((Hold, 1), (Arm, 1), (Arm, 2))


def stop_at(
    kind: type, rank: int, *agents: int
) -> Callable[[Cluster], OrderObserver]:
    """Stop agents when a rank has accepted an order of some kind."""

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
    """All streams of a group stood still for half a second and more.

    A coordinator was told to stop while a pass was held for its change of
    maps. It ended at once, with its grace unused; nobody could let the pass
    begin until a successor had waited for the silence to be long enough.
    """
    with run_cluster(stop_at(kind, rank, LEADER)) as cluster:
        cluster.threads[LEADER].join(TIMEOUT_SECONDS)
        held = cluster.list_held()
        assert not cluster.threads[LEADER].is_alive()
        assert any(isinstance(order, kind) for _, order, _ in cluster.submitted)
    assert not held


@pytest.mark.parametrize('kind', [Prepare, Arm])
def test_stopping_agent_answers_the_order_in_flight(kind: type) -> None:
    """A group was held until its coordinator gave up asking one agent.

    The agent was told to stop when its rank had accepted an order and the
    answer was on its way. It ended at once, so the coordinator heard neither
    yes nor no, asked again some times, and then reached past the agent, with
    the pass held all the while.
    """
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
    """Nobody is left to let a pass begin that is held as the last one ends."""
    everyone = range(SIZE)
    with run_cluster(stop_at(kind, 1, *everyone)) as cluster:
        for thread in cluster.threads:
            thread.join(TIMEOUT_SECONDS)
        held = cluster.list_held()
        assert not any(thread.is_alive() for thread in cluster.threads)
    assert not held


@pytest.mark.parametrize(('is_retired', 'token'), [(False, 9), (True, 8)])
def test_stale_leave_grant_is_ignored(token: int, *, is_retired: bool) -> None:
    """It is late, for an earlier process, or of a replaced coordinator."""
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
