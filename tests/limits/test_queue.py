from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ospreyford.limits.queue import (
    FairQueue,
    NotQueued,
    Queued,
    QueueFull,
    Waiter,
    WaitTooLong,
)
from ospreyford.limits.settings import QueueSettings

COSTS = st.sampled_from((1.0, 3.0, 10.0))
BOUNDS = QueueSettings(length=8, customer_length=5, max_wait_seconds=4)
ROOMY = QueueSettings(length=999, customer_length=500, max_wait_seconds=999)


def make_waiter(number: int, customer: str = 'a', **fields: Any) -> Waiter:
    defaults: dict[str, Any] = {'cost': 1, 'deadline': 100}
    return Waiter(number, customer, **(defaults | fields))


def offer_many(queue: FairQueue, customer: str, numbers: range) -> None:
    for number in numbers:
        queue.offer(make_waiter(number, customer), 0)


def take_all(queue: FairQueue, now: float = 0) -> list[Waiter]:
    taken = []
    while waiter := queue.take(now):
        taken.append(waiter)
    return taken


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    heavy=st.lists(COSTS, min_size=20, max_size=40),
    light=st.lists(COSTS, min_size=20, max_size=40),
    weight=st.sampled_from((1.0, 2.0, 5.0)),
    gap=st.integers(0, 10),
)
def test_work_is_shared_by_weight(
    heavy: list[float], light: list[float], weight: float, gap: int
) -> None:
    """Guards against a customer's burst delaying all others."""
    queue = FairQueue(ROOMY)
    for number, cost in enumerate(heavy):
        queue.offer(make_waiter(number, 'heavy', cost=cost), 0)
    for _ in range(gap):
        queue.take(0)
    for number, cost in enumerate(light, start=100):
        waiter = make_waiter(number, 'light', cost=cost, weight=weight)
        queue.offer(waiter, 0)
    work = {'heavy': 0.0, 'light': 0.0}
    waiting = {'heavy': len(heavy) - gap, 'light': len(light)}
    while all(waiting.values()):
        taken = queue.take(0)
        assert taken
        work[taken.customer] += taken.cost / (2 * taken.weight)
        waiting[taken.customer] -= 1
        assert abs(work['heavy'] - work['light']) <= 10


def test_idle_customer_accumulates_no_credit() -> None:
    """Guards against idle customers accumulating credit."""
    queue = FairQueue(ROOMY)
    queue.offer(make_waiter(1, 'late'), 0)
    offer_many(queue, 'busy', range(100, 160))
    for _ in range(40):
        queue.take(0)
    offer_many(queue, 'late', range(2, 20))
    first = take_all(queue)[:10]
    assert sum(waiter.customer == 'busy' for waiter in first) >= 4


def test_emptied_flow_keeps_its_finish_tag() -> None:
    """Guards against a flow shedding its past service whenever it empties."""
    queue = FairQueue(ROOMY)
    for number in range(100, 200):
        queue.offer(make_waiter(number, 'steady', cost=1), 0)
    turns: list[str] = []
    for number in range(40):
        if not turns or turns[-1] == 'sequential':
            queue.offer(make_waiter(number, 'sequential', cost=10), 0)
        waiter = queue.take(0)
        assert waiter
        turns.append(waiter.customer)
    assert turns.count('sequential') <= 6


def test_priority_goes_first_within_a_customer() -> None:
    queue = FairQueue(ROOMY)
    for number, priority in enumerate((0, 1, 2, 1)):
        queue.offer(make_waiter(number, priority=priority), 0)
    assert [waiter.id for waiter in take_all(queue)] == [2, 1, 3, 0]


@pytest.mark.parametrize(
    ('waiting', 'offered', 'verdict'),
    [
        ('aaaaa', 'a', QueueFull(5)),
        ('aaaaabbb', 'c', Queued),
        ('aabbccdd', 'd', QueueFull(8)),
    ],
)
def test_length_is_bounded(waiting: str, offered: str, verdict: object) -> None:
    queue = FairQueue(BOUNDS)
    for number, customer in enumerate(waiting):
        assert queue.offer(make_waiter(number, customer), 0) == Queued()
    answer = queue.offer(make_waiter(99, offered), 0)
    match answer:
        case Queued(displaced):
            assert verdict is Queued
            assert displaced
            assert displaced.id == 4
        case NotQueued(reason, _):
            assert verdict == reason
    assert len(queue) <= BOUNDS.length


def test_request_that_would_expire_is_refused_immediately() -> None:
    queue = FairQueue(ROOMY)
    for number in range(40):
        queue.offer(make_waiter(number), 0)
    for second in range(30):
        queue.take(second)
    answer = queue.offer(make_waiter(99, deadline=35), 30)
    assert isinstance(answer, NotQueued)
    assert isinstance(answer.reason, WaitTooLong)
    assert 9 < answer.retry_after < 13
    small = queue.offer(make_waiter(100, 'small', deadline=35), 30)
    assert small == Queued()


class QueueMachine(RuleBasedStateMachine):
    """Every waiter leaves exactly once, in time, within the bounds."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue(BOUNDS)
        self.now = 0.0
        self.number = 0
        self.waiting: dict[int, float] = {}

    @rule(
        customer=st.sampled_from('abcd'),
        cost=COSTS,
        timeout=st.sampled_from((0.5, 2.0, 9.0)),
        priority=st.integers(0, 2),
    )
    def offer(
        self, customer: str, cost: float, timeout: float, priority: int
    ) -> None:
        self.number += 1
        deadline = self.now + timeout
        waiter = make_waiter(
            self.number,
            customer,
            cost=cost,
            deadline=deadline,
            priority=priority,
        )
        match self.queue.offer(waiter, self.now):
            case Queued(displaced):
                if displaced:
                    self.waiting.pop(displaced.id)
                latest = self.now + BOUNDS.max_wait_seconds
                self.waiting[self.number] = min(deadline, latest)
            case NotQueued(_, retry_after):
                assert retry_after > 0

    @rule()
    def take(self) -> None:
        waiter = self.queue.take(self.now)
        if waiter:
            assert self.waiting.pop(waiter.id) > self.now
        else:
            late = [one for one in self.waiting.values() if one <= self.now]
            assert len(late) == len(self.waiting)

    @rule()
    def expire(self) -> None:
        for waiter in self.queue.expire(self.now):
            assert self.waiting.pop(waiter.id) <= self.now
        assert all(one > self.now for one in self.waiting.values())

    @rule(number=st.integers(1, 30))
    def cancel(self, number: int) -> None:
        if self.queue.cancel(number):
            self.waiting.pop(number)

    @rule(seconds=st.sampled_from((0.1, 1.0, 3.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def bounded(self) -> None:
        assert len(self.queue) <= BOUNDS.length
        assert len(self.queue) <= len(self.waiting)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    max_examples=80, stateful_step_count=40, derandomize=True, deadline=None
)
