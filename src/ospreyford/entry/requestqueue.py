"""Queues requests while their service's backends are overloaded."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

import curio

from ospreyford.entry.attemptspec import AttemptSpec
from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.limits.queue import FairQueue, NotQueued, Waiter

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Plan
    from ospreyford.limits.settings import QueueSettings
    from ospreyford.ports.clock import Clock

#: Load reports can free capacity without a local request ending.
POLL_SECONDS = 0.05


#: Selects a backend for a queued request without sending it.
SelectBackend = Callable[[], AttemptSpec | NotRun]


class QueuedRequest:
    """A queued request; ``selection`` is valid once ``resolved`` is set.

    :param select: selects a backend for it.
    """

    def __init__(self, select: SelectBackend) -> None:
        self.select = select
        self.resolved = curio.Event()
        self.selection: AttemptSpec | NotRun = NotRun(Cause.overloaded, 0)


class RequestQueue:
    """Holds requests while every backend is at its load bound.

    :param settings: queue limits.
    :param clock: time source.
    """

    def __init__(self, settings: QueueSettings, clock: Clock) -> None:
        # One queue per service avoids head-of-line blocking between services.
        self._queues: dict[str, FairQueue] = {}
        self._settings = settings
        self._clock = clock
        self._ids = count()
        self._requests: dict[int, QueuedRequest] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def has_waiters(self, service: str) -> bool:
        """Tell whether requests for a service are queued.

        :param service: name of the service.
        :returns: whether new requests must queue.
        """
        return bool(self._queues.get(service))

    async def wait(
        self,
        call: Call,
        plan: Plan,
        select: SelectBackend,
    ) -> AttemptSpec | NotRun:
        """Wait for a backend.

        :param call: the admitted call.
        :param plan: weight and priority of the call.
        :param select: selects a backend for it.
        :returns: the selected backend, or a refusal with ``retry_after``.
        """
        waiter = Waiter(
            id=next(self._ids),
            customer=call.customer,
            cost=max(call.estimated_tokens, 1),
            deadline=call.deadline,
            priority=int(plan.priority),
            weight=plan.limit.weight,
        )
        queue = self._queues.get(call.service)
        if queue is None:
            queue = FairQueue(self._settings)
            self._queues[call.service] = queue
        admission = queue.offer(waiter, self._clock.monotonic())
        if isinstance(admission, NotQueued):
            return NotRun(Cause.overloaded, admission.retry_after)
        request = QueuedRequest(select)
        self._requests[waiter.id] = request
        if admission.displaced is not None:
            await self._resolve(admission.displaced, self._make_refusal())
        return await self._await_selection(queue, waiter, request)

    async def dispatch_heads(self) -> None:
        """Dispatch each queue's head if a backend has capacity."""
        for queue in tuple(self._queues.values()):
            await self._dispatch_head(queue)

    async def run(self) -> None:
        """Expire and dispatch queued requests until cancelled."""
        while True:
            await self._clock.sleep(POLL_SECONDS)
            for queue in tuple(self._queues.values()):
                await self._expire(queue)
            await self.dispatch_heads()

    async def _dispatch_head(self, queue: FairQueue) -> None:
        now = self._clock.monotonic()
        waiter = queue.peek(now)
        if waiter is None:
            return
        selection = self._requests[waiter.id].select()
        if not is_overloaded(selection):
            queue.take(now)
            await self._resolve(waiter, selection)

    async def _expire(self, queue: FairQueue) -> None:
        for waiter in queue.expire(self._clock.monotonic()):
            await self._resolve(waiter, self._make_refusal())

    async def _await_selection(
        self,
        queue: FairQueue,
        waiter: Waiter,
        request: QueuedRequest,
    ) -> AttemptSpec | NotRun:
        try:
            await request.resolved.wait()
        finally:
            self._requests.pop(waiter.id, None)
            queue.cancel(waiter.id)
        return request.selection

    async def _resolve(
        self, waiter: Waiter, selection: AttemptSpec | NotRun
    ) -> None:
        request = self._requests.get(waiter.id)
        if request is not None:
            request.selection = selection
            await request.resolved.set()

    def _make_refusal(self) -> NotRun:
        return NotRun(Cause.overloaded, self._settings.max_wait_seconds)


def is_overloaded(selection: AttemptSpec | NotRun) -> bool:
    """Tell whether every backend is at its load bound.

    :param selection: result of a backend selection.
    :returns: whether the request should be queued.
    """
    return isinstance(selection, NotRun) and selection.cause is Cause.overloaded
