"""Regression tests of single failure scenarios."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from ospreyford.distribution.entries import Entry
from tests.distribution.world import MALFORMED, MAX_MOVES, SETTINGS, World

POOL = 'pool'
ONE_READER = msgspec.structs.replace(SETTINGS, readers_per_zone=1)


def build_fleet(seed: int, size: int = 4) -> World:
    world = World(rng=Random(seed))
    world.replicas.append(world.store.copy())
    world.store.publish(POOL, b'first')
    for number in range(size):
        world.start(f'host-{number}')
    assert world.run_until_converged()
    return world


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('mode', ['stale', 'flap', 'down'])
def test_fresh_process_with_stale_service(seed: int, mode: str) -> None:
    """Guards against a restarted process accepting a stale service's data."""
    world = build_fleet(seed)
    world.mode = mode
    fresh = world.replace(world.list_processes()[0])
    assert world.run_until_ready(fresh)
    assert fresh.read_newest_keys()[POOL][0] == world.store.revision


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('mode', ['up', 'stale', 'down'])
def test_fresh_process_after_a_malformed_document(seed: int, mode: str) -> None:
    """Guards against a fresh process without the last good version."""
    world = build_fleet(seed)
    world.store.publish(POOL, MALFORMED)
    assert world.run_until_converged()
    world.mode = mode
    fresh = world.replace(world.list_processes()[0])
    assert world.run_until_ready(fresh)
    assert fresh.read_good_keys()[POOL][2] == b'first'
    assert fresh.read_newest_keys()[POOL][2] == MALFORMED
    assert world.run_until_converged()


@pytest.mark.parametrize('seed', range(6))
def test_fresh_processes_in_a_partition(seed: int) -> None:
    """Guards against a cold start while partitioned from all snapshots.

    Two fresh processes reach only each other, and the service is stale.
    """
    world = build_fleet(seed, size=6)
    world.mode = 'stale'
    first, second, *_ = world.list_processes()
    fresh = [world.replace(first), world.replace(second)]
    world.undetected_dead.clear()
    world.cut = frozenset(one.member.peer_address for one in fresh)
    for _ in range(MAX_MOVES):
        world.move()
    assert not any(one.ready for one in fresh)
    world.heal()
    assert world.run_until_converged()


@pytest.mark.parametrize('seed', range(6))
def test_pause_expires_cold_start_permit(seed: int) -> None:
    """Guards against a cold start with a permit from before a pause.

    The others bootstrap and documents change while it is paused.
    """
    world = World(rng=Random(seed))
    world.store.publish(POOL, b'first')
    world.replicas.append(world.store.copy())
    world.mode = 'down'
    paused = world.start('host-0')
    for number in (2, 4):
        world.start(f'host-{number}')
    for _ in range(600):
        world.move()
    tasks = world.suspend(paused)
    world.mode = 'up'
    world.store.publish(POOL, b'second')
    assert world.run_until_converged()
    newest = world.list_processes()[0].read_newest_keys()
    world.restore(paused, tasks)
    world.mode = 'stale'
    assert world.run_until_ready(paused)
    assert paused.read_newest_keys() == newest


@pytest.mark.parametrize('seed', range(6))
def test_rumour_ahead_of_an_unread_change(seed: int) -> None:
    """Guards against a watch that skips a change not yet read.

    A rumour brings revision 3 to a reader that has not read revision 2.
    """
    world = build_fleet(seed)
    world.mode = 'down'
    world.store.publish('limits', b'second')
    newer = world.store.copy()
    newer.publish('drain', b'third')
    world.store.revision = newer.revision
    world.store.documents = newer.documents
    first = world.list_processes()[0]
    state = first.distributor._state
    state.apply((make_entry(world, 'drain'),))
    for _ in range(1_000):
        world.move()
    world.heal()
    assert world.run_until_converged()


@pytest.mark.parametrize('seed', range(6))
def test_text_from_an_older_replica(seed: int) -> None:
    """Guards against completing a revision whose text was read stale.

    The watch reaches a current replica, the read of the text a stale one.
    """
    world = build_fleet(seed)
    world.replicas = [world.store.copy()]
    world.store.publish(POOL, b'second')
    world.mode = 'flap'
    for _ in range(300):
        world.move()
    world.heal()
    assert world.run_until_converged()


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('name', [POOL, 'new'])
@pytest.mark.parametrize('older', [1, 2, 3])
def test_round_robin_over_stale_replicas(
    seed: int, name: str, older: int
) -> None:
    """Guards against reads in phase with round-robin load balancing.

    Each watch of the only reader reaches the current replica, each read of a
    text a stale one.
    """
    world = World(rng=Random(seed), settings=ONE_READER)
    world.store.publish(POOL, b'first')
    for number in (0, 2, 4):
        world.start(f'host-{number}')
    assert world.run_until_converged()
    world.replicas = [world.store.copy() for _ in range(older)]
    world.store.publish(name, b'second')
    world.mode = 'turns'
    assert world.run_until_converged()


@pytest.mark.parametrize('seed', range(6))
def test_two_texts_of_one_revision(seed: int) -> None:
    """Guards against permanent divergence on conflicting texts."""
    world = build_fleet(seed)
    held = world.store.documents[POOL]
    texts = [b'left', b'right', b'centre', b'outer']
    for text, process in zip(texts, world.processes.values(), strict=True):
        published = held._replace(revision=held.revision + 1, text=text)
        world.store.documents[POOL] = published
        process.distributor._state.apply((make_entry(world, POOL),))
    world.store.revision += 1
    assert world.run_until_converged()
    for process in world.processes.values():
        assert process.read_newest_keys()[POOL][2] == b'right'
    counts = [one.distributor.counters for one in world.processes.values()]
    assert any(one.conflicts for one in counts)


@pytest.mark.parametrize('seed', range(6))
def test_snapshot_interrupted_between_pages(seed: int) -> None:
    """Guards against readiness with a partial snapshot."""
    world = World(rng=Random(seed))
    for number in range(40):
        world.store.publish(f'limits-{number}', bytes(30_000))
    for number in range(3):
        world.start(f'host-{number}')
    assert world.run_until_converged()
    world.mode = 'down'
    fresh = world.start('host-3')
    sizes = []
    fresh.distributor.subscribe(lambda changed: sizes.append(len(changed)))
    world.loss = 0.3
    assert world.run_until_ready(fresh)
    assert len(fresh.read_newest_keys()) == len(world.store.documents)
    assert sizes[0] == len(world.store.documents)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('newer', [0, 1])
def test_change_found_by_anti_entropy(seed: int, newer: int) -> None:
    """Guards against anti-entropy missing a change that gossip lost.

    If all processes hold a newer revision, only the checksum tree finds it.
    """
    world = build_fleet(seed)
    world.mode = 'down'
    world.store.publish('limits', b'missed')
    first = world.list_processes()[0]
    missed = make_entry(world, 'limits')
    first.distributor._state.apply((missed,), announce=False)
    for _ in range(newer):
        world.store.publish(POOL, b'newer')
        for process in world.list_processes():
            process.distributor._state.apply((make_entry(world, POOL),))
    assert world.run_until_converged()


def make_entry(world: World, name: str) -> Entry:
    return Entry(name, *world.store.documents[name])
