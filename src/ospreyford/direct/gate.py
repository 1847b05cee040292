"""Admission queue of streams in front of a rank group."""

from __future__ import annotations

import itertools
import math
import time
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.admission import (
    FIRST_EVENT_PASSES,
    LATE_CAPACITY_FRACTION,
    AdmissionQueue,
    GateView,
    QueuedRequest,
    StreamLimit,
    compute_caller_timeout,
)
from ospreyford.direct.waitingcalls import WaitingCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from ospreyford.direct.admission import GroupLoad
    from ospreyford.direct.call import Call

MILLISECONDS = 1000
#: Pause after a refusal: what ranks report of their group is as old as two load
#: reports.
REFUSAL_PAUSE_SECONDS = 0.2
#: Pause between probes of a closed group; a probe is refused at once, or starts
#: with the next passes.
PROBE_INTERVAL_SECONDS = 0.15
#: Retry time of refused requests: a burst lasts some seconds, and a caller has
#: one or two more tries.
BUSY_RETRY_AFTER_SECONDS = 1.0
#: The same while the group is closed: crashed backends take some seconds to
#: start, and their group opens within one more.
CLOSED_RETRY_AFTER_SECONDS = 2.0
#: Epoch before the first load report.
NO_EPOCH = -1


class StreamGate:
    """Admits the streams of one service.

    :param max_gap: maximum gap between events, in seconds.
    :param slots: requests that the service's ranks run concurrently.
    :param entries: number of entries that share them.
    """

    def __init__(
        self, max_gap: float, slots: int = 0, entries: int = 1
    ) -> None:
        self.running = 0
        self.limit = StreamLimit(max_gap)
        if slots:
            self.limit.update_slots(slots, entries)
        self._queue = AdmissionQueue()
        self._sequence = itertools.count()
        self._waiting = WaitingCalls()
        self._paused_until: float = 0
        self._is_closed = False
        self._is_stopping = False
        self._epoch = NO_EPOCH
        self._closed_epoch = NO_EPOCH
        self._reported_at: float | None = None

    async def acquire(self, call: Call) -> bool:
        """Wait for admission; an admitted request must call ``release``.

        :param call: the request; the inputs of the decision are stored in it.
        :returns: whether it is admitted; otherwise it has not been sent and
            should be refused.
        """
        is_admitted = await self._admit(call)
        call.gate = self._make_view(call)
        return is_admitted

    async def release(self) -> None:
        """Release the slot of a request that ended."""
        self.running -= 1
        await self.process_queue()

    def compute_retry_after(self) -> float:
        """Compute when a refused request should be retried.

        :returns: seconds until the burst has passed, or until a closed group
            has most likely reopened.
        """
        return (
            CLOSED_RETRY_AFTER_SECONDS
            if self._is_closed
            else BUSY_RETRY_AFTER_SECONDS
        )

    def record_refusal(self) -> None:
        """Record that a rank refused a request: its group may be closed.

        All ranks of a group refuse while one of them is down. Retrying at once
        would use up the attempts of every queued request before the group
        reopens.
        """
        self._is_closed = True
        self._closed_epoch = self._epoch
        self._paused_until = time.monotonic() + REFUSAL_PAUSE_SECONDS

    def record_start(self) -> None:
        """Record that a rank started a request: its group is open."""
        self._is_closed = False

    async def update_load(self, load: GroupLoad, entries: int) -> None:
        """Apply the group's newest load report.

        :param load: as reported by the coordinator.
        :param entries: number of entries that share the group.
        """
        self._reported_at = time.monotonic()
        self._epoch = load.epoch
        self.limit.update_load(load, self.running, entries)
        if not load.is_open:
            self.record_refusal()
        elif self._is_closed and load.epoch != self._closed_epoch:
            # The group reopened after the refusal. By probes alone, callers
            # would wait 0.2 to 0.6 s more for it.
            self._is_closed = False
        await self.process_queue()

    def stop_admitting(self) -> None:
        """Stop admitting; queued requests are answered by the shutdown."""
        self._is_stopping = True

    async def refuse_blocked(self, is_blocked: Callable[[Call], bool]) -> None:
        """Refuse the queued requests that are blocked since they came.

        :param is_blocked: checks one request.
        """
        for number in self._waiting.list_undecided(is_blocked):
            self._queue.remove(number)
            await self._waiting.refuse(number)

    async def process_queue(self, *, is_accepting: bool = True) -> None:
        """Admit and refuse queued requests as the current limits allow.

        :param is_accepting: whether a backend takes requests; all are refused
            otherwise.
        """
        if self._is_stopping:
            return
        now = time.monotonic()
        first_event = FIRST_EVENT_PASSES * self.limit.pass_seconds
        capacity = LATE_CAPACITY_FRACTION * self.limit.capacity
        for rejected in (
            self._queue.list_unservable(
                now, first_event, capacity, capacity - self.running
            )
            if is_accepting
            else self._queue.list_all()
        ):
            self._queue.remove(rejected.number)
            await self._waiting.refuse(rejected.number)
        while not self._is_paused(now):
            request = self._queue.select_next(now, first_event)
            if request is None:
                return
            if self.running >= self.limit.select_limit(
                request, now, first_event
            ):
                return
            self._queue.admit(request)
            self.running += 1
            if self._is_closed:
                # A single request probes whether the group has reopened.
                self._paused_until = now + PROBE_INTERVAL_SECONDS
            await self._waiting.admit(request.number)

    async def _admit(self, call: Call) -> bool:
        now = time.monotonic()
        if self._is_stopping:
            return False
        is_idle = not self._queue and not self._is_paused(now)
        if is_idle and not call.is_retry and self.running < self.limit.regular:
            self.running += 1
            return True
        request = QueuedRequest(
            next(self._sequence),
            call.started_at,
            call.route.objective,
            call.deadline,
            call.get_priority(),
            call.get_last_activity()
            - call.started_at
            + compute_caller_timeout(call.route.objective, call.route.max_gap),
            call.is_retry,
        )
        self._queue.add(request)
        self._waiting.add(request.number, call)
        try:
            return await self._wait(request)
        finally:
            self._queue.remove(request.number)
            self._waiting.remove(request.number)

    def _make_view(self, call: Call) -> GateView:
        age: float = -1
        if self._reported_at is not None:
            age = (time.monotonic() - self._reported_at) * MILLISECONDS
        return GateView(
            running=self.running,
            waiting=len(self._queue),
            late=_round_limit(self.limit.late),
            easy=_round_limit(self.limit.regular),
            full=_round_limit(self.limit.urgent),
            pass_ms=round(self.limit.pass_seconds * MILLISECONDS),
            age_ms=int(age),
            is_repeat=call.is_retry,
        )

    def _is_paused(self, now: float) -> bool:
        return self._is_closed and now < self._paused_until

    async def _wait(self, request: QueuedRequest) -> bool:
        await self.process_queue()
        try:
            await self._waiting.wait(request.number)
        except curio.CancelledError:
            # Cancelled just after admission: release the slot.
            if self._waiting.is_admitted(request.number):
                self.running -= 1
            raise
        return self._waiting.is_admitted(request.number)


def _round_limit(limit: float) -> float:
    # JSON has no infinity.
    return round(limit, 1) if math.isfinite(limit) else -1
