"""Entries in front of replicas that are cold."""

from __future__ import annotations

import time
from typing import NamedTuple

import curio
import pytest

from ospreyford.platform.standins.replicas import ReplicaOptions
from tests.platform.fleet import SERVICE, Fleet
from tests.platform.load import Load

OPTIONS = ReplicaOptions(SERVICE)
#: The platform's bound on what reaches a cold replica in any second.
OVERAGE = 1.5
SLACK = 5
COLD_MS = 60_000
#: Time in which a changed registration reaches the entries.
SIGN_SECONDS = 0.3
LOAD_SECONDS = 5.0
OK = 200
UNAVAILABLE = 503
REPLICAS = 3


class Cold(NamedTuple):
    """Who is cold, and where the callers are.

    :param entries: number of entries.
    :param busy: number of entries with callers.
    :param rate: requests per second that a cold replica takes.
    :param cold: number of cold replicas.
    :param is_again: whether they become cold under the load.
    :param restarts: whether an entry is restarted under the load.
    :param has_store: whether the store goes on under the load.
    """

    entries: int
    busy: int
    rate: float
    cold: int = REPLICAS
    is_again: bool = False
    restarts: bool = False


class Pressed(NamedTuple):
    """A load and the moment from which the bound holds."""

    load: Load
    since: float


async def press(case: Cold) -> Pressed:
    fleet = Fleet()
    fleet.service_fields = {'ColdStartS': 3, 'ColdPerS': case.rate}
    cold_ms = 0 if case.is_again else COLD_MS
    await fleet.start(case.entries, REPLICAS, OPTIONS._replace(cold_ms=cold_ms))
    load = Load(fleet, 0.08 * case.busy / 5, busy=case.busy)
    loading = await curio.spawn(load.run, LOAD_SECONDS)
    since = time.time()
    if case.is_again:
        await curio.sleep(1)
        for replica in fleet.replicas[: case.cold]:
            replica.cold_ms = COLD_MS
            replica.register('ready')
        since = time.time() + SIGN_SECONDS
    if case.restarts:
        await curio.sleep(2)
        await fleet.restart_entry(0)
        await load.run(2)
    await loading.join()
    return Pressed(load, since)


def count_worst_second(pressed: Pressed, replica: str) -> int:
    arrivals = [
        one.at
        for one in pressed.load.fleet.arrivals.requests
        if one.replica == replica and one.at >= pressed.since
    ]
    return max(
        (sum(end - 1 < at <= end for at in arrivals) for end in arrivals),
        default=0,
    )


CASES = (
    pytest.param(Cold(1, 1, 4), id='one_entry'),
    pytest.param(Cold(5, 5, 4), id='all_cold'),
    pytest.param(Cold(5, 1, 4), id='callers_at_one_entry'),
    pytest.param(Cold(5, 5, 0.5), id='low_rate'),
    pytest.param(Cold(5, 5, 2, cold=1, is_again=True), id='one_again'),
    pytest.param(Cold(5, 5, 2, is_again=True), id='all_again'),
    pytest.param(Cold(5, 5, 2, restarts=True), id='entry_restarts'),
)


@pytest.mark.parametrize('case', CASES)
def test_cold_replicas_get_no_more_than_they_take(case: Cold) -> None:
    """All entries together must stay within a cold replica's rate."""
    pressed = curio.run(press, case)
    worst = [
        count_worst_second(pressed, replica.id)
        for replica in pressed.load.fleet.replicas[: case.cold]
    ]
    assert max(worst) <= OVERAGE * case.rate + SLACK


@pytest.mark.parametrize('busy', [1, 5])
def test_the_rate_is_used_wherever_the_callers_are(busy: int) -> None:
    """Of a cold service half at least is used; the rest is told to wait."""
    case = Cold(5, busy, 4)
    replies = [one.reply for one in curio.run(press, case).load.asked]
    served = sum(reply.status == OK for reply in replies)
    rejected = [one for one in replies if one.status == UNAVAILABLE]
    assert served >= LOAD_SECONDS * REPLICAS * case.rate / 2
    assert served + len(rejected) == len(replies)
    assert all(reply.retry_after for reply in rejected)


def test_warm_replicas_serve_while_others_are_cold() -> None:
    """Callers must not wait for a cold replica where a warm one has room."""
    load = curio.run(press, Cold(5, 5, 2, cold=1, is_again=True)).load
    assert {one.reply.status for one in load.asked} == {OK}
