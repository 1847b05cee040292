"""Garbage collection of tombstones without restoring removed documents."""

from __future__ import annotations

import pytest

from ospreyford.distribution.codec import encode_message
from ospreyford.distribution.entries import Entry, make_head
from ospreyford.distribution.exchange import PeerExchange
from ospreyford.distribution.messages import (
    DifferingChildren,
    Digest,
    Page,
    Topic,
)
from ospreyford.distribution.pull import Pull
from ospreyford.distribution.replica import Replica
from ospreyford.distribution.state import State
from ospreyford.distribution.versions import Verdict
from tests.distribution.test_failures import POOL, build_fleet
from tests.distribution.world import (
    MALFORMED,
    SETTINGS,
    FakeClock,
    FakePeers,
    World,
    is_well_formed,
)
from tests.fakes.stepping import Stepper

FLOOR = 8
PUBLISHED = Entry('pool', 5, b'old')
TOMBSTONE = Entry('pool', 7, b'', deleted=True)
REPUBLISHED = Entry('pool', 12, b'again')
BAD = Entry('pool', 12, MALFORMED)


def run_past_retention(world: World) -> None:
    until = world.find_slowest_clock() + SETTINGS.tombstone_seconds * 2
    while world.find_slowest_clock() < until:
        world.move()


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('mode', ['up', 'stale', 'flap', 'down'])
def test_paused_process_with_a_removed_document(seed: int, mode: str) -> None:
    """Guards against a paused process restoring a removed document.

    All others collect the tombstone during the pause, and a fresh process
    bootstraps afterwards.
    """
    world = build_fleet(seed)
    paused = world.list_processes()[0]
    tasks = world.suspend(paused)
    world.store.delete(POOL)
    run_past_retention(world)
    for process in world.list_processes():
        assert not process.distributor.snapshot()
    world.mode = mode
    world.restore(paused, tasks)
    state = paused.distributor._state
    state.rumours.add(POOL)
    fresh = world.replace(world.list_processes()[0])
    assert world.run_until_ready(fresh)
    assert world.run_until_converged()
    for process in world.list_processes():
        assert (
            POOL not in process.read_newest_keys()
            or process.read_newest_keys()[POOL][1]
        )
    run_past_retention(world)
    sums = {
        one.distributor._state.replica.checksum
        for one in world.list_processes()
    }
    assert sums == {0}


def test_tombstones_are_collected() -> None:
    """Guards against unbounded growth by tombstones."""
    world = build_fleet(1)
    for number in range(200):
        world.store.publish(f'limits-{number}', b'x')
        world.store.delete(f'limits-{number}')
    assert world.run_until_converged()
    run_past_retention(world)
    for process in world.list_processes():
        assert [one.name for one in process.distributor.snapshot()] == [POOL]
        counters = process.distributor.counters
        assert counters.tombstones_collected == 200
    world.store.publish('limits-7', b'again')
    assert world.run_until_converged()


@pytest.mark.parametrize(
    ('held', 'offered', 'verdict'),
    [
        ([PUBLISHED, TOMBSTONE], PUBLISHED, Verdict.older),
        ([PUBLISHED, TOMBSTONE], TOMBSTONE, Verdict.older),
        ([PUBLISHED, TOMBSTONE], REPUBLISHED, Verdict.accepted),
        ([PUBLISHED, TOMBSTONE, BAD], PUBLISHED, Verdict.older),
        ([PUBLISHED, TOMBSTONE, REPUBLISHED], PUBLISHED, Verdict.older),
        ([PUBLISHED], PUBLISHED, Verdict.known),
        (
            [PUBLISHED],
            PUBLISHED._replace(text=b'other'),
            Verdict.conflict_accepted,
        ),
        ([PUBLISHED], PUBLISHED._replace(revision=4), Verdict.older),
    ],
)
def test_floor_rejects_older_versions(
    held: list[Entry], offered: Entry, verdict: Verdict
) -> None:
    replica = Replica(is_well_formed)
    for entry in held:
        replica.accept(entry)
    replica.raise_floor(FLOOR)
    assert not any(entry.deleted for entry in replica)
    assert replica.covers('pool', TOMBSTONE.revision)
    accepted = {Verdict.accepted, Verdict.conflict_accepted}
    assert replica.lacks(make_head(offered)) is (verdict in accepted)
    assert replica.accept(offered) is verdict


@pytest.mark.parametrize(('floor', 'is_complete'), [(FLOOR, True), (0, False)])
def test_peer_restarted_after_its_digest(floor: int, is_complete: bool) -> None:
    """Guards against taking an empty peer's documents for removed.

    The peer restarts at the same address after sending its digest.
    """
    clock, stepper = FakeClock(), Stepper()
    state = State(SETTINGS, clock, is_well_formed)
    state.apply((PUBLISHED,))
    state.mark_bootstrapped()
    pull = Pull(state, PeerExchange(state, FakePeers(clock)))
    peer_digest = Digest(5, 1, 9, bootstrapped=True, stale=False, floor=FLOOR)
    task = stepper.spawn('merge', pull.pull_missing('peer', peer_digest))
    obsolete = frozenset((make_head(PUBLISHED).fingerprint,))
    while not task.done:
        assert task.waiting is not None
        is_leaf = task.waiting.note.topic == Topic.leaf
        page = Page((), has_more=False, obsolete=obsolete, floor=floor)
        stepper.resume(
            task, encode_message(page if is_leaf else DifferingChildren((0,)))
        )
    assert task.answer is is_complete
    assert state.replica.covers('pool', PUBLISHED.revision)


def test_floor_waits_for_missed_changes() -> None:
    """Guards against a floor above an earlier change not yet received."""
    clock = FakeClock()
    state = State(SETTINGS, clock, is_well_formed)
    state.apply((TOMBSTONE,))
    state.raise_complete_revision(3)
    state.mark_bootstrapped()
    for _ in range(20):
        clock.now += SETTINGS.tombstone_seconds / 4
        state.collect_tombstones()
    assert state.apply((Entry('missed', 5, b'text'),)) == 1
    assert state.replica.covers('pool', TOMBSTONE.revision)
