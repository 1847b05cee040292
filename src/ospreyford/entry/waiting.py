"""The fair queue's waiters as tasks."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import curio

from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.limits.queue import FairQueue, NotQueued, Waiter

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Plan
    from ospreyford.limits.settings import QueueSettings
    from ospreyford.ports.clock import Clock

#: Load reports may free capacity although no request of this entry ends.
TICK_SECONDS = 0.05


class Place:
    """One request's place in the queue.

    ``turn`` tells, once ``decided`` is set, whether its turn has come.
    """

    def __init__(self) -> None:
        self.decided = curio.Event()
        self.turn = False


class WaitingRoom:
    """Holds requests while every back end is at its load bound.

    :param settings: bounds of the queue.
    :param clock: source of time.
    """

    def __init__(self, settings: QueueSettings, clock: Clock) -> None:
        self._queue = FairQueue(settings)
        self._clock = clock
        self._ids = count()
        self._places: dict[int, Place] = {}
        self._retry_after = settings.max_wait_seconds

    def __len__(self) -> int:
        return len(self._queue)

    async def wait(self, call: Call, plan: Plan) -> NotRun | None:
        """Wait for a turn.

        :param call: the request.
        :param plan: its customer's weight and priority.
        :returns: ``None`` when its turn has come; otherwise why it is refused,
            at once, with when to come back.
        """
        waiter = Waiter(
            id=next(self._ids),
            customer=call.customer,
            cost=max(call.tokens, 1),
            deadline=call.deadline,
            priority=int(plan.priority),
            weight=plan.limit.weight,
        )
        verdict = self._queue.offer(waiter, self._clock.monotonic())
        if isinstance(verdict, NotQueued):
            return NotRun(Cause.overloaded, verdict.retry_after)
        if verdict.displaced is not None:
            await self._decide(verdict.displaced, turn=False)
        return await self._await_turn(waiter)

    async def call_next(self) -> None:
        """Give the next in turn its chance: some capacity may be free."""
        waiter = self._queue.take(self._clock.monotonic())
        if waiter is not None:
            await self._decide(waiter, turn=True)

    async def run(self) -> None:
        """Refuse whoever waited too long, and try the next, for ever."""
        while True:
            await self._clock.sleep(TICK_SECONDS)
            for waiter in self._queue.expire(self._clock.monotonic()):
                await self._decide(waiter, turn=False)
            await self.call_next()

    async def _await_turn(self, waiter: Waiter) -> NotRun | None:
        place = Place()
        self._places[waiter.id] = place
        try:
            await place.decided.wait()
        finally:
            self._places.pop(waiter.id, None)
            self._queue.cancel(waiter.id)
        if place.turn:
            return None
        return NotRun(Cause.overloaded, self._retry_after)

    async def _decide(self, waiter: Waiter, *, turn: bool) -> None:
        place = self._places.get(waiter.id)
        if place is not None:
            place.turn = turn
            await place.decided.set()
