from __future__ import annotations

import pytest

from ospreyford.membership.member import MemberState
from tests.membership.world import Process, World, host, states

LIVE = MemberState.live
DEAD = MemberState.dead
LEAVING = MemberState.leaving


def fleet(zones: str, seed: int = 1) -> tuple[World, list[Process]]:
    """Start one process for each letter, in the zone of that letter."""
    world = World(seed)
    hosts = [host(f'h{number}', zone) for number, zone in enumerate(zones)]
    return world, [world.start(listed, hosts) for listed in hosts]


def test_all_become_live() -> None:
    world, processes = fleet('aaabbb')
    assert all(process.membership.is_stale() for process in processes)
    world.run(60)
    for process in processes:
        assert set(states(process).values()) == {LIVE}
        assert not process.membership.is_stale()
        members = process.membership.members()
        assert {member.incarnation for member in members} == {
            other.incarnation for other in processes
        }


@pytest.mark.parametrize('zones', ['aaa', 'aaaa', 'aaabbb', 'aabbcc', 'abcd'])
def test_killed_is_dead_everywhere(zones: str) -> None:
    world, processes = fleet(zones)
    world.run(60)
    world.kill(processes[0])
    world.run(60)
    for process in processes[1:]:
        expected = dict.fromkeys(states(process), LIVE) | {'h0': DEAD}
        assert states(process) == expected
