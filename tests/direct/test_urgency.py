"""Requests of different priorities that compete for too little room."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import pytest

from ospreyford.direct.admission import (
    QueuedRequest,
    StreamLimit,
)
from ospreyford.direct.admissionqueue import AdmissionQueue
from ospreyford.direct.grouproom import GroupRoom
from ospreyford.direct.urgency import (
    MAX_PASSED_OVER,
    RecentUrgencies,
    Rivals,
    UrgencyTurns,
    adjust_limit,
)

MAX_GAP = 0.12
PLACES = 60
STREAM_SECONDS = 2.0
FIRST_EVENT_SECONDS = 0.18
TICK_SECONDS = 0.01


class Kind(NamedTuple):
    """Requests of one kind: urgency, rate a second, objective in seconds."""

    urgency: int
    rate: float
    objective: float


@dataclass
class Load:
    """What becomes of requests of several kinds at one entry."""

    kinds: tuple[Kind, ...]
    random: Random = field(default_factory=lambda: Random(5))
    queue: AdmissionQueue = field(default_factory=AdmissionQueue)
    recent: RecentUrgencies = field(default_factory=RecentUrgencies)
    room: GroupRoom = field(default_factory=lambda: make_room(PLACES))
    ends: list[tuple[float, int]] = field(default_factory=list)
    came: Counter[int] = field(default_factory=Counter)
    served: Counter[int] = field(default_factory=Counter)
    on_time: Counter[int] = field(default_factory=Counter)
    most: int = 0

    def run(self, start: float, end: float) -> None:
        for tick in range(int(start / TICK_SECONDS), int(end / TICK_SECONDS)):
            now = 100 + tick * TICK_SECONDS
            self._add_arrivals(now)
            self._end_streams(now)
            for rejected in self.queue.list_unservable(
                now, FIRST_EVENT_SECONDS, PLACES
            ):
                self.queue.remove(rejected.number)
            self._admit(now)
            self.most = max(self.most, self.room.running)

    def compute_share(self, priority: int) -> float:
        return self.served[priority] / self.came[priority]

    def _add_arrivals(self, now: float) -> None:
        for kind in self.kinds:
            if self.random.random() < kind.rate * TICK_SECONDS:
                self.came[kind.urgency] += 1
                self.recent.record(kind.urgency, now)
                self.queue.add(
                    QueuedRequest(
                        self.came.total(),
                        now,
                        kind.objective,
                        now + 8,
                        1,
                        urgency=kind.urgency,
                    )
                )

    def _end_streams(self, now: float) -> None:
        ended = [one for one in self.ends if one[0] <= now]
        for _, priority in ended:
            self.room.leave(priority)
        self.ends = [one for one in self.ends if one[0] > now]

    def _admit(self, now: float) -> None:
        held: set[int] = set()
        while True:
            one = self.queue.select_next(now, FIRST_EVENT_SECONDS, held)
            if one is None:
                return
            less_urgent = sum(
                count
                for priority, count in self.queue.count_by_urgency().items()
                if priority > one.urgency
            )
            rivals = Rivals(
                less_urgent,
                are_waiting=less_urgent > 0,
                has_more_urgent=self.recent.has_more_urgent(one.urgency, now),
                is_due=self.queue.is_out_of_turn(one),
            )
            option = self.room.make_option(
                one, now, is_first=False, rivals=rivals
            )
            if option is None:
                if not self.queue.is_out_of_turn(one):
                    return
                held.update(self.queue.list_unrestricted(one.urgency))
                continue
            self.queue.admit(one)
            self.room.admit(one, now)
            seconds = self.random.uniform(0.2, 1.8) * STREAM_SECONDS
            self.ends.append((now + seconds, one.urgency))
            self.served[one.urgency] += 1
            waited = now - one.started_at + FIRST_EVENT_SECONDS
            self.on_time[one.urgency] += waited <= one.objective


def make_room(places: int) -> GroupRoom:
    room = GroupRoom('g', MAX_GAP)
    room.limit = make_limit(places)
    return room


def make_limit(places: int) -> StreamLimit:
    limit = StreamLimit(MAX_GAP)
    limit.pass_seconds = FIRST_EVENT_SECONDS / 3
    limit.regular = places
    limit.urgent = 1.3 * places
    limit.late = 0.6 * places
    limit.capacity = places
    return limit


URGENT = Kind(0, 12, 0.4)
MIDDLE = Kind(1, 5.4, 0.4)
PATIENT = Kind(2, 16, 1.0)


@pytest.mark.parametrize('excess', [1, 2, 3])
def test_the_more_urgent_are_served_more(excess: int) -> None:
    """Patient requests are in time for longer, and must not go first."""
    kinds = (
        URGENT._replace(rate=URGENT.rate * excess),
        MIDDLE._replace(rate=MIDDLE.rate * excess),
        PATIENT._replace(rate=PATIENT.rate * excess),
    )
    load = Load(kinds)
    load.run(0, 20)
    shares = [load.compute_share(kind.urgency) for kind in kinds]
    assert shares[0] >= shares[1] - 0.05
    assert shares[1] >= shares[2] - 0.05
    assert shares[2] >= sum(shares) / 3 / 4
    assert load.most <= 1.3 * PLACES


def test_urgent_requests_find_place_in_a_burst_of_patient_ones() -> None:
    """Streams of patient requests must not hold every place for seconds."""
    load = Load((PATIENT._replace(rate=90),))
    load.run(0, 4)
    load.kinds = (URGENT, PATIENT._replace(rate=90))
    load.run(4, 12)
    assert load.on_time[0] >= 0.95 * load.came[0]
    assert load.most <= 1.3 * PLACES


def test_one_priority_keeps_its_order() -> None:
    queue = AdmissionQueue()
    for number, started_at in enumerate((9.0, 9.95, 9.9)):
        queue.add(QueuedRequest(number, started_at, 0.4, 17, 1))
    chosen = []
    for _ in range(3):
        one = queue.select_next(10, 0.1)
        assert one is not None
        queue.admit(one)
        chosen.append(one.number)
    assert chosen == [1, 2, 0]


def test_a_waiting_priority_gets_its_turn() -> None:
    """No kind of request may be starved by more urgent ones."""
    turns = UrgencyTurns()
    chosen = []
    for _ in range(3 * (MAX_PASSED_OVER + 2)):
        chosen.append(turns.select({0, 1, 2}))
        turns.record_admission(chosen[-1], {0, 1, 2})
    assert Counter(chosen) == {0: 3 * MAX_PASSED_OVER, 1: 3, 2: 3}


@pytest.mark.parametrize(
    ('base', 'less_urgent', 'is_late', 'expected'),
    [
        (60, 0, False, 60),
        (36, 0, True, 36),
        (60, 5, False, 65),
        (60, 50, False, 78),
        (78, 5, False, 78),
        (36, 5, True, 41),
        (36, 50, True, 60),
    ],
)
def test_limits_above_less_urgent_streams(
    base: float, less_urgent: int, *, is_late: bool, expected: float
) -> None:
    limit = make_limit(PLACES)
    rivals = Rivals(less_urgent)
    adjusted = adjust_limit(limit, base, rivals, is_late=is_late)
    assert adjusted == pytest.approx(expected)


@pytest.mark.parametrize(
    ('base', 'less_urgent', 'expected'),
    [(78, 0, 60), (60, 5, 60), (36, 0, 36)],
)
def test_places_above_the_regular_limit_are_kept(
    base: float, less_urgent: int, expected: float
) -> None:
    """Patient requests about to be late must not take urgent ones' places."""
    rivals = Rivals(less_urgent, has_more_urgent=True)
    adjusted = adjust_limit(make_limit(PLACES), base, rivals, is_late=False)
    assert adjusted == pytest.approx(expected)


def test_a_late_request_takes_a_place_that_a_patient_one_would_take() -> None:
    """A late urgent request must not hold up others while places are free."""
    rivals = Rivals(1, are_waiting=True)
    limit = make_limit(PLACES)
    limit.late = 5
    assert adjust_limit(limit, 5, rivals, is_late=True) == PLACES


def test_requests_of_one_group_put_no_other_out_of_turn() -> None:
    """Patient requests would take the places kept for urgent ones."""
    queue = AdmissionQueue()
    urgent = QueuedRequest(0, 10, 0.4, 17, 1, groups=frozenset('a'))
    patient = QueuedRequest(1, 10, 1, 17, 1, urgency=2)
    queue.add(urgent)
    queue.add(patient)
    assert not queue.is_out_of_turn(patient)
    queue.add(urgent._replace(number=2, groups=None))
    assert queue.is_out_of_turn(patient)
    assert queue.list_unrestricted(0) == [2]


def test_priorities_of_customers_decide_among_equally_late_requests() -> None:
    """A late request must not go before those that can still be in time."""
    queue = AdmissionQueue()
    for number, (started_at, priority) in enumerate(
        ((9.0, 0), (9.95, 2), (9.97, 1))
    ):
        queue.add(QueuedRequest(number, started_at, 0.4, 17, priority))
    chosen = []
    for _ in range(3):
        one = queue.select_next(10, 0.1)
        assert one is not None
        queue.admit(one)
        chosen.append(one.number)
    assert chosen == [2, 1, 0]
