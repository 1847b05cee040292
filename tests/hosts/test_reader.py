"""Who reads the platform's host list, and when."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from ospreyford.distribution.members import Neighbours
from ospreyford.hosts.reader import (
    READERS_PER_ZONE,
    STALE_READING_SECONDS,
    TERM_SECONDS,
)
from ospreyford.hosts.readings import Readings
from ospreyford.membership.member import MemberState
from ospreyford.ports.fleet import Host, HostState
from tests.fakes.clock import FakeClock
from tests.hosts.fleet import ReaderProcess, World, make_host

HOUR = 3600
SIZE = 200
START = FakeClock().seconds


def start_after_read(size: int = SIZE) -> tuple[World, ReaderProcess]:
    """Start one process that has read once, among others that read."""
    world = World(size)
    process = world.start(select_unelected(world))
    assert world.run_step(process, (make_host(),))
    return world, process


def select_unelected(world: World) -> Host:
    """Find a host whose turn does not come in the next minutes."""
    term = int(world.clock.wall() // TERM_SECONDS)
    for host in world.hosts:
        member = world.membership.find(host.name)
        assert member is not None
        neighbours = Neighbours(member, world.membership, Random(1))
        terms = range(term, term + 20)
        if not any(neighbours.reads(READERS_PER_ZONE, one) for one in terms):
            return host
    return world.hosts[0]


def count_reads(world: World, process: ReaderProcess, seconds: float) -> int:
    until = world.clock.monotonic() + seconds
    count = 0
    while world.clock.monotonic() < until:
        process.readings.record(world.clock.monotonic())
        count += world.run_step(process, (make_host(),))
    return count


def test_empty_and_missing_lists_change_nothing() -> None:
    """An empty list is the platform's fault, not a fleet that is gone.

    Symptom: every request is refused for want of hosts.
    Sequence: the platform answers with an empty list, or not at all.
    Cause: the last good list was dropped for it.
    """
    host = make_host()
    late = (host._replace(state=HostState.leaving),)
    world = World(1)
    process = world.start(world.hosts[0])
    readings: list[Any] = [(host,), (), None, late]
    for reading in readings:
        assert world.run_step(process, reading)
    assert process.received == [(host,), late]


def test_readers_rotate() -> None:
    """Symptom: 22.6 KB/s of host list a process at 5,500 hosts.

    Sequence: the fleet is at rest.
    Cause: each process read the whole list every 55 s.
    """
    world, process = start_after_read()
    count = count_reads(world, process, 10 * HOUR)
    # The share of the terms in which a process is chosen is READERS / SIZE.
    mean = 10 * HOUR / TERM_SECONDS * READERS_PER_ZONE / SIZE
    assert 0 < count < 10 * mean


@pytest.mark.parametrize('size', [1, 2, 3, 30])
def test_next_process_replaces_a_dead_reader(size: int) -> None:
    """Symptom: nobody reads the list, and leaving marks are not seen.

    Sequence: the chosen readers of a zone die at once.
    Cause: the election still counts them.
    """
    world = World(size)
    term = int(world.clock.wall() // TERM_SECONDS)

    def find_readers() -> set[str]:
        return {
            one.name
            for one in world.membership.members()
            if Neighbours(one, world.membership, Random(1)).reads(
                READERS_PER_ZONE, term
            )
        }

    first = find_readers()
    assert len(first) == min(READERS_PER_ZONE, size)
    for name in first:
        world.membership.record_member(make_host(name), MemberState.dead)
    second = find_readers()
    assert len(second) == min(READERS_PER_ZONE, size - len(first))
    assert not first & second


def test_reads_out_of_turn_when_no_reading_is_known() -> None:
    """Symptom: a leaving mark is in force nowhere, for as long as it lasts.

    Sequence: the zone's readers answer their peers but are cut off from the
    platform, or are paused and not yet dead.
    Cause: only the chosen ones ever read.
    """
    world, process = start_after_read()
    until = world.clock.monotonic() + STALE_READING_SECONDS + 4 * TERM_SECONDS
    reads = 0
    while world.clock.monotonic() < until:
        reads += world.run_step(process, None)
    assert reads


@pytest.mark.parametrize('many', [False, True])
def test_a_large_list_is_not_read_at_each_turn(many: bool) -> None:
    """Symptom: 8.3 KB/s of host list in ten minutes at one process of 5,500.

    Sequence: it is chosen again by chance, or hears many new hosts that a
    lagging list does not show; then it is paused.
    Cause: each turn and each need was a reading.
    """
    world = World(2)
    world.membership.many_missing = many
    process = world.start(world.hosts[0])
    hosts = (make_host(),) * 5500
    until = world.clock.monotonic() + HOUR
    count = 0
    while world.clock.monotonic() < until:
        count += world.run_step(process, hosts)
    assert 2 < count < 8
    world.membership.pause_count = 1
    assert any([world.run_step(process, hosts), world.run_step(process, hosts)])


def test_out_of_turn_reads_are_spread() -> None:
    """Symptom: the platform is called by the whole fleet within a second.

    Sequence: the list is down for a minute, so that nobody hears of a
    reading; all processes notice it at one moment.
    Cause: each reads as soon as it notices.
    """
    world = World(SIZE)
    processes = []
    for host in world.hosts:
        process = world.start(host)
        now = world.clock.monotonic()
        world.run_step(process, (make_host(),))
        world.clock.seconds = now
        processes.append(process)
    world.clock.advance(STALE_READING_SECONDS + 5)
    now = world.clock.monotonic()
    at_once = 0
    for process in processes:
        at_once += world.run_step(process, None)
        world.clock.seconds = now
    assert at_once <= READERS_PER_ZONE


@pytest.mark.parametrize('reason', ['paused', 'nobody', 'many'])
def test_reads_out_of_turn_when_triggered(reason: str) -> None:
    """Symptom: a process goes on with hosts that are long gone.

    Sequence: it was paused while the fleet was replaced, or it is the only
    one it sees, or it hears many new hosts at once.
    Cause: it read once and waits for its turn.
    """
    world, process = start_after_read(2 if reason == 'nobody' else SIZE)
    world.clock.advance(TERM_SECONDS)
    if reason == 'paused':
        world.membership.pause_count = 1
    elif reason == 'many':
        world.membership.many_missing = True
    else:
        # The survivor is its zone's first reader.
        world.membership.record_member(world.hosts[1], MemberState.dead)
    reads = 0
    for _ in range(4):
        process.readings.record(world.clock.monotonic())
        reads += world.run_step(process, (make_host(),))
    assert reads


def test_exchanged_age_never_decreases() -> None:
    """Symptom: the list is read by nobody, and nobody notices.

    Sequence: the last reading is long ago; two processes go on telling each
    other its age.
    Cause: an age that is told rounded down, and heard as that much younger.
    """
    clock = FakeClock()
    pair = (Readings(clock), Readings(clock))
    assert pair[0].provide() == b''
    pair[0].record(clock.monotonic())
    for turn in range(200):
        clock.advance(0.5)
        sender = pair[turn % 2]
        receiver = pair[1 - turn % 2]
        receiver.consume('', sender.provide())
    assert min(readings.compute_age() for readings in pair) >= 100


@pytest.mark.parametrize('body', [b'', b'1', b'123', b'\xff' * 9])
def test_a_malformed_age_is_dropped(body: bytes) -> None:
    readings = Readings(FakeClock())
    readings.consume('', body)
    assert readings.provide() == b''


def test_one_process_reaching_the_platform_is_enough() -> None:
    """Symptom: a leaving mark is seen by nobody for as long as a fault lasts.

    Sequence: all processes of a zone but one are cut off from the platform,
    not from each other; their turns come and go.
    Cause: the one that could read waits for its turn.
    """
    world = World(40)
    processes = [world.start(host) for host in world.hosts]
    for process in processes:
        process.readings.record(world.clock.monotonic())
    rng = Random(1)
    read_times = [world.clock.monotonic()]
    while read_times[-1] < START + HOUR:
        started_at = world.clock.monotonic()
        for number, process in enumerate(processes):
            answer = None if number else (make_host(),)
            world.run_step(process, answer)
            world.clock.seconds = started_at
            sender = rng.choice(processes)
            process.readings.consume('', sender.readings.provide())
        if len(processes[0].received) == len(read_times):
            read_times.append(started_at)
        assert started_at - read_times[-1] < 2 * STALE_READING_SECONDS
        world.clock.seconds = started_at + 2
