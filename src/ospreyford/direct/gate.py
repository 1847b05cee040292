"""Where streams wait until their group has room."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.admission import (
    FIRST_EVENT_PASSES,
    AdmissionQueue,
    StreamLimit,
    Waiter,
    is_urgent,
)

if TYPE_CHECKING:
    from ospreyford.direct.admission import GroupLoad
    from ospreyford.direct.call import Call

#: How often waiting requests are looked at, in seconds; each end of a stream
#: and each report of a group looks as well.
LOOK_SECONDS = 0.05


class StreamGate:
    """Admits the streams of one service.

    :param max_gap: pause between events that callers bear, in seconds.
    """

    def __init__(self, max_gap: float) -> None:
        self.running = 0
        self.limit = StreamLimit(max_gap)
        self._queue = AdmissionQueue()
        self._numbers = itertools.count()
        self._turns: dict[int, curio.Event] = {}
        self._refused: set[int] = set()

    async def enter(self, call: Call) -> bool:
        """Wait for a place; whoever got one must leave it.

        :param call: the request.
        :returns: whether it has a place; otherwise it has not been sent and
            should be refused now.
        """
        if not self._queue and self.running < self.limit.easy:
            self.running += 1
            return True
        waiter = Waiter(
            next(self._numbers),
            call.started_at,
            call.route.objective,
            call.deadline,
            call.route.priority,
        )
        self._queue.add(waiter)
        self._turns[waiter.number] = curio.Event()
        try:
            return await self._wait(waiter)
        finally:
            self._forget(waiter.number)

    async def leave(self) -> None:
        """Free a place."""
        self.running -= 1
        await self.look()

    async def take_load(self, load: GroupLoad, entries: int) -> None:
        """Take over the group's newest figures.

        :param load: as told by its coordinator.
        :param entries: entries that send to the group.
        """
        self.limit.take_load(load, self.running, entries)
        await self.look()

    async def look(self) -> None:
        """Admit and refuse as far as there is reason to."""
        now = time.monotonic()
        first_event = FIRST_EVENT_PASSES * self.limit.pass_seconds
        for waiter in self._queue.list_hopeless(
            now, first_event, self.running + 1
        ):
            self._queue.remove(waiter.number)
            self._refused.add(waiter.number)
            await self._turns[waiter.number].set()
        while True:
            chosen = self._queue.choose(now, first_event)
            if chosen is None:
                return
            is_pressing = is_urgent(chosen, now, first_event)
            limit = self.limit.full if is_pressing else self.limit.easy
            if self.running >= limit:
                return
            self._queue.remove(chosen.number)
            self.running += 1
            await self._turns[chosen.number].set()

    def _forget(self, number: int) -> None:
        self._queue.remove(number)
        self._turns.pop(number, None)
        self._refused.discard(number)

    async def _wait(self, waiter: Waiter) -> bool:
        turn = self._turns[waiter.number]
        await self.look()
        try:
            await turn.wait()
        except curio.CancelledError:
            # The caller left, or time is up, just as the place was given.
            if turn.is_set() and waiter.number not in self._refused:
                self.running -= 1
            raise
        return waiter.number not in self._refused
