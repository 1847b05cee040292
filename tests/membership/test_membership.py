"""Failure detection in a simulated fleet."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from ospreyford.membership.member import MemberState
from ospreyford.membership.messages import (
    INDIRECT_PROBE_TOPIC,
    PING_TOPIC,
    IndirectProbeRequest,
    IndirectProbeResponse,
)
from ospreyford.membership.repairmessages import COMPARE_TOPIC, SYNC_TOPIC
from tests.fakes.stepping import SteppedTask
from tests.membership.world import Process, World, get_states, make_host

LIVE = MemberState.live
SUSPECT = MemberState.suspect
DEAD = MemberState.dead
LEAVING = MemberState.leaving


def start_fleet(zones: str, seed: int = 1) -> tuple[World, list[Process]]:
    """Start one process for each letter, in the zone of that letter."""
    world = World(seed)
    hosts = [make_host(f'h{number}', zone) for number, zone in enumerate(zones)]
    processes = [world.start(listed, hosts) for listed in hosts]
    world.run(40)
    return world, processes


def isolate(
    world: World, isolated: list[Process], *, both_ways: bool = True
) -> None:
    """Partition the given processes from all others."""
    inside = {process.host.peer_address for process in isolated}
    every = {process.host.peer_address for process in world.processes}
    for outside in every - inside:
        world.cuts.update((address, outside) for address in inside)
        if both_ways:
            world.cuts.update((outside, address) for address in inside)


def count_deaths(process: Process) -> int:
    return process.membership.counters.deaths


def test_all_become_live() -> None:
    world, processes = start_fleet('aaabbb')
    for process in processes:
        assert set(get_states(process).values()) == {LIVE}
        assert not process.membership.is_stale()
        members = process.membership.members()
        assert {member.incarnation for member in members} == {
            other.incarnation for other in processes
        }
        assert len(process.membership.members(zone='a')) == 3
        assert not process.membership.members(role='entry')


@pytest.mark.parametrize('zones', ['aaa', 'aaaa', 'aaabbb', 'aabbcc', 'abcd'])
def test_killed_is_dead_everywhere(zones: str) -> None:
    world, processes = start_fleet(zones)
    world.kill(processes[0])
    world.run(60)
    for process in processes[1:]:
        expected = dict.fromkeys(get_states(process), LIVE) | {'h0': DEAD}
        assert get_states(process) == expected


def test_last_member_of_a_zone_uses_helpers_in_other_zones() -> None:
    """The last live member of a zone must detect the deaths of all others."""
    world, processes = start_fleet('aaaaaabbb')
    for lost in processes[1:6]:
        world.kill(lost)
    world.run(120)
    expected = dict.fromkeys(get_states(processes[0]), DEAD)
    expected.update(h0=LIVE, h6=LIVE, h7=LIVE, h8=LIVE)
    for process in (processes[0], *processes[6:]):
        assert get_states(process) == expected


def test_partitioned_zone_halves_rejoin() -> None:
    """Both halves of a zone must recover after a partition heals."""
    world, processes = start_fleet('aaaaaa')
    isolate(world, processes[:3])
    world.run(60)
    split = dict.fromkeys(get_states(processes[0]), LIVE)
    split.update(h3=DEAD, h4=DEAD, h5=DEAD)
    assert get_states(processes[0]) == split
    world.clear_faults()
    world.run(120)
    for process in processes:
        assert set(get_states(process).values()) == {LIVE}


def test_partitioned_zones_keep_each_others_states() -> None:
    """A partition between zones must not declare their members dead."""
    world, processes = start_fleet('aaaaabbbbb')
    isolate(world, processes[:5])
    world.run(300)
    assert sum(map(count_deaths, processes)) == 0
    assert set(get_states(processes[0]).values()) == {LIVE}
    assert processes[0].membership.list_silent_zones() == {'b'}
    world.clear_faults()
    world.run(60)
    assert not processes[0].membership.list_silent_zones()


def test_isolated_process_suspects_nobody() -> None:
    """An isolated process must not spread suspicions of all others."""
    world, processes = start_fleet('aaaaa')
    isolate(world, processes[:1])
    world.run(120)
    assert processes[0].membership.counters.suspicions == 0
    world.clear_faults()
    world.run(60)
    assert set(get_states(processes[0]).values()) == {LIVE}


def test_suspicion_started_before_isolation_does_not_expire() -> None:
    """A suspicion must not expire while its refutation cannot be received."""
    world, processes = start_fleet('aaaa')
    isolate(world, processes[1:2])
    while get_states(processes[0])['h1'] is LIVE:
        world.run(0.1)
    isolate(world, processes[:1])
    world.run(60)
    assert get_states(processes[0])['h1'] is SUSPECT


@pytest.mark.parametrize('seed', range(4))
def test_suspicion_timers_restart_after_a_pause(seed: int) -> None:
    """The time of a pause must not count towards suspicion timeouts."""
    world, processes = start_fleet('aaaa', seed)
    isolate(world, processes[1:2])
    while get_states(processes[0])['h1'] is LIVE:
        world.run(0.1)
    world.run(2)
    processes[0].is_paused = True
    world.clear_faults()
    world.run(60)
    world.wake(processes[0])
    assert processes[0].membership.is_stale()
    world.run(60)
    assert not processes[0].membership.is_stale()
    assert count_deaths(processes[0]) == 0
    assert processes[0].membership.counters.pauses == 1


def test_reused_address_does_not_keep_its_former_owner_live() -> None:
    """A response from a reused address must not count for the dead member."""
    world, processes = start_fleet('aaaa')
    world.kill(processes[1])
    reused = make_host('h9', 'a')._replace(peer_address=processes[1].host[7])
    world.start(reused, [processes[0].host])
    world.run(60)
    assert get_states(processes[0])['h1'] is DEAD
    assert get_states(processes[0])['h9'] is LIVE


def test_leaving_is_known_at_once_and_kept() -> None:
    world, processes = start_fleet('aaabbb')
    leaving = processes[0]
    leaving.stepper.spawn('leave', leaving.membership.leave())
    world.run(10)
    leaving.is_paused = True
    world.run(60)
    assert get_states(processes[1])['h0'] is DEAD
    world.wake(leaving)
    world.run(60)
    for process in processes:
        assert get_states(process)['h0'] is LEAVING
        assert len(process.membership.members()) == 5


def test_host_missing_from_the_list_stays_live() -> None:
    world, processes = start_fleet('aaa')
    for process in processes:
        process.membership.handle_hosts([])
    world.run(30)
    assert set(get_states(processes[0]).values()) == {LIVE}


@pytest.mark.parametrize(
    ('incarnation', 'expected'), [('', True), ('g', False)]
)
def test_helper_reports_the_incarnation_asked_for(
    incarnation: str,
    *,
    expected: bool,
) -> None:
    world, processes = start_fleet('aaa')
    address = processes[1].host.peer_address
    question = IndirectProbeRequest('h1', incarnation, address)
    task = call_handler(
        processes[0], INDIRECT_PROBE_TOPIC, msgspec.msgpack.encode(question)
    )
    world.run(2)
    answer = msgspec.msgpack.decode(task.answer, type=IndirectProbeResponse)
    assert answer.is_reachable is expected


def call_handler(process: Process, topic: str, body: bytes) -> SteppedTask:
    async def call() -> bytes | None:
        return await process.handlers[topic](body)

    return process.stepper.spawn('test', call())


numbers = st.integers(-9, 9)
leaves = st.one_of(st.none(), numbers, st.text(max_size=3))
trees = st.recursive(leaves, lambda inner: st.lists(inner, max_size=9))
encoded = trees.map(msgspec.msgpack.encode)
bodies = st.one_of(st.binary(max_size=100), encoded)
topics = st.sampled_from(
    (PING_TOPIC, INDIRECT_PROBE_TOPIC, COMPARE_TOPIC, SYNC_TOPIC)
)


def is_indirect_probe_request(body: bytes) -> bool:
    """Test whether a body decodes as an indirect probe request."""
    try:
        tree = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    texts = tree[:3] if isinstance(tree, list) else []
    return len(texts) == 3 and all(isinstance(one, str) for one in texts)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(topics, bodies)
def test_malformed_messages_are_dropped(topic: str, body: bytes) -> None:
    assume(topic != INDIRECT_PROBE_TOPIC or not is_indirect_probe_request(body))
    process = Process(World(), make_host('h0', 'a'), 1)
    task = call_handler(process, topic, body)
    assert task.done
    assert task.answer is None
    assert process.membership.counters.malformed_messages == 1


def test_unresponsive_listed_host_is_dead_everywhere() -> None:
    """The death of a host known only from the list must reach other zones."""
    world = World(1)
    hosts = [
        make_host(f'h{number}', zone) for number, zone in enumerate('aaab')
    ]
    hosts.append(make_host('h4', 'b'))
    processes = [world.start(listed, hosts) for listed in hosts[:4]]
    world.run(120)
    for process in processes:
        assert process.membership.state_of('h4') is DEAD
        process.membership.handle_hosts(hosts)
        assert process.membership.state_of('h4') is DEAD
