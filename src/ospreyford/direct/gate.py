"""Where streams wait until their group has room."""

from __future__ import annotations

import itertools
import math
import time
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.admission import (
    FIRST_EVENT_PASSES,
    LATE_ROOM,
    AdmissionQueue,
    GateView,
    StreamLimit,
    Waiter,
    tell_patience,
)

if TYPE_CHECKING:
    from ospreyford.direct.admission import GroupLoad
    from ospreyford.direct.call import Call

MILLISECONDS = 1000
#: Pause after a refusal, in seconds: what ranks show of their group is as old
#: as two reports.
PAUSE_SECONDS = 0.2
#: Pause after a request that finds out whether the group is open again, in
#: seconds: it is refused at once, or begins with the next passes.
PROBE_SECONDS = 0.15
#: When a refused request should come back, in seconds: a wave lasts some
#: seconds, and a request has one or two further tries in all.
BUSY_SECONDS = 1.0
#: The same while the group is closed: back ends that crashed take some seconds
#: to start, and their group then opens within one.
CLOSED_SECONDS = 2.0
#: Before anything was told of a group.
NO_EPOCH = -1


class StreamGate:
    """Admits the streams of one service.

    :param max_gap: pause between events that callers bear, in seconds.
    :param slots: requests that the service's ranks run at once, all together.
    :param entries: entries that send to them.
    """

    def __init__(
        self, max_gap: float, slots: int = 0, entries: int = 1
    ) -> None:
        self.running = 0
        self.limit = StreamLimit(max_gap)
        if slots:
            self.limit.take_slots(slots, entries)
        self._queue = AdmissionQueue()
        self._numbers = itertools.count()
        self._turns: dict[int, curio.Event] = {}
        self._refused: set[int] = set()
        self._paused_until: float = 0
        self._is_closed = False
        self._is_ending = False
        self._epoch = NO_EPOCH
        self._closed_epoch = NO_EPOCH
        self._told_at: float | None = None

    async def enter(self, call: Call) -> bool:
        """Wait for a place; whoever got one must leave it.

        :param call: the request; notes what the decision rested on.
        :returns: whether it has a place; otherwise it has not been sent and
            should be refused now.
        """
        has_place = await self._decide(call)
        call.gate = self._tell_view(call)
        return has_place

    async def leave(self) -> None:
        """Free a place."""
        self.running -= 1
        await self.look()

    def tell_retry(self) -> float:
        """Tell when a refused request should come back.

        :returns: seconds: until a wave has passed, or a group that is closed
            has most likely opened again.
        """
        return CLOSED_SECONDS if self._is_closed else BUSY_SECONDS

    def note_refusal(self) -> None:
        """Note that a rank refused a request: its group may be closed.

        All ranks of a group refuse while one of them is away. Sent on at
        once, each waiting request would be refused by as many ranks as it may
        reach, and be lost within milliseconds although the group opens again
        long before its deadline.
        """
        self._is_closed = True
        self._closed_epoch = self._epoch
        self._paused_until = time.monotonic() + PAUSE_SECONDS

    def note_start(self) -> None:
        """Note that a rank began a request: its group is open."""
        self._is_closed = False

    async def take_load(self, load: GroupLoad, entries: int) -> None:
        """Take over the group's newest figures.

        :param load: as told by its coordinator.
        :param entries: entries that send to the group.
        """
        self._told_at = time.monotonic()
        self._epoch = load.epoch
        self.limit.take_load(load, self.running, entries)
        if not load.is_open:
            self.note_refusal()
        elif self._is_closed and load.epoch != self._closed_epoch:
            # It has opened since a rank refused. Found out by single requests
            # alone, each of them refused with the group still closed, the
            # callers of an outage waited for 0.2 to 0.6 s at an open group.
            self._is_closed = False
        await self.look()

    def stop_admitting(self) -> None:
        """Give no more places; who waits is answered by whoever ends this."""
        self._is_ending = True

    async def look(self) -> None:
        """Admit and refuse as far as there is reason to."""
        if self._is_ending:
            return
        now = time.monotonic()
        first_event = FIRST_EVENT_PASSES * self.limit.pass_seconds
        places = LATE_ROOM * self.limit.places
        for waiter in self._queue.list_hopeless(
            now, first_event, places, places - self.running
        ):
            self._queue.remove(waiter.number)
            self._refused.add(waiter.number)
            await self._turns[waiter.number].set()
        while not self._is_waiting(now):
            chosen = self._queue.choose(now, first_event)
            if chosen is None:
                return
            if self.running >= self.limit.tell_most(chosen, now, first_event):
                return
            self._queue.admit(chosen)
            self.running += 1
            if self._is_closed:
                # One request finds out whether the group is open again.
                self._paused_until = now + PROBE_SECONDS
            await self._turns[chosen.number].set()

    async def _decide(self, call: Call) -> bool:
        now = time.monotonic()
        if self._is_ending:
            return False
        is_free = not self._queue and not self._is_waiting(now)
        if is_free and not call.is_repeat and self.running < self.limit.easy:
            self.running += 1
            return True
        waiter = Waiter(
            next(self._numbers),
            call.started_at,
            call.route.objective,
            call.deadline,
            call.tell_priority(),
            call.tell_quiet_since()
            - call.started_at
            + tell_patience(call.route.objective, call.route.max_gap),
            call.is_repeat,
        )
        self._queue.add(waiter)
        self._turns[waiter.number] = curio.Event()
        try:
            return await self._wait(waiter)
        finally:
            self._forget(waiter.number)

    def _tell_view(self, call: Call) -> GateView:
        age: float = -1
        if self._told_at is not None:
            age = (time.monotonic() - self._told_at) * MILLISECONDS
        return GateView(
            running=self.running,
            waiting=len(self._queue),
            late=_round(self.limit.late),
            easy=_round(self.limit.easy),
            full=_round(self.limit.full),
            pass_ms=round(self.limit.pass_seconds * MILLISECONDS),
            age_ms=int(age),
            is_repeat=call.is_repeat,
        )

    def _is_waiting(self, now: float) -> bool:
        return self._is_closed and now < self._paused_until

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


def _round(places: float) -> float:
    # JSON has no infinity.
    return round(places, 1) if math.isfinite(places) else -1
