"""Entries in front of replicas that declare how many requests they take."""

from __future__ import annotations

import time
from typing import NamedTuple

import curio
import pytest

from ospreyford.platform.standins.replicas import Arrival, ReplicaOptions
from tests.platform.fleet import (
    SERVICE,
    STABLE_SECONDS,
    Fleet,
    FleetEntry,
    Reply,
)

OPTIONS = ReplicaOptions(SERVICE)
#: The platform's bound on what reaches a replica in need.
WINDOW_SECONDS = 4.0
RATE_TOLERANCE = 1.5
REQUEST_TOLERANCE = 5
#: An entry counts from this time after the first response that told it.
TOLD_SECONDS = 0.5
#: Time of the load after the declaration.
LOAD_SECONDS = STABLE_SECONDS + WINDOW_SECONDS + 1
REQUEST_INTERVAL_SECONDS = 0.08
OK = 200
UNAVAILABLE = 503


class Need(NamedTuple):
    """Which replicas declare what.

    :param entries: number of entries.
    :param limited: number of replicas that declare a limit.
    :param text: the declared value.
    :param has_agent: whether the entries hear of each other.
    """

    entries: int
    limited: int
    text: bytes
    has_agent: bool = True


class Asked(NamedTuple):
    """A request and its reply.

    :param entry: number of the entry.
    :param at: when the reply came, in seconds since the Unix epoch.
    :param took: seconds from the request to the reply.
    :param reply: the reply.
    """

    entry: int
    at: float
    took: float
    reply: Reply


class Load:
    """A steady load on all entries of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.asked: list[Asked] = []

    async def run(self, seconds: float) -> None:
        async with curio.TaskGroup() as group:
            for number, entry in enumerate(self.fleet.entries):
                await group.spawn(self._ask_often, number, entry, seconds)

    async def _ask_often(
        self, number: int, entry: FleetEntry, seconds: float
    ) -> None:
        until = time.monotonic() + seconds
        sent = len(self.asked)
        async with curio.TaskGroup() as group:
            while time.monotonic() < until:
                sent += 1
                await group.spawn(self._ask, number, entry, sent)
                await curio.sleep(REQUEST_INTERVAL_SECONDS)

    async def _ask(self, number: int, entry: FleetEntry, sent: int) -> None:
        started_at = time.time()
        reply = await entry.ask(b'body', f'{number}/{sent}/{started_at}')
        now = time.time()
        self.asked.append(Asked(number, now, now - started_at, reply))


async def press(need: Need) -> Load:
    """Press on all entries while some replicas are in need."""
    fleet = Fleet(has_agent=need.has_agent)
    await fleet.start(need.entries, 3, OPTIONS)
    for replica in fleet.replicas[: need.limited]:
        replica.limit = need.text
    load = Load(fleet)
    await load.run(LOAD_SECONDS)
    return load


def count_in_worst_window(load: Load, replica: str, since: float) -> int:
    """Count what entries that were told sent to a replica in some window.

    :param load: the load.
    :param replica: id of the replica.
    :param since: the first moment at which a window may end.
    :returns: the highest count of any window.
    """
    told: dict[int, float] = {}
    counted: list[float] = []
    arrivals = [
        one for one in load.fleet.arrivals.requests if one.replica == replica
    ]
    for arrival in arrivals:
        entry = read_entry(arrival)
        # The work takes some milliseconds, so the response comes after it.
        told.setdefault(entry, arrival.at + OPTIONS.work_seconds)
        if arrival.at > told[entry] + TOLD_SECONDS:
            counted.append(arrival.at)
    ends = [at for at in counted if at >= since]
    return max(
        (
            sum(end - WINDOW_SECONDS < at <= end for at in counted)
            for end in ends
        ),
        default=0,
    )


def read_entry(arrival: Arrival) -> int:
    return int(arrival.request_id.partition('/')[0])


def compute_allowed(text: bytes) -> float:
    rate = float(text)
    return RATE_TOLERANCE * rate * WINDOW_SECONDS + REQUEST_TOLERANCE


NEEDS = (
    pytest.param(Need(1, 1, b'1'), id='one_entry'),
    pytest.param(Need(5, 1, b'1'), id='several_entries'),
    pytest.param(Need(5, 3, b'0.5'), id='whole_service'),
    pytest.param(Need(5, 1, b'0'), id='none_taken'),
    pytest.param(Need(12, 3, b'2.5'), id='many_entries'),
    pytest.param(Need(12, 1, b'1', has_agent=False), id='no_agent'),
)


@pytest.mark.parametrize('need', NEEDS)
def test_replicas_in_need_get_no_more_than_they_declare(need: Need) -> None:
    """All entries together must stay within a replica's declared limit."""
    load = curio.run(press, need)
    arrivals = load.fleet.arrivals.requests
    since = min(one.at for one in arrivals) + STABLE_SECONDS
    worst = [
        count_in_worst_window(load, replica.id, since)
        for replica in load.fleet.replicas[: need.limited]
    ]
    assert max(worst) <= compute_allowed(need.text)
