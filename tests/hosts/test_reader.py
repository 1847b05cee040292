"""Scheduling of reads of the platform's host list."""

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
    """Start a process that has read once, in a fleet of other readers."""
    world = World(size)
    process = world.start(select_unelected(world))
    assert world.run_step(process, (make_host(),))
    return world, process


def select_unelected(world: World) -> Host:
    """Select a host that is not elected in the next 20 terms."""
    term = int(world.clock.wall() // TERM_SECONDS)
    for host in world.hosts:
        member = world.membership.find(host.name)
        assert member is not None
        neighbours = Neighbours(member, world.membership, Random(1))
        terms = range(term, term + 20)
        if not any(
            neighbours.is_reader(READERS_PER_ZONE, one) for one in terms
        ):
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
    """An empty or missing list must not replace the last valid list."""
    host = make_host()
    late = (host._replace(state=HostState.leaving),)
    world = World(1)
    process = world.start(world.hosts[0])
    readings: list[Any] = [(host,), (), None, late]
    for reading in readings:
        assert world.run_step(process, reading)
    assert process.received == [(host,), late]


def test_readers_rotate() -> None:
    """A process must read rarely, but at some point, in a fleet at rest."""
    world, process = start_after_read()
    count = count_reads(world, process, 10 * HOUR)
    # A process is elected in a READERS_PER_ZONE / SIZE share of the terms.
    mean = 10 * HOUR / TERM_SECONDS * READERS_PER_ZONE / SIZE
    assert 0 < count < 10 * mean


@pytest.mark.parametrize('size', [1, 2, 3, 30])
def test_next_process_replaces_a_dead_reader(size: int) -> None:
    """The election must exclude dead readers."""
    world = World(size)
    term = int(world.clock.wall() // TERM_SECONDS)

    def find_readers() -> set[str]:
        return {
            one.name
            for one in world.membership.members()
            if Neighbours(one, world.membership, Random(1)).is_reader(
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
    """The list must be read while all elected readers fail."""
    world, process = start_after_read()
    until = world.clock.monotonic() + STALE_READING_SECONDS + 4 * TERM_SECONDS
    reads = 0
    while world.clock.monotonic() < until:
        reads += world.run_step(process, None)
    assert reads


@pytest.mark.parametrize('many', [False, True])
def test_a_large_list_is_not_read_at_each_turn(many: bool) -> None:
    """Reads of a large list must be rare, except after a pause."""
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
    """The whole fleet must not read at once after a platform outage."""
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
    """A pause, many missing listings or no live peers must trigger a read."""
    world, process = start_after_read(2 if reason == 'nobody' else SIZE)
    world.clock.advance(TERM_SECONDS)
    if reason == 'paused':
        world.membership.pause_count = 1
    elif reason == 'many':
        world.membership.many_missing = True
    else:
        # The only live process is elected.
        world.membership.record_member(world.hosts[1], MemberState.dead)
    reads = 0
    for _ in range(4):
        process.readings.record(world.clock.monotonic())
        reads += world.run_step(process, (make_host(),))
    assert reads


def test_exchanged_age_never_decreases() -> None:
    """Passing an age on must not make it younger."""
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
    """A single process with access to the platform must keep readings fresh."""
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
