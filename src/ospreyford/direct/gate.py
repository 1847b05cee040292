"""Admission queue of streams in front of the rank groups of a service."""

from __future__ import annotations

import itertools
import time
from random import Random
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.admission import (
    LATE_CAPACITY_FRACTION,
    QueuedRequest,
    compute_caller_timeout,
)
from ospreyford.direct.admissionqueue import AdmissionQueue
from ospreyford.direct.grouproom import NO_GROUP
from ospreyford.direct.grouprooms import GroupRooms
from ospreyford.direct.roomchoice import choose_option
from ospreyford.direct.urgency import (
    RecentUrgencies,
    Rivals,
    count_less_urgent,
)
from ospreyford.direct.waitingcalls import WaitingCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from ospreyford.direct.admission import GroupLoad
    from ospreyford.direct.call import Call
    from ospreyford.direct.grouproom import GroupRoom

#: Retry time of refused requests: a burst lasts some seconds, and a caller has
#: one or two more tries.
BUSY_RETRY_AFTER_SECONDS = 1.0
#: The same while all groups are closed: crashed backends take some seconds to
#: start, and their group opens within one more.
CLOSED_RETRY_AFTER_SECONDS = 2.0


class StreamGate:
    """Admits the streams of one service to its groups.

    The queue is that of the service; each group has room of its own.

    :param max_gap: maximum gap between events, in seconds.
    :param slots: requests that the service's ranks run concurrently.
    :param entries: number of entries that share them.
    :param random: source of the choice among groups.
    """

    def __init__(
        self,
        max_gap: float,
        slots: int = 0,
        entries: int = 1,
        random: Random | None = None,
    ) -> None:
        self.rooms = GroupRooms(max_gap, slots, entries)
        self._random = random or Random()
        self._queue = AdmissionQueue()
        self._recent = RecentUrgencies()
        self._sequence = itertools.count()
        self._waiting = WaitingCalls()
        self._is_stopping = False

    @property
    def running(self) -> int:
        """Streams of this entry in all groups."""
        return sum(room.running for room in self.rooms.list_all())

    @property
    def waiting(self) -> int:
        """Requests queued at this entry."""
        return len(self._queue)

    async def acquire(
        self, call: Call, groups: frozenset[str] | None = None
    ) -> bool:
        """Wait for admission; an admitted request must call ``release``.

        :param call: the request; its room and the inputs of the decision are
            stored in it.
        :param groups: names of the groups that may run it; ``None`` for all.
        :returns: whether it is admitted; otherwise it has not been sent and
            should be refused.
        """
        is_admitted = await self._admit(call, groups)
        room = call.room or self.rooms.find_freest()
        call.gate = room.make_view(len(self._queue), is_repeat=call.is_retry)
        return is_admitted

    async def release(self, call: Call) -> None:
        """Release the place of a request that ended.

        :param call: the request.
        """
        _leave_room(call)
        await self.process_queue()

    def compute_retry_after(self) -> float:
        """Compute when a refused request should be retried.

        :returns: seconds until the burst has passed, or until one of the closed
            groups has most likely reopened.
        """
        return (
            CLOSED_RETRY_AFTER_SECONDS
            if all(room.is_closed for room in self.rooms.list_served())
            else BUSY_RETRY_AFTER_SECONDS
        )

    async def update_load(
        self, load: GroupLoad, entries: int, group: str = NO_GROUP
    ) -> None:
        """Apply a group's newest load report.

        :param load: as reported by the coordinator.
        :param entries: number of entries that share the group.
        :param group: name of the group.
        """
        room = self.rooms.find(group)
        if room is not None:
            room.update_load(load, entries)
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
        if self._is_stopping or not self._queue:
            return
        now = time.monotonic()
        totals = self.rooms.compute_totals()
        capacity = LATE_CAPACITY_FRACTION * totals.capacity
        for rejected in (
            self._queue.list_unservable(
                now, totals.first_event, capacity, capacity - totals.running
            )
            if is_accepting
            else self._queue.list_all()
        ):
            self._queue.remove(rejected.number)
            await self._waiting.refuse(rejected.number)
        await self._fill_rooms(now, totals.first_event)

    async def _fill_rooms(self, now: float, first_event: float) -> None:
        """Admit queued requests, in their order, while a group has room.

        A request that only certain groups may run doesn't hold up the others.
        """
        held: set[int] = set()
        while True:
            request = self._queue.select_next(now, first_event, held)
            if request is None:
                return
            room = self._choose_room(request, now)
            if room:
                self._queue.admit(request)
                room.admit(request, now)
                await self._waiting.admit(request.number, room)
            elif request.groups:
                held.add(request.number)
            elif self._queue.is_out_of_turn(request):
                # The limit is the same for all of its urgency.
                held.update(self._queue.list_unrestricted(request.urgency))
            else:
                return

    def _choose_room(
        self, request: QueuedRequest, now: float, *, is_first: bool = False
    ) -> GroupRoom | None:
        rooms = self.rooms.list_usable(now, request.groups)
        waiting = count_less_urgent(
            self._queue.count_by_urgency(), request.urgency
        )
        rivals = Rivals(
            less_urgent=waiting,
            are_waiting=waiting > 0,
            has_more_urgent=self._recent.has_more_urgent(request.urgency, now),
            is_due=self._queue.is_out_of_turn(request),
        )
        offers = [
            room.make_option(request, now, is_first=is_first, rivals=rivals)
            for room in rooms
        ]
        options = [one for one in offers if one is not None]
        chosen = choose_option(options, self._random)
        return None if chosen is None else self.rooms.find(chosen.name)

    async def _admit(self, call: Call, groups: frozenset[str] | None) -> bool:
        now = time.monotonic()
        if self._is_stopping:
            return False
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
            groups,
            call.route.priority,
        )
        self._recent.record(request.urgency, now)
        if not self._queue and not call.is_retry:
            room = self._choose_room(request, now, is_first=True)
            if room is not None:
                room.enter(request.urgency)
                call.room = room
                return True
        self._queue.add(request)
        self._waiting.add(request.number, call)
        try:
            return await self._wait(request, call)
        finally:
            self._queue.remove(request.number)
            self._waiting.remove(request.number)

    async def _wait(self, request: QueuedRequest, call: Call) -> bool:
        await self.process_queue()
        try:
            await self._waiting.wait(request.number)
        except curio.CancelledError:
            # Cancelled just after admission: release the place.
            if self._waiting.is_admitted(request.number):
                _leave_room(call)
            raise
        return self._waiting.is_admitted(request.number)


def _leave_room(call: Call) -> None:
    if call.room is not None:
        call.room.leave(call.route.priority)
        call.room = None
