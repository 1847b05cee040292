"""Sustained overload of a group with retrying callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from ospreyford.direct.admission import (
    FIRST_EVENT_PASSES,
    LATE_CAPACITY_FRACTION,
    GroupLoad,
    QueuedRequest,
    StreamLimit,
)
from ospreyford.direct.admissionqueue import (
    MAX_CONSECUTIVE_FIRST_TRIES,
    AdmissionQueue,
)
from ospreyford.direct.retrydetection import RetryDetector

MAX_GAP = 0.15
BASE = 0.023
#: Additional pass time per stream with balanced experts, in seconds.
COST = 0.0033
PASSES = 22
TICK = 0.02
SECONDS = 60.0
#: Streams per second, a third more than the entry can serve.
ARRIVALS = 14.5
OBJECTIVE = 0.506
#: Timeout of a caller in seconds, and its maximum relative deviation.
TIMEOUT_SECONDS = 8.05
SPREAD = 0.15
#: Relative timeout of callers with short timeouts.
SHORT_FRACTION = 0.6
#: Time until the only retry of a refused caller.
RETRY_SECONDS = 1.0


@dataclass
class Caller:
    """A caller and the time of its first try."""

    first_at: float
    timeout: float
    has_retried: bool = False
    is_short: bool = False


@dataclass
class Entry:
    """One entry with its share of a group."""

    detects_retries: bool
    queue: AdmissionQueue = field(default_factory=AdmissionQueue)
    limit: StreamLimit = field(default_factory=lambda: StreamLimit(MAX_GAP))
    detector: RetryDetector = field(default_factory=RetryDetector)
    running: list[float] = field(default_factory=list)
    callers: dict[int, Caller] = field(default_factory=dict)
    on_time: int = 0
    short_served: int = 0
    served: int = 0

    def add(self, caller: Caller, now: float) -> None:
        number = len(self.callers)
        left = caller.timeout - (now - caller.first_at)
        is_retry = self.detector.record_request('route', '', left)
        self.callers[number] = caller
        self.queue.add(
            QueuedRequest(
                number,
                now,
                OBJECTIVE,
                now + left,
                1,
                is_retry=is_retry and self.detects_retries,
            )
        )

    def step(self, now: float) -> list[Caller]:
        """Advance by a tick; return the refused callers."""
        pass_seconds = BASE + COST * len(self.running)
        left = [one - TICK / pass_seconds for one in self.running]
        self.running = [one for one in left if one > 0]
        count = len(self.running)
        load = GroupLoad(max(count, 8), 0, pass_seconds, BASE)
        self.limit.update_load(load, count, 1)
        first_event = FIRST_EVENT_PASSES * pass_seconds
        places = LATE_CAPACITY_FRACTION * self.limit.capacity
        unservable = self.queue.list_unservable(
            now, first_event, places, places - count
        )
        for request in unservable:
            self.queue.remove(request.number)
        self._admit(now, first_event)
        return [self.callers[one.number] for one in unservable]

    def _admit(self, now: float, first_event: float) -> None:
        chosen = self.queue.select_next(now, first_event)
        while chosen is not None and self._has_capacity(
            chosen, now, first_event
        ):
            self.queue.admit(chosen)
            self.running.append(PASSES)
            caller = self.callers[chosen.number]
            self.served += 1
            self.short_served += caller.is_short
            waited = now - caller.first_at + first_event
            self.on_time += waited <= OBJECTIVE
            chosen = self.queue.select_next(now, first_event)

    def _has_capacity(
        self, one: QueuedRequest, now: float, first_event: float
    ) -> bool:
        limit = self.limit.select_limit(one, now, first_event)
        return len(self.running) < limit


def replay(*, detects_retries: bool, short: float = 0) -> Entry:
    """Replay the load; ``short`` is the share of callers with less time."""
    random = Random(3)
    entry = Entry(detects_retries)
    returning: list[tuple[float, Caller]] = []
    now = 0.0
    while now < SECONDS:
        now += TICK
        if random.random() < ARRIVALS * TICK:
            timeout = TIMEOUT_SECONDS * (1 - SPREAD * random.random())
            is_short = short > 0 and random.random() < short
            if is_short:
                timeout *= SHORT_FRACTION
            entry.add(Caller(now, timeout, is_short=is_short), now)
        while returning and returning[0][0] <= now:
            entry.add(returning.pop(0)[1], now)
        for caller in entry.step(now):
            if not caller.has_retried:
                caller.has_retried = True
                returning.append((now + RETRY_SECONDS, caller))
    return entry


def test_retries_do_not_delay_first_tries() -> None:
    """Retries must not take the slots of first tries that can be on time."""
    unknown = replay(detects_retries=False)
    known = replay(detects_retries=True)
    assert unknown.on_time < 0.85 * unknown.served
    # All but the slots reserved for retries.
    others = MAX_CONSECUTIVE_FIRST_TRIES / (MAX_CONSECUTIVE_FIRST_TRIES + 1)
    assert known.on_time >= others * known.served
    assert known.served > 0.95 * unknown.served


def test_callers_with_short_timeouts_are_served() -> None:
    """Callers with short timeouts look like retries but must not starve."""
    entry = replay(detects_retries=True, short=0.1)
    callers = {id(one): one for one in entry.callers.values()}.values()
    short = sum(one.is_short for one in callers)
    part_of_all = entry.served / len(callers)
    assert entry.short_served / short > 0.25 * part_of_all
