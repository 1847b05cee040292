"""A steady load on the entries of a fleet."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

import curio

if TYPE_CHECKING:
    from ospreyford.platform.standins.replicas import Arrival
    from tests.platform.fleet import Fleet, FleetEntry, Reply

REQUEST_INTERVAL_SECONDS = 0.08


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

    def __init__(
        self,
        fleet: Fleet,
        interval: float = REQUEST_INTERVAL_SECONDS,
        busy: int | None = None,
    ) -> None:
        self.fleet = fleet
        #: Number of entries with callers; all if not given.
        self._busy = busy
        self._interval = interval
        self.asked: list[Asked] = []

    async def run(self, seconds: float) -> None:
        async with curio.TaskGroup() as group:
            for number, entry in enumerate(self.fleet.entries[: self._busy]):
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
                await curio.sleep(self._interval)

    async def _ask(self, number: int, entry: FleetEntry, sent: int) -> None:
        started_at = time.time()
        reply = await entry.ask(b'body', f'{number}/{sent}/{started_at}')
        now = time.time()
        self.asked.append(Asked(number, now, now - started_at, reply))


def read_entry(arrival: Arrival) -> int:
    return int(arrival.request_id.partition('/')[0])
