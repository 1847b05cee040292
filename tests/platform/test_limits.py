"""Entries in front of replicas that declare how many requests they take."""

from __future__ import annotations

import time
from typing import NamedTuple

import curio
import pytest

from ospreyford.platform.standins.replicas import ReplicaOptions
from tests.platform.fleet import SERVICE, STABLE_SECONDS, Fleet
from tests.platform.load import Load, read_entry

OPTIONS = ReplicaOptions(SERVICE)
#: The platform's bound on what reaches a replica in need.
WINDOW_SECONDS = 4.0
RATE_TOLERANCE = 1.5
REQUEST_TOLERANCE = 5
#: An entry counts from this time after the first response that told it.
TOLD_SECONDS = 0.5
#: Time of the load after the declaration.
LOAD_SECONDS = STABLE_SECONDS + WINDOW_SECONDS + 1
#: Time from the first load to the start of late entries.
LATE_SECONDS = 2.0
OK = 200
UNAVAILABLE = 503


class Need(NamedTuple):
    """Which replicas declare what.

    :param entries: number of entries.
    :param limited: number of replicas that declare a limit.
    :param text: the declared value.
    :param has_agent: whether the entries hear of each other.
    :param late: entries that start under the load.
    """

    entries: int
    limited: int
    text: bytes
    has_agent: bool = True
    late: int = 0


async def press(need: Need) -> Load:
    """Press on all entries while some replicas are in need."""
    fleet = Fleet(has_agent=need.has_agent)
    await fleet.start(need.entries, 3, OPTIONS)
    for replica in fleet.replicas[: need.limited]:
        replica.limit = need.text
    load = Load(fleet)
    loading = await curio.spawn(load.run, LOAD_SECONDS)
    if need.late:
        await curio.sleep(LATE_SECONDS)
        for _ in range(need.late):
            await fleet.add_entry()
        await load.run(LOAD_SECONDS)
    await loading.join()
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
    pytest.param(Need(3, 3, b'1', late=4), id='late_entries'),
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


class End(NamedTuple):
    """A load while a replica is in need, and after.

    :param in_need: requests that the replica got in the last second of need.
    :param after: the same some seconds after its end.
    :param statuses: of all replies.
    """

    in_need: int
    after: int
    statuses: set[int]


async def end_need() -> End:
    fleet = Fleet()
    await fleet.start(3, 3, OPTIONS)
    replica = fleet.replicas[0]
    replica.limit = b'1'
    load = Load(fleet)
    await load.run(4)
    in_need = count_last_second(fleet, replica.id)
    replica.limit = None
    await load.run(8)
    after = count_last_second(fleet, replica.id)
    return End(in_need, after, {one.reply.status for one in load.asked})


def count_last_second(fleet: Fleet, replica: str) -> int:
    now = time.time()
    return sum(
        one.replica == replica and one.at > now - 1
        for one in fleet.arrivals.requests
    )


def test_load_returns_after_the_need() -> None:
    """Callers must not be worse off once a replica takes requests again."""
    end = curio.run(end_need)
    assert end.statuses == {OK}
    assert end.in_need <= 3
    assert end.after > 3


async def press_on_a_service_in_need() -> Load:
    return await press(Need(3, 3, b'5'))


def test_excess_is_rejected_and_the_limit_used() -> None:
    """What a whole service in need does not take is rejected, no more."""
    load = curio.run(press_on_a_service_in_need)
    replies = [one.reply for one in load.asked]
    served = sum(reply.status == OK for reply in replies)
    rejected = [reply for reply in replies if reply.status == UNAVAILABLE]
    assert served + len(rejected) == len(replies)
    assert all(reply.retry_after for reply in rejected)
    assert rejected
    # Three replicas take five requests a second each.
    assert served >= LOAD_SECONDS * 3 * 5 / 2


async def press_on_one_entry() -> int:
    fleet = Fleet()
    await fleet.start(8, 3, OPTIONS)
    for replica in fleet.replicas:
        replica.limit = b'4'
    load = Load(fleet, 0.02, busy=1)
    await load.run(LOAD_SECONDS)
    return sum(one.reply.status == OK for one in load.asked)


def test_an_entry_with_all_callers_uses_the_limit() -> None:
    """Shares of entries without callers must not lapse."""
    assert curio.run(press_on_one_entry) >= LOAD_SECONDS * 3 * 4 / 2
