from __future__ import annotations

from random import Random

import pytest

from ospreyford.direct import admission
from ospreyford.direct.admission import (
    GroupLoad,
    QueuedRequest,
    StreamLimit,
    compute_caller_timeout,
    is_late,
    is_unservable,
)
from ospreyford.direct.admissionqueue import AdmissionQueue

MAX_GAP = 0.12
BASE = 0.018
#: Additional pass time per stream with balanced experts, in seconds.
COST = 0.00094
PASSES = 24


def make_waiter(
    number: int, started_at: float, priority: int = 1
) -> QueuedRequest:
    return QueuedRequest(number, started_at, 0.5, started_at + 8, priority)


def measure(running: int) -> GroupLoad:
    return GroupLoad(running, 0, BASE + COST * running, BASE)


def test_limit_follows_the_stream_cost() -> None:
    limit = StreamLimit(MAX_GAP)
    limit.update_load(measure(40), 10, 4)
    easy = limit.regular
    for _ in range(20):
        costly = GroupLoad(40, 0, BASE + 3 * COST * 40, BASE)
        limit.update_load(costly, 10, 4)
    assert limit.regular < easy
    assert limit.regular < limit.urgent


def test_entries_share_the_capacity() -> None:
    limits = [StreamLimit(MAX_GAP) for _ in range(4)]
    for limit in limits:
        limit.update_load(measure(20), 5, 4)
    together = sum(limit.regular for limit in limits)
    assert BASE + COST * together == pytest.approx(0.47 * MAX_GAP, rel=0.05)


def test_an_idle_group_has_capacity() -> None:
    limit = StreamLimit(MAX_GAP)
    limit.update_load(GroupLoad(0, 0, 0, BASE), 0, 4)
    assert limit.regular > 100


def replay(*, orders_late_last: bool) -> int:
    """Replay a burst over the group's capacity; count streams on time.

    Arrivals alternate between 45 and 16 a second every four seconds; a stream
    takes 24 passes.
    """
    random = Random(7)
    queue = AdmissionQueue()
    limit = StreamLimit(MAX_GAP)
    running: list[float] = []
    now = 0.0
    number = 0
    on_time = 0
    while now < 16:
        now += 0.02
        rate = 45 if now % 8 < 4 else 16
        if random.random() < rate * 0.02:
            number += 1
            queue.add(make_waiter(number, now))
        pass_seconds = BASE + COST * len(running)
        running = [left - 0.02 / pass_seconds for left in running]
        running = [left for left in running if left > 0]
        limit.update_load(measure(max(len(running), 1)), len(running), 1)
        while len(running) < limit.regular:
            first_event = 3 * pass_seconds
            chosen = queue.select_next(
                now, first_event if orders_late_last else -100
            )
            if chosen is None:
                break
            queue.remove(chosen.number)
            running.append(PASSES)
            on_time += not is_late(chosen, now, first_event)
    return on_time


def test_late_requests_go_behind_on_time_ones() -> None:
    """Late requests in the queue must not delay those that can be on time."""
    assert replay(orders_late_last=True) > 1.2 * replay(orders_late_last=False)


def compute_pass_seconds(step: int, running: int) -> float:
    has_moved = step > 180 and step % 180 < 20
    cost = 2 * COST if has_moved else COST
    return BASE + cost * running


def replay_shifts() -> float:
    """Replay demand that shifts every 3.6 s; return the share without a gap.

    For 0.4 s after each shift the most loaded rank carries twice its usual
    load; the group reports the mean pass time of the last 0.4 s.
    """
    random = Random(11)
    queue = AdmissionQueue()
    limit = StreamLimit(MAX_GAP)
    running: list[float] = []
    delayed: list[bool] = []
    passes: list[float] = []
    ended: list[bool] = []
    tick = 0.02
    for step in range(1500):
        now = step * tick
        if random.random() < 33 * tick:
            queue.add(make_waiter(step, now))
        pass_seconds = compute_pass_seconds(step, len(running))
        passes.append(pass_seconds)
        last = passes[-20:]
        mean = sum(last) / len(last)
        part = tick / pass_seconds
        left = [one - part for one in running]
        if pass_seconds > MAX_GAP:
            delayed = [True for _ in running]
        pairs = list(zip(left, delayed, strict=True))
        ended += [is_delayed for one, is_delayed in pairs if one <= 0]
        delayed = [is_marred for one, is_marred in pairs if one > 0]
        running = [one for one in left if one > 0]
        load = GroupLoad(max(len(running), 1), 0, mean, BASE)
        if step % 5 == 0:
            limit.update_load(load, len(running), 1)
        while len(running) < limit.urgent:
            chosen = queue.select_next(now, 3 * pass_seconds)
            if chosen is None:
                break
            queue.remove(chosen.number)
            running.append(PASSES)
            delayed.append(False)
    return ended.count(False) / len(ended)


def test_streams_stay_on_time_after_a_demand_shift(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A limit from the mean cost alone makes all streams late after a shift."""
    bounded = round(100 * replay_shifts())
    monkeypatch.setattr(admission, 'SHIFT_PASS_FRACTION', float('inf'))
    unbounded = round(100 * replay_shifts())
    assert bounded > 95
    assert unbounded < 75


def test_the_highest_priority_goes_first() -> None:
    queue = AdmissionQueue()
    for number, priority in enumerate((2, 0, 1)):
        queue.add(make_waiter(number, 10, priority))
    chosen = queue.select_next(10.01, 0.1)
    assert chosen is not None
    assert chosen.priority == 0


def test_unservable_requests_are_listed() -> None:
    queue = AdmissionQueue()
    for number in range(10):
        queue.add(make_waiter(number, 10))
    assert not queue.list_unservable(10.1, 0.1, 4)
    late = queue.list_unservable(11, 0.1, 4)
    assert [request.number for request in late] == [6, 7, 8, 9]
    assert len(queue.list_unservable(16, 0.1, 4)) == 10


@pytest.mark.parametrize(
    ('objective', 'max_gap', 'patience'),
    [
        (0.5, 0.12, 2),
        (0.7, 0.12, 2.8),
        (0.5, 0.4, 3.2),
        (0, 0, 2),
    ],
)
def test_the_longest_caller_timeout_applies(
    objective: float, max_gap: float, patience: float
) -> None:
    assert compute_caller_timeout(objective, max_gap) == pytest.approx(patience)


@pytest.mark.parametrize(
    ('waited', 'first_event', 'patience', 'unservable'),
    [
        (1, 0.2, 2, False),
        (1.6, 0.2, 2, True),
        (1.2, 0.7, 2, True),
        (1.6, 0.2, 3, False),
        # A resumed stream that received events recently.
        (4, 0.2, 5, False),
        # Too little time for the whole stream.
        (5.5, 0.2, 9, True),
    ],
)
def test_requests_are_refused_before_the_caller_timeout(
    waited: float, first_event: float, patience: float, unservable: bool
) -> None:
    """Requests must be refused before their caller disconnects."""
    request = make_waiter(1, 10)._replace(caller_timeout=patience)
    assert is_unservable(request, 10 + waited, first_event) is unservable
