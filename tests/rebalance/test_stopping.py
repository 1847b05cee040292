"""Planned stops of agents while a change of maps is under way."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ospreyford.rebalance.decisions import OrderCarriedOut
from ospreyford.rebalance.group import Arm, Hold, Order, Prepare
from tests.rebalance.runningagents import (
    WAIT_SECONDS,
    Cluster,
    Watch,
    run_cluster,
)

#: The first agent of a group stands first.
LEADER = 0
MEMBER = 2
HELD = ((Hold, 1), (Arm, 1), (Arm, 2))


def stop_at(kind: type, rank: int, agent: int) -> Callable[[Cluster], Watch]:
    """Stop an agent when a rank has accepted an order of some kind."""

    def watch(cluster: Cluster) -> Watch:
        def stop(given: int, order: Order) -> None:
            if isinstance(order, kind) and given == rank:
                cluster.stop(agent)

        return stop

    return watch


@pytest.mark.parametrize(('kind', 'rank'), HELD)
def test_a_coordinator_that_stops_leaves_no_pass_held(
    kind: type, rank: int
) -> None:
    """All streams of a group stood still for half a second and more.

    A coordinator was told to stop while a pass was held for its change of
    maps. It ended at once, with its grace unused; nobody could let the pass
    begin until a successor had waited for the silence to be long enough.
    """
    with run_cluster(stop_at(kind, rank, LEADER)) as cluster:
        cluster.threads[LEADER].join(WAIT_SECONDS)
        held = cluster.list_held()
        assert not cluster.threads[LEADER].is_alive()
        assert any(isinstance(order, kind) for _, order, _ in cluster.given)
    assert not held


@pytest.mark.parametrize('kind', [Prepare, Arm])
def test_an_agent_that_stops_answers_the_order_under_way(kind: type) -> None:
    """A group was held until its coordinator gave up asking one agent.

    The agent was told to stop when its rank had accepted an order and the
    answer was on its way. It ended at once, so the coordinator heard neither
    yes nor no, asked again some times, and then reached past the agent, with
    the pass held all the while.
    """
    with run_cluster(stop_at(kind, MEMBER, MEMBER)) as cluster:
        cluster.threads[MEMBER].join(WAIT_SECONDS)
        near = [
            type(order).__name__
            for rank, order, is_near in tuple(cluster.given)
            if rank == MEMBER and is_near
        ]
        lines = cluster.lines[MEMBER].find(OrderCarriedOut)
        answered = [line.order for line in lines]
    assert kind.__name__ in near
    assert answered == near
