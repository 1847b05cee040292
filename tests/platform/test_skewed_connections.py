"""Entries while most new connections go to one of them."""

from __future__ import annotations

import time
from typing import NamedTuple

import curio
import pytest

from ospreyford.platform.standins.rankgroup import GroupOptions
from ospreyford.platform.standins.replicas import ReplicaOptions
from tests.platform.fleet import (
    GROUP_SERVICE,
    NO_ANSWER,
    PATH,
    SERVICE,
    STABLE_SECONDS,
    STREAM_PATH,
    Fleet,
    Reply,
)

#: The platform's bound on the share that is served, against the time before.
MIN_FRACTION = 0.75
ENTRIES = 4
REPLICAS = 6
BEFORE_SECONDS = 3.0
SKEWED_SECONDS = STABLE_SECONDS + 3.0
CALLER_SECONDS = 2.5
#: Of ten new connections, those that go to the first entry.
SKEWED = 9
OK = 200


class Asked(NamedTuple):
    """A request that an entry has read.

    :param at: when it was sent, in seconds on the monotonic clock.
    :param reply: the reply.
    """

    at: float
    reply: Reply


class Case(NamedTuple):
    """What callers ask for.

    :param path: path of their requests.
    :param interval: seconds between two requests.
    """

    path: str
    interval: float


class Load:
    """Requests on connections of their own."""

    def __init__(self, fleet: Fleet, case: Case) -> None:
        self.asked: list[Asked] = []
        self.is_skewed = False
        self._fleet = fleet
        self._case = case

    async def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            number += 1
            is_first = self.is_skewed and number % 10 < SKEWED
            entry = 0 if is_first else number % ENTRIES
            await curio.spawn(self._ask, entry, number, daemon=True)
            await curio.sleep(self._case.interval)

    def compute_share(self, since: float, until: float) -> float:
        """Compute the share of requests that were served."""
        statuses = [
            one.reply.status for one in self.asked if since <= one.at < until
        ]
        return statuses.count(OK) / len(statuses)

    async def _ask(self, entry: int, number: int) -> None:
        sent_at = time.monotonic()
        reply = Reply(NO_ANSWER)
        async with curio.ignore_after(CALLER_SECONDS):
            reply = await self._fleet.entries[entry].ask(
                b'body %d' % number,
                f'{sent_at}-{number}',
                path=self._case.path,
            )
        self.asked.append(Asked(sent_at, reply))


async def press(case: Case) -> tuple[float, float]:
    """Press on all entries, then on one.

    :returns: the shares served before and after.
    """
    fleet = Fleet()
    if case.path == STREAM_PATH:
        options = ReplicaOptions(GROUP_SERVICE)
        await fleet.start_group(ENTRIES, GroupOptions(REPLICAS), options)
    else:
        options = ReplicaOptions(SERVICE, work_seconds=0.1)
        await fleet.start(ENTRIES, REPLICAS, options)
    load = Load(fleet, case)
    started_at = time.monotonic()
    await load.run(BEFORE_SECONDS)
    skewed_at = time.monotonic()
    load.is_skewed = True
    await load.run(SKEWED_SECONDS)
    await curio.sleep(CALLER_SECONDS)
    return (
        load.compute_share(started_at, skewed_at),
        load.compute_share(
            skewed_at + STABLE_SECONDS, skewed_at + SKEWED_SECONDS
        ),
    )


@pytest.mark.parametrize(
    'case',
    [Case(STREAM_PATH, 0.05), Case(STREAM_PATH, 0.02), Case(PATH, 0.01)],
)
def test_one_entry_serves_most_connections(case: Case) -> None:
    """An entry must not turn away what it could serve in place of others."""
    before, after = curio.run(press, case)
    assert before > MIN_FRACTION
    assert after >= MIN_FRACTION * before
