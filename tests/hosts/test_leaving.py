"""Propagation of leaving marks to the marked agent."""

from __future__ import annotations

import pytest

from ospreyford.agent.drains import DrainState
from ospreyford.membership.member import MemberState
from tests.membership.world import Process, World, make_host

ZONES = 'aaabbb'
HOSTS = tuple(
    make_host(f'h{number}', zone) for number, zone in enumerate(ZONES)
)


def start() -> tuple[World, list[Process], DrainState]:
    world = World(1)
    processes = [world.start(one, HOSTS) for one in HOSTS]
    state = DrainState('h0')
    processes[0].membership.subscribe(state.handle_member_change)
    world.run(40)
    return world, processes, state


def list_cause_sources(state: DrainState) -> list[str]:
    return [one.source for one in state.find_causes()]


@pytest.mark.parametrize('reader', [1, 5])
def test_leaving_mark_reaches_the_marked_agent(reader: int) -> None:
    """A mark read by any process must reach its agent and persist."""
    world, processes, state = start()
    assert not state.find_causes()
    marked = make_host('h0', 'a', leaving=True)
    processes[reader].membership.handle_hosts([marked])
    world.run(20)
    assert list_cause_sources(state) == ['host list']
    for process in processes:
        process.membership.handle_hosts(HOSTS)
    world.run(20)
    assert list_cause_sources(state) == ['host list']
    states = {one.membership.state_of('h0') for one in processes}
    assert states == {MemberState.leaving}


def test_leaving_mark_of_an_earlier_instance_is_ignored() -> None:
    """A stale list must not mark the new instance of a host."""
    world, processes, state = start()
    marked = make_host('h0', 'a', generation=0, leaving=True)
    processes[1].membership.handle_hosts([marked])
    world.run(20)
    assert not state.find_causes()


def test_stopping_agent_is_not_reported_as_marked() -> None:
    """A planned stop must not be reported as a leaving mark."""
    world, processes, state = start()
    state.stopping = True
    processes[0].stepper.spawn('leave', processes[0].membership.leave())
    world.run(20)
    assert processes[0].membership.state_of('h0') is MemberState.leaving
    assert list_cause_sources(state) == ['signal']
