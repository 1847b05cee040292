"""Zones that operators take out of service, under load, by complete entries."""

from __future__ import annotations

import statistics
import time
from collections.abc import Awaitable, Callable, Sequence

import curio
import pytest

from ospreyford.platform.standins.rankgroup import GroupOptions
from ospreyford.platform.standins.replicas import (
    Arrival,
    Replica,
    ReplicaOptions,
)
from tests.platform.fleet import (
    GROUP_SERVICE,
    SERVICE,
    STREAM_PATH,
    Fleet,
    FleetEntry,
    Reply,
)
from tests.platform.load import Load

#: Below the aim of 5 s, so that a case can be short.
LATE_SECONDS = 1.5
ENTRIES = 3
REPLICAS = 4
ZONES = ('a', 'b')
#: The entries are in this zone, and prefer it.
KEY_A = 'op/evacuate/a'
KEY_B = 'op/evacuate/b'
BEFORE_SECONDS = 0.5
LOAD_SECONDS = 4.0
#: Longer than a change takes to reach all entries, and a failed call to be
#: made again.
SEEN_SECONDS = 1.0
#: Aim for refusals.
REFUSAL_SECONDS = 0.1
LONG_NAME = 'z' * 1000
OK = 200
UNAVAILABLE = 503

Happening = Callable[[Fleet], Awaitable[None]]


async def write_nothing_readable(fleet: Fleet) -> None:
    fleet.state.put(KEY_A, b'\xff\xfe\x00{')


async def write_an_empty_value(fleet: Fleet) -> None:
    fleet.state.put(KEY_A, b'')


async def start_an_entry(fleet: Fleet) -> None:
    fleet.state.put(KEY_A, b'1')
    await curio.sleep(SEEN_SECONDS)
    await ask_often(await fleet.add_entry())


async def lose_the_store(fleet: Fleet) -> None:
    fleet.state.put(KEY_A, b'1')
    await curio.sleep(SEEN_SECONDS)
    fleet.store.is_away = True


async def lose_the_history(fleet: Fleet) -> None:
    fleet.state.put(KEY_A, b'1')
    fleet.state.put('other', b'')
    fleet.state.compact()


async def restore_without_the_key(fleet: Fleet) -> None:
    copy = fleet.state.make_copy()
    fleet.state.put(KEY_A, b'1')
    await curio.sleep(SEEN_SECONDS)
    fleet.state.restore(copy)


async def restore_and_register_anew(fleet: Fleet) -> None:
    await restore_without_the_key(fleet)
    await curio.sleep(0.2)
    for replica in fleet.replicas:
        replica.register('ready')


async def take_out_twice(fleet: Fleet) -> None:
    fleet.state.put(KEY_A, b'1')
    await curio.sleep(0.5)
    fleet.state.put(KEY_A, None)
    await curio.sleep(0.5)
    fleet.state.put(KEY_A, b'2')


async def register_late(fleet: Fleet) -> None:
    """Register a backend of the zone anew, as after a restart."""
    fleet.state.put(KEY_A, b'1')
    await curio.sleep(SEEN_SECONDS)
    for replica in fleet.replicas:
        replica.register(None)
        replica.register('ready')


async def ask_often(entry: FleetEntry) -> None:
    for number in range(20):
        await entry.ask(b'body', f'new/{number}')


async def press(
    happening: Happening, seconds: float = LOAD_SECONDS
) -> tuple[Load, float]:
    """Press on all entries while zones go out of service.

    :returns: the load, and when the happening began.
    """
    fleet = Fleet()
    options = ReplicaOptions(SERVICE)
    await fleet.start(ENTRIES, REPLICAS, options, ZONES)
    # Without keys, which entries refuse after a while without the store.
    fleet.state.put('op/config', fleet.make_config(4, Tenants=None))
    load = Load(fleet)
    loading = await curio.spawn(load.run, seconds)
    await curio.sleep(BEFORE_SECONDS)
    began = time.time()
    await happening(fleet)
    await loading.join()
    return load, began


def list_ids(replicas: Sequence[Replica], zone: str) -> set[str]:
    return {one.id for one in replicas[ZONES.index(zone) :: len(ZONES)]}


def list_arrivals(load: Load, zone: str, since: float) -> list[Arrival]:
    ids = list_ids(load.fleet.replicas, zone)
    return [
        one
        for one in load.fleet.arrivals.requests
        if one.replica in ids and one.at > since
    ]


@pytest.mark.parametrize(
    'happening',
    [
        write_nothing_readable,
        write_an_empty_value,
        start_an_entry,
        lose_the_store,
        lose_the_history,
        restore_without_the_key,
        restore_and_register_anew,
        register_late,
    ],
)
def test_a_zone_that_is_out_gets_no_requests(happening: Happening) -> None:
    """A zone that operators empty must get nothing, whatever the store does."""
    load, began = curio.run(press, happening)
    assert not list_arrivals(load, 'a', began + LATE_SECONDS)
    assert list_arrivals(load, 'b', began + LATE_SECONDS)
    assert {one.reply.status for one in load.asked} == {OK}


def test_a_zone_that_goes_out_again_gets_no_requests() -> None:
    load, began = curio.run(press, take_out_twice)
    assert not list_arrivals(load, 'a', began + 1 + LATE_SECONDS)


async def take_back(fleet: Fleet) -> None:
    fleet.state.put(KEY_A, b'1')
    await curio.sleep(SEEN_SECONDS)
    fleet.state.put(KEY_A, None)


async def restore_with_the_key(fleet: Fleet) -> None:
    """Restore a copy in which a zone is out that was taken back since."""
    fleet.state.put(KEY_A, b'1')
    await curio.sleep(0.3)
    copy = fleet.state.make_copy()
    await curio.sleep(SEEN_SECONDS - 0.3)
    fleet.state.put(KEY_A, None)
    await curio.sleep(0.3)
    fleet.state.restore(copy)


@pytest.mark.parametrize('happening', [take_back, restore_with_the_key])
def test_a_zone_that_is_taken_back_is_used_again(happening: Happening) -> None:
    """Its idle backends must be used within seconds, but not get a rush."""
    load, began = curio.run(press, happening, 7.0)
    back = began + SEEN_SECONDS
    later = list_arrivals(load, 'a', back)
    # Three entries in this zone send it nearly all of 37 requests a second.
    assert sum(one.at < back + 1 for one in later) < 15
    assert sum(one.at > back + 4 for one in later) > 15


async def take_out_all(fleet: Fleet) -> None:
    fleet.state.put(KEY_B, b'1')
    fleet.state.put(KEY_A, b'1')


def test_callers_learn_that_all_zones_are_out() -> None:
    """They must be told at once, that nothing ran, and not come back at once.

    If all come back at the same moment, they are a rush on the first zone.
    """
    load, began = curio.run(press, take_out_all)
    asked = [one for one in load.asked if one.at - one.took > began + 1]
    assert not list_arrivals(load, 'b', began + LATE_SECONDS)
    assert not list_arrivals(load, 'a', began + LATE_SECONDS)
    assert {one.reply.status for one in asked} == {UNAVAILABLE}
    times = sorted(float(one.reply.retry_after or 0) for one in asked)
    assert times[0] >= 1
    assert times[-1] - times[0] > 1
    assert statistics.median(one.took for one in asked) < REFUSAL_SECONDS


Streams = tuple[Fleet, list[Reply], float]


async def stream(*keys: str) -> Streams:
    """Take zones out while streams are under way at their ranks."""
    fleet = Fleet()
    await fleet.start_group(
        2,
        GroupOptions(REPLICAS, pass_seconds=0.2),
        ReplicaOptions(GROUP_SERVICE),
        ZONES,
    )
    replies: list[Reply] = []

    async def ask(entry: FleetEntry, number: int) -> None:
        reply = await entry.ask(b'body', f's{number}', path=STREAM_PATH)
        replies.append(reply)

    began = 0.0
    async with curio.TaskGroup() as group:
        for number in range(16):
            if number == 5:
                began = time.time()
                for key in keys:
                    fleet.state.put(key, b'1')
            await group.spawn(ask, fleet.entries[number % 2], number)
            # An entry may have one stream at each rank: it assumes others.
            await curio.sleep(0.4)
    return fleet, replies, began


def count_at(fleet: Fleet, zone: str, since: float, until: float) -> int:
    ranks = list_ids(fleet.ranks, zone)
    return sum(
        one.replica in ranks and since < one.at < until
        for one in fleet.arrivals.requests
    )


def test_streams_end_where_they_are() -> None:
    """Streams under way must not be cut or moved, nor others sent there."""
    fleet, replies, began = curio.run(stream, KEY_A)
    assert count_at(fleet, 'a', 0, began)
    assert not count_at(fleet, 'a', began + LATE_SECONDS, time.time())
    assert {one.status for one in replies} == {OK}
    assert all(one.body.count(b'data') == 5 for one in replies)
    # Each was sent once.
    assert len(fleet.arrivals.requests) == len(replies)


def test_streams_are_refused_where_all_zones_are_out() -> None:
    fleet, replies, began = curio.run(stream, KEY_B, KEY_A)
    for zone in ZONES:
        assert not count_at(fleet, zone, began + LATE_SECONDS, time.time())
    assert {one.status for one in replies} == {OK, UNAVAILABLE}
    refused = [one for one in replies if one.status != OK]
    assert min(float(one.retry_after or 0) for one in refused) >= 1


async def write_names(fleet: Fleet) -> None:
    fleet.state.put('op/evacuate/', b'1')
    fleet.state.put('op/evacuate/nobody', b'1')
    fleet.state.put(f'op/evacuate/{LONG_NAME}', b'1')
    fleet.state.put('op/evacuated', b'1')


def test_names_that_no_zone_has_harm_nothing() -> None:
    load, began = curio.run(press, write_names, 2.0)
    assert list_arrivals(load, 'a', began + 1)
    assert {one.reply.status for one in load.asked} == {OK}
