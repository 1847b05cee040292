"""Failures one by one, each as short as it can be told."""

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
    """Symptom: a replaced host takes work under a withdrawn document.

    The service serves an old replica; a host is replaced; its new process
    has no mark, and reads the service before it asks a peer.
    """
    world = build_fleet(seed)
    world.mode = mode
    fresh = world.replace(world.list_processes()[0])
    assert world.run_until_ready(fresh)
    assert fresh.read_newest_keys()[POOL][0] == world.store.revision


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('mode', ['up', 'stale', 'down'])
def test_fresh_process_after_a_malformed_document(seed: int, mode: str) -> None:
    """Symptom: after a typing error a replaced host routes unlike the others.

    A team publishes a malformed revision; every process keeps the good one
    before it. A host is replaced, and peers and service hand its new process
    the newest revision alone: nothing of that document is in force there.
    """
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
    """Symptom: a partition ends with two pictures, one of them older.

    Two hosts are replaced and cut off together, the service is stale; each
    fresh process meets only the other fresh one and trusts the service.
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
    """Symptom: a process wakes and serves the documents of yesterday.

    Everybody is fresh; one is paused with its permit to trust the service
    in hand. The others start, documents change, and its next call meets a
    replica of the service that is as old as the permit.
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
    """Symptom: one document stays old on all processes, without an error.

    A reader learns revision 3 by a rumour before it has read revision 2.
    If it watched behind the highest revision it holds, the service would
    never tell it of revision 2 again; the one who had read it is gone.
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
    """Symptom: a change is missed for good after the service flapped.

    The watch meets a new replica and tells of a change, the read of the
    text meets an old one. If the watch's revision were noted as read, the
    next watch would not tell of the change again.
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
    """Symptom: a change is published, and no process ever learns of it.

    The service's replicas answer in turn, and all but one are old. Each watch
    of the only reader meets the new one, the read of the text that follows
    an old one; the calls of each reading are as many as the replicas.
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
    """Symptom: two processes disagree for ever, each sure of itself.

    Two replicas of the service give different texts with one revision; some
    processes learn the one first, some the other.
    """
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
    """Symptom: a fresh process serves half of the documents.

    The peer that gives the first picture dies between two pages.
    """
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
    """Symptom: some processes never hear of a change.

    All rumours of it were lost and the service is down; only comparing with
    peers can find it, and where all hold something newer already, only
    comparing down the tree of checksums.
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
