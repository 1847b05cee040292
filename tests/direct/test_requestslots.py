"""Slots of many entries at one backend, replayed on a clock of their own."""

from __future__ import annotations

import bisect
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import pytest

from ospreyford.direct.entryshare import (
    ASSUMED_ENTRIES,
    COUNT_WINDOW_SECONDS,
    STARTUP_SECONDS,
    EntryShare,
    ShareTracker,
)
from ospreyford.direct.requestslots import MIN_RATE, Moment, RequestSlots

if TYPE_CHECKING:
    from collections.abc import Sequence

#: The platform's bound on what reaches a backend from all entries.
WINDOW_SECONDS = 4.0
RATE_TOLERANCE = 1.5
REQUEST_TOLERANCE = 5
#: Clocks of hosts differ by this much.
SKEW_SECONDS = 0.05
#: A caller comes this long after a slot opens, at the most.
MAX_DELAY_SECONDS = 0.5
#: Length of a replayed load.
LOAD_SECONDS = 60
EPOCH = 1_800_000_000.0
RATES = (0.0, 0.1, 0.5, 1.0, 2.5, 10.0, 40.0)
ENTRY_COUNTS = (1, 2, 5, 11, 35)


class Demand(NamedTuple):
    """When callers press, in seconds: in every span of ``on`` of ``every``."""

    on: float
    every: float


STEADY = Demand(1, 1)
#: A lull in which every entry could save up its share.
BURSTS = Demand(6, 20)


class Sender:
    """One entry and its clock."""

    def __init__(self, skew: float) -> None:
        self.slots = RequestSlots('b')
        self.count = 0
        self._skew = skew

    def find_next(self, rate: float, share: EntryShare, now: float) -> float:
        moment = Moment(now, EPOCH + now + self._skew)
        return self.slots.find_next(rate, share, moment)

    def send(self, now: float) -> None:
        self.slots.take(now)
        self.count += 1


class Fleet:
    """Entries that send in each slot while callers press.

    ``rates`` are what the backend declares in its successive responses to each
    entry.
    """

    def __init__(
        self, shares: list[EntryShare], rates: Sequence[float], seed: int = 1
    ) -> None:
        self.shares = shares
        self.max_delay = MAX_DELAY_SECONDS
        self.now = 100.0
        self.sent: list[float] = []
        self._random = Random(seed)
        self._rates = rates
        self._senders = [
            Sender(self._random.uniform(0, SKEW_SECONDS)) for _ in shares
        ]

    def run(self, demand: Demand, seconds: float) -> None:
        until = self.now + seconds
        for sender, share in zip(self._senders, self.shares, strict=True):
            self._run_entry(sender, share, demand, until)
        self.now = until
        self.sent.sort()

    def count_worst_window(self) -> int:
        return max(
            bisect.bisect_right(self.sent, at)
            - bisect.bisect_right(self.sent, at - WINDOW_SECONDS)
            for at in self.sent
        )

    def _run_entry(
        self, sender: Sender, share: EntryShare, demand: Demand, until: float
    ) -> None:
        now = self.now
        while now < until:
            rate = self._rates[sender.count % len(self._rates)]
            at = sender.find_next(rate, share, now)
            has_callers = now % demand.every < demand.on
            if at <= now and has_callers:
                sender.send(now)
                self.sent.append(now)
            delay = self._random.choice((0, self.max_delay))
            now = max(at, now + 1e-6) + self._random.uniform(0, delay)


def make_shares(entries: int, assumed: int | None = None) -> list[EntryShare]:
    return [
        EntryShare(assumed or entries, number / entries)
        for number in range(entries)
    ]


def compute_allowed(rate: float) -> float:
    return RATE_TOLERANCE * rate * WINDOW_SECONDS + REQUEST_TOLERANCE


@pytest.mark.parametrize('demand', [STEADY, BURSTS])
@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize('entries', ENTRY_COUNTS)
def test_all_entries_together_stay_within_the_limit(
    entries: int, rate: float, demand: Demand
) -> None:
    """A share of less than one request must not be saved up for a burst."""
    fleet = Fleet(make_shares(entries), [rate])
    fleet.run(demand, LOAD_SECONDS)
    assert fleet.count_worst_window() <= compute_allowed(rate)


@pytest.mark.parametrize('rate', [0.5, 1.0, 2.5, 10.0])
@pytest.mark.parametrize('entries', ENTRY_COUNTS)
def test_the_limit_is_used(entries: int, rate: float) -> None:
    """Callers must get most of what a backend takes."""
    fleet = Fleet(make_shares(entries), [rate])
    fleet.max_delay = 0
    seconds = max(4 * entries / rate, 10)
    fleet.run(STEADY, seconds)
    assert len(fleet.sent) >= 0.75 * rate * seconds


@pytest.mark.parametrize('rate', [*RATES, 1.36, 1.77])
@pytest.mark.parametrize('counted', [None, 27, 34])
def test_entries_without_a_place_stay_within_the_limit(
    counted: int | None, rate: float
) -> None:
    """Entries that never heard of each other may all have the same slots."""
    for seed in range(12):
        trackers = [
            ShareTracker(f'entry-{seed}-{number}', 0)
            for number in range(counted or 35)
        ]
        for tracker in trackers:
            if counted is not None:
                tracker.record_count(counted, 50)
        shares = [tracker.get_share(100) for tracker in trackers]
        fleet = Fleet(shares, [rate], seed)
        fleet.run(STEADY, LOAD_SECONDS)
        assert fleet.count_worst_window() <= compute_allowed(rate)


CHANGING_RATES = ((1, 1.1, 0.9, 1.2), (4, 1), (9, 10))


@pytest.mark.parametrize('rates', CHANGING_RATES)
@pytest.mark.parametrize('entries', [5, 35])
def test_a_changing_limit_does_not_open_extra_slots(
    entries: int, rates: tuple[float, ...]
) -> None:
    """Each change moves the slots, which must not give an entry two."""
    for seed in range(5):
        fleet = Fleet(make_shares(entries), rates, seed)
        fleet.run(STEADY, LOAD_SECONDS)
        assert fleet.count_worst_window() <= compute_allowed(max(rates))


@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize('entries', [5, 35])
def test_a_changing_number_of_entries_stays_within_the_limit(
    entries: int, rate: float
) -> None:
    """Entries that stop and start in turn change the share of all others."""
    fleet = Fleet(make_shares(entries), [rate])
    for number in range(LOAD_SECONDS):
        known = entries - number % 2
        fleet.shares = [
            EntryShare(known, min(place, known - 1) / known)
            for place in range(entries)
        ]
        fleet.run(STEADY, 1)
    assert fleet.count_worst_window() <= compute_allowed(rate)


def test_a_backend_that_takes_nothing_is_asked_now_and_then() -> None:
    """Otherwise no entry would notice that it takes requests again."""
    fleet = Fleet(make_shares(5), [0])
    fleet.run(STEADY, LOAD_SECONDS)
    expected = LOAD_SECONDS * MIN_RATE
    assert 0.75 * expected <= len(fleet.sent) <= expected + 1


def test_a_step_of_the_clock_does_not_close_a_backend() -> None:
    """The time of day may jump back; the next slot must not move away."""
    slots = RequestSlots('b')
    share = EntryShare(5, 0.2)
    slots.take(100)
    for step in (-3600, 0, 3600):
        at = slots.find_next(1, share, Moment(100, EPOCH + step))
        assert 100 <= at <= 100 + 2 * 5


MANY_ENTRIES = 1000
CountCase = tuple[list[int], float, int]
#: Counts that agents tell, each half a second; then the share's entries.
COUNTS: tuple[CountCase, ...] = (
    ([], 60, ASSUMED_ENTRIES),
    ([5], 60, 5),
    ([35, 4], 60, 35),
    ([35] + [4] * int(2 * COUNT_WINDOW_SECONDS + 2), 60, 4),
    ([0], 60, ASSUMED_ENTRIES),
    ([5], STARTUP_SECONDS / 2, ASSUMED_ENTRIES),
    ([35], STARTUP_SECONDS / 2, 35),
)


@pytest.mark.parametrize(('counts', 'age', 'entries'), COUNTS)
def test_an_entry_assumes_no_fewer_others_than_it_heard_of(
    counts: list[int], age: float, entries: int
) -> None:
    """An agent that has just started knows few entries."""
    tracker = ShareTracker('entry', 0)
    now = age
    for count in counts:
        now += 0.5
        tracker.record_count(count, now)
    tracker.record_position(0, MANY_ENTRIES)
    at = age if age < STARTUP_SECONDS else now
    assert tracker.get_share(at).entries == entries


def test_position_is_that_of_the_best_informed_agent() -> None:
    tracker = ShareTracker('entry', 0)
    assert 0 <= tracker.get_share(60).position < 1
    tracker.record_count(5, 60)
    tracker.record_position(3, 5)
    tracker.record_position(0, 2)
    tracker.record_position(-1, 9)
    assert tracker.get_share(60).position == 3 / 5
