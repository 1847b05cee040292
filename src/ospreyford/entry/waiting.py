"""The fair queue's waiters as tasks."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING

import curio

from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.entry.target import Sending
from ospreyford.limits.queue import FairQueue, NotQueued, Waiter

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Plan
    from ospreyford.limits.settings import QueueSettings
    from ospreyford.ports.clock import Clock

#: Load reports may free capacity although no request of this entry ends.
TICK_SECONDS = 0.05


#: Tries to find a back end for a waiter, without sending anything yet.
Finder = Callable[[], Sending | NotRun]


class Place:
    """One request's place in the queue.

    ``verdict`` is set before ``decided``: where to send the request, or why
    it is refused.

    :param find: tries to find a back end for it.
    """

    def __init__(self, find: Finder) -> None:
        self.find = find
        self.decided = curio.Event()
        self.verdict: Sending | NotRun = NotRun(Cause.overloaded, 0)


class WaitingRoom:
    """Holds requests while every back end is at its load bound.

    :param settings: bounds of the queue.
    :param clock: source of time.
    """

    def __init__(self, settings: QueueSettings, clock: Clock) -> None:
        # One queue for each service: only the head of a queue is tried, and
        # a service at its bound would hold up the waiters of all others.
        self._queues: dict[str, FairQueue] = {}
        self._settings = settings
        self._clock = clock
        self._ids = count()
        self._places: dict[int, Place] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def has_waiters(self, service: str) -> bool:
        """Tell whether requests of a service wait.

        :param service: the service's name.
        :returns: whether a newcomer must wait behind them.
        """
        return bool(self._queues.get(service))

    async def wait(
        self,
        call: Call,
        plan: Plan,
        find: Finder,
    ) -> Sending | NotRun:
        """Wait for a turn.

        :param call: the request.
        :param plan: its customer's weight and priority.
        :param find: tries to find a back end for it.
        :returns: where to send it when its turn has come; otherwise why it is
            refused, at once, with when to come back.
        """
        waiter = Waiter(
            id=next(self._ids),
            customer=call.customer,
            cost=max(call.tokens, 1),
            deadline=call.deadline,
            priority=int(plan.priority),
            weight=plan.limit.weight,
        )
        queue = self._queues.get(call.service)
        if queue is None:
            queue = FairQueue(self._settings)
            self._queues[call.service] = queue
        verdict = queue.offer(waiter, self._clock.monotonic())
        if isinstance(verdict, NotQueued):
            return NotRun(Cause.overloaded, verdict.retry_after)
        place = Place(find)
        self._places[waiter.id] = place
        if verdict.displaced is not None:
            await self._decide(verdict.displaced, self._refuse())
        return await self._await_verdict(queue, waiter, place)

    async def call_next(self) -> None:
        """Give the next of each service its chance: some may be free.

        It keeps its place while there is none; taken out and refused, it
        would have waited for nothing.
        """
        for queue in tuple(self._queues.values()):
            await self._try_head(queue)

    async def run(self) -> None:
        """Refuse whoever waited too long, and try the next, for ever."""
        while True:
            await self._clock.sleep(TICK_SECONDS)
            for queue in tuple(self._queues.values()):
                await self._expire(queue)
            await self.call_next()

    async def _try_head(self, queue: FairQueue) -> None:
        now = self._clock.monotonic()
        waiter = queue.peek(now)
        if waiter is None:
            return
        found = self._places[waiter.id].find()
        if not is_overload(found):
            queue.take(now)
            await self._decide(waiter, found)

    async def _expire(self, queue: FairQueue) -> None:
        for waiter in queue.expire(self._clock.monotonic()):
            await self._decide(waiter, self._refuse())

    async def _await_verdict(
        self,
        queue: FairQueue,
        waiter: Waiter,
        place: Place,
    ) -> Sending | NotRun:
        try:
            await place.decided.wait()
        finally:
            self._places.pop(waiter.id, None)
            queue.cancel(waiter.id)
        return place.verdict

    async def _decide(self, waiter: Waiter, verdict: Sending | NotRun) -> None:
        place = self._places.get(waiter.id)
        if place is not None:
            place.verdict = verdict
            await place.decided.set()

    def _refuse(self) -> NotRun:
        return NotRun(Cause.overloaded, self._settings.max_wait_seconds)


def is_overload(found: Sending | NotRun) -> bool:
    """Tell whether waiting may help.

    :param found: the answer to a try to find a back end.
    :returns: whether every back end is at its load bound.
    """
    return isinstance(found, NotRun) and found.cause is Cause.overloaded
