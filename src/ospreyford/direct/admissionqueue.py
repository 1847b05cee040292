"""Order of the requests that wait for a rank group."""

from __future__ import annotations

from collections import Counter
from enum import IntEnum
from typing import TYPE_CHECKING

from ospreyford.direct.admission import is_late, is_unservable
from ospreyford.direct.urgency import UrgencyTurns

if TYPE_CHECKING:
    from collections.abc import Collection

    from ospreyford.direct.admission import QueuedRequest

#: Maximum number of queued late requests, relative to their capacity.
LATE_QUEUE_RATIO = 1.5
#: First tries admitted in a row before a queued retry goes next.
MAX_CONSECUTIVE_FIRST_TRIES = 7


class RequestOrder(IntEnum):
    """Admission classes of queued requests; the lowest value goes first."""

    #: A retry that has been passed over often enough.
    due = 0
    #: Can still meet its objective.
    on_time = 1
    #: A retry of a request that was refused before.
    retry = 2
    #: Will miss its objective.
    late = 3


class AdmissionQueue:
    """Requests waiting for admission to a group.

    Among requests of one urgency, on-time ones go first in order of arrival,
    then retries, then late ones. In plain order of arrival, one burst would
    make every request behind it late.
    """

    def __init__(self) -> None:
        self._requests: dict[int, QueuedRequest] = {}
        self._consecutive_first_tries = 0
        self._turns = UrgencyTurns()

    def __len__(self) -> int:
        return len(self._requests)

    def count_by_urgency(self) -> Counter[int]:
        """Count the requests by their urgency.

        :returns: the numbers.
        """
        return Counter(one.urgency for one in self._requests.values())

    def is_out_of_turn(self, request: QueuedRequest) -> bool:
        """Check whether a request goes before a more urgent one.

        :param request: the request, as selected.
        :returns: whether one waits that any group may run.
        """
        return any(
            one.urgency < request.urgency and not one.groups
            for one in self._requests.values()
        )

    def list_unrestricted(self, urgency: int) -> list[int]:
        """List the requests of one urgency that any group may run.

        :param urgency: the urgency.
        :returns: their numbers.
        """
        return [
            one.number
            for one in self._requests.values()
            if one.urgency == urgency and not one.groups
        ]

    def add(self, request: QueuedRequest) -> None:
        """Add a request.

        :param request: the request.
        """
        self._requests[request.number] = request

    def list_all(self) -> list[QueuedRequest]:
        """List all requests.

        :returns: the requests.
        """
        return list(self._requests.values())

    def remove(self, number: int) -> None:
        """Remove a request.

        :param number: of the request.
        """
        self._requests.pop(number, None)

    def select_next(
        self,
        now: float,
        first_event: float,
        held: Collection[int] = (),
    ) -> QueuedRequest | None:
        """Select the request that is admitted next.

        :param now: seconds on the monotonic clock.
        :param first_event: expected time to the first event, in seconds.
        :param held: numbers of requests that are passed over.
        :returns: the request, or ``None`` if there is none.
        """
        candidates = [
            request
            for request in self._requests.values()
            if request.number not in held
        ]
        if not candidates:
            return None
        urgency = self._turns.select({one.urgency for one in candidates})
        return min(
            candidates,
            key=lambda request: (
                request.urgency != urgency,
                request.urgency,
                self._compute_order(request, now, first_event),
                request.priority,
                request.number,
            ),
        )

    def admit(self, request: QueuedRequest) -> None:
        """Remove a request that is admitted.

        :param request: the request.
        """
        self.remove(request.number)
        self._turns.record_admission(request.urgency, self.count_by_urgency())
        self._consecutive_first_tries = (
            0 if request.is_retry else self._consecutive_first_tries + 1
        )

    def list_unservable(
        self, now: float, first_event: float, capacity: float, free: float = 0
    ) -> list[QueuedRequest]:
        """List the requests to refuse.

        Late requests that fit into free capacity are admitted at once, for
        instance after an outage, and don't count towards the bound.

        :param now: seconds on the monotonic clock.
        :param first_event: expected time to the first event, in seconds.
        :param capacity: streams that this entry may run concurrently.
        :param free: unused part of that capacity.
        :returns: those without enough time, and the least urgent and newest
            late ones beyond the bound.
        """
        late = [
            request
            for request in self._requests.values()
            if is_late(request, now, first_event)
        ]
        expired = [
            request
            for request in late
            if is_unservable(request, now, first_event)
        ]
        bound = max(int(LATE_QUEUE_RATIO * capacity + max(free, 0)), 1)
        servable = [request for request in late if request not in expired]
        servable.sort(key=lambda request: (request.urgency, request.number))
        return expired + servable[bound:]

    def _compute_order(
        self, request: QueuedRequest, now: float, first_event: float
    ) -> RequestOrder:
        if is_late(request, now, first_event):
            return RequestOrder.late
        if not request.is_retry:
            return RequestOrder.on_time
        # Callers with short timeouts look like retries; don't starve them.
        is_due = self._consecutive_first_tries >= MAX_CONSECUTIVE_FIRST_TRIES
        return RequestOrder.due if is_due else RequestOrder.retry
