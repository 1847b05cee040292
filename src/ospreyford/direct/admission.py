"""How many streams run in a rank group at once, and which one goes next."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

#: Parts of the pause that callers bear which a pass may take on average. Right
#: after other experts came into demand a pass takes twice its usual time, since
#: all ranks wait for the most loaded one: with the first part even then no
#: stream is late. Requests that would be late if they waited any longer are
#: admitted up to the second part.
REGULAR_PASS_FRACTION = 0.47
URGENT_PASS_FRACTION = 0.62
#: Part of that pause which a pass may take right after other experts came into
#: demand; the rest is the way of an event through the network and the entry.
SHIFT_PASS_FRACTION = 0.85
#: What is left of the dearest pass seen with each report of the group, ten a
#: second: after twenty seconds without a change of demand, half.
PEAK_COST_DECAY = 0.9965
#: How much dearer than usual a pass counts at most. A group that was held, or
#: waited for a rank that came back, says nothing of its next passes.
MAX_PEAK_COST_RATIO = 2.6
#: A request that can wait no longer than this is urgent, in seconds: two
#: reports of the group.
URGENT_SECONDS = 0.2
#: Passes from the admission of a request to its first event: the rest of the
#: one under way, one or two for its prompt, one for the event.
FIRST_EVENT_PASSES = 3
#: Longest wait for a first event with which a request still counts as being
#: in time, as a part of the objective; the rest is the way through the network.
ON_TIME_FRACTION = 0.9
#: Requests for which there is room in any case: the figures of an idle group
#: say little.
MIN_CAPACITY_STREAMS = 8
#: Part of the easy room in which requests are admitted that will be late
#: anyway; the rest is kept for those that can still be in time.
LATE_CAPACITY_FRACTION = 0.6
#: Requests that wait although they will be late, as a part of the places that
#: they may take: about what a wave leaves room for before they are out of time.
LATE_QUEUE_RATIO = 1.5
#: Part of a request's time that must be left when it is admitted late: a
#: stream takes two to three seconds under high load, of eight.
MIN_REMAINING_FRACTION = 0.35
#: A caller leaves a stream after the longest of these without an event, before
#: the first one as well: seconds, times the objective, times the pause that it
#: bears. The platform's protocol names all three.
MIN_CALLER_TIMEOUT_SECONDS = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_GAPS = 8
#: Part of that time within which the first event must be expected: the rest is
#: the way through the network, and what a pass takes longer than the last ones.
CALLER_TIMEOUT_FRACTION = 0.85
#: Places given in a row to callers that were not turned away before; the next
#: one is due to one that was, as soon as one waits.
MAX_CONSECUTIVE_FIRST_TRIES = 7
#: Weight of the newest figure in what a request adds to a pass.
COST_EWMA_WEIGHT = 0.3


class RequestOrder(IntEnum):
    """In which order requests go that wait for a place."""

    #: Turned away before, and passed over often enough.
    due = 0
    #: Can still be in time.
    on_time = 1
    #: Turned away before.
    retry = 2
    #: Has waited here for longer than it may.
    late = 3


class GroupLoad(NamedTuple):
    """What a group's coordinator tells of it.

    :param running: requests that run at its ranks.
    :param queued: requests that wait there.
    :param pass_seconds: mean time of the last passes; 0 if there were none.
    :param base_seconds: time of a pass without any request.
    :param is_open: whether the group takes requests.
    :param epoch: grows each time the group opens anew.
    :param slots: requests that its ranks run at once, all together.
    """

    running: int
    queued: int
    pass_seconds: float
    base_seconds: float
    is_open: bool = True
    epoch: int = 0
    slots: int = 0


class QueuedRequest(NamedTuple):
    """A request that waits for its admission.

    :param number: unique in this process, in the order of arrival.
    :param started_at: when it was read, on the monotonic clock.
    :param objective: latency that its caller hopes for, in seconds.
    :param deadline: when it ends at the latest, on that clock.
    :param priority: 0 goes first.
    :param patience: how long its caller waits for the first event, in seconds.
    :param is_repeat: whether its caller was turned away before, and is late.
    """

    number: int
    started_at: float
    objective: float
    deadline: float
    priority: int
    caller_timeout: float = MIN_CALLER_TIMEOUT_SECONDS
    is_retry: bool = False


@dataclass(frozen=True)
class Admit:
    """A waiting request may go.

    :param waiter: the request.
    """

    request: QueuedRequest


@dataclass(frozen=True)
class Refuse:
    """A waiting request cannot be served any more.

    :param waiter: the request.
    """

    request: QueuedRequest


class GateView(NamedTuple):
    """What a decision about a waiting stream rested on, for the log.

    :param running: streams that this entry has in the group.
    :param waiting: requests that wait at this entry.
    :param late: streams up to which it admits one that will be late anyway,
        or -1 for any number.
    :param easy: the same where one can be in time and still wait.
    :param full: the same where one can wait no longer.
    :param pass_ms: mean time of the group's last passes.
    :param age_ms: age of the group's figures, or -1 before the first ones.
    :param is_repeat: whether its caller was turned away before.
    """

    running: int
    waiting: int
    late: float
    easy: float
    full: float
    pass_ms: int
    age_ms: int
    is_repeat: bool


class StreamLimit:
    """The entry's part of the streams that a group runs at once.

    Load pattern: arrivals come in waves, and each stream makes every pass of
    the whole group longer, for all others as well. Beyond some number all
    streams are late because of the pauses between their events, and the group
    serves hardly more of them. So the number is bounded by what a stream was
    seen to add to a pass; whoever waits for an admission loses less than all
    would.

    :param max_gap: pause between events that callers bear, in seconds.
    """

    def __init__(self, max_gap: float) -> None:
        self.pass_seconds: float = 0
        self.late = float('inf')
        self.regular = float('inf')
        self.urgent = float('inf')
        self.capacity: float = 1
        self._max_gap = max_gap
        self._cost: float | None = None
        self._peak_cost: float = 0

    def update_slots(self, slots: int, entries: int) -> None:
        """Take over what the group's ranks run at once at most.

        Load pattern: all hosts were lost and are back; nothing has been
        measured yet, and the callers of the outage come at once. Unbounded,
        they fill the queues of the ranks, where the newest are the first to
        be read; what the ranks run at once is the bound until a pass has shown
        what a stream costs.

        :param slots: of all ranks.
        :param entries: entries that send to the group.
        """
        if self._cost is None:
            share = max(slots / max(entries, 1), 1)
            self.late = LATE_CAPACITY_FRACTION * share
            self.regular = share
            self.urgent = share
            self.capacity = share

    def update_load(
        self, load: GroupLoad, own_streams: int, entries: int
    ) -> None:
        """Take over the group's newest figures.

        :param load: as told by its coordinator.
        :param mine: streams that this entry has in the group.
        :param entries: entries that send to the group.
        """
        if load.pass_seconds > 0 and load.running >= MIN_CAPACITY_STREAMS:
            self.pass_seconds = load.pass_seconds
            excess = max(load.pass_seconds - load.base_seconds, 0)
            self._update_cost(excess / load.running)
        share = 1 / max(entries, 1)
        peak = self._compute_headroom(
            load, SHIFT_PASS_FRACTION, self._peak_cost
        )
        regular = self._compute_headroom(
            load, REGULAR_PASS_FRACTION, self._cost
        )
        urgent = self._compute_headroom(load, URGENT_PASS_FRACTION, self._cost)
        self.regular = own_streams + min(regular, peak) * share
        occupied = load.running + load.queued
        late = (
            LATE_CAPACITY_FRACTION * (min(regular, peak) + occupied) - occupied
        )
        self.late = own_streams + late * share
        if load.is_open and self.regular < float('inf'):
            self.capacity = max(self.regular, 1)
        self.urgent = own_streams + min(urgent, peak) * share
        if load.slots:
            self.update_slots(load.slots, entries)

    def select_limit(
        self, request: QueuedRequest, now: float, first_event: float
    ) -> float:
        """Tell up to how many streams a request is admitted.

        :param waiter: the request.
        :param now: seconds on the monotonic clock.
        :param first_event: expected time to the first event, in seconds.
        :returns: the number.
        """
        if is_late(request, now, first_event):
            return self.late
        if is_urgent(request, now, first_event):
            return self.urgent
        return self.regular

    def _update_cost(self, cost: float) -> None:
        if self._cost is None:
            self._cost = cost
        self._cost += COST_EWMA_WEIGHT * (cost - self._cost)
        max_cost = MAX_PEAK_COST_RATIO * self._cost
        self._peak_cost = min(
            max(cost, self._peak_cost * PEAK_COST_DECAY), max_cost
        )

    def _compute_headroom(
        self, load: GroupLoad, fraction: float, cost: float | None
    ) -> float:
        if not cost:
            return float('inf')
        target = fraction * self._max_gap - load.base_seconds
        capacity = max(target / cost, MIN_CAPACITY_STREAMS)
        return capacity - load.running - load.queued


class AdmissionQueue:
    """Requests that wait for a place in a group.

    Those that can still be in time go first, the oldest first. The others
    have until their deadline: they fill what the waves leave free, and no more
    than a part of the room once they have waited for long. Whoever was turned
    away before is late, however short it has waited here: taken for a new
    caller, it makes one late that could be in time, who is turned away in turn
    and comes back late as well. Served in the order of arrival alone, a queue
    longer than the objective would make every request behind it late, although
    there is room for most of them; and a group that opens after an outage, full
    of the outage's callers at once, would make all those late who come in the
    next seconds.
    """

    def __init__(self) -> None:
        self._requests: dict[int, QueuedRequest] = {}
        self._consecutive_first_tries = 0

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: QueuedRequest) -> None:
        """Add a request.

        :param waiter: the request.
        """
        self._requests[request.number] = request

    def remove(self, number: int) -> None:
        """Remove a request.

        :param number: of the request.
        """
        self._requests.pop(number, None)

    def select_next(
        self, now: float, first_event: float
    ) -> QueuedRequest | None:
        """Choose the request that goes next.

        :param now: seconds on the monotonic clock.
        :param first_event: expected time to the first event, in seconds.
        :returns: the request, or ``None`` if none waits.
        """
        if not self._requests:
            return None
        return min(
            self._requests.values(),
            key=lambda request: (
                self._compute_order(request, now, first_event),
                request.priority,
                request.number,
            ),
        )

    def admit(self, request: QueuedRequest) -> None:
        """Take out a request that goes now.

        :param waiter: the request.
        """
        self.remove(request.number)
        self._consecutive_first_tries = (
            0 if request.is_retry else self._consecutive_first_tries + 1
        )

    def list_unservable(
        self, now: float, first_event: float, capacity: float, free: float = 0
    ) -> list[QueuedRequest]:
        """List the requests that will not be served any more.

        Load pattern: all hosts, or a whole group, were lost; the callers of
        the outage wait for the group to open, and all of them are late by
        then. Nothing runs, so the next ``free`` of them go at once and are not
        among those that must wait for a place to be given back. Counted among
        them, most callers were refused a tenth of a second before the group
        could have served them, and had no try left.

        :param now: seconds on the monotonic clock.
        :param first_event: expected time to the first event, in seconds.
        :param places: streams that this entry runs at once.
        :param free: how many of these places nobody has.
        :returns: those without enough time, and the newest of the late ones
            beyond the bound.
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
        rest = [request for request in late if request not in expired]
        rest.sort(key=lambda waiter: waiter.number)
        return expired + rest[bound:]

    def _compute_order(
        self, request: QueuedRequest, now: float, first_event: float
    ) -> RequestOrder:
        if is_late(request, now, first_event):
            return RequestOrder.late
        if not request.is_retry:
            return RequestOrder.on_time
        # Callers that always give less time than others look turned away.
        # Under a load that lasts they would never have a place.
        is_due = self._consecutive_first_tries >= MAX_CONSECUTIVE_FIRST_TRIES
        return RequestOrder.due if is_due else RequestOrder.retry


def is_urgent(request: QueuedRequest, now: float, first_event: float) -> bool:
    """Tell whether a request will soon be late, and is not yet.

    :param waiter: the request.
    :param now: seconds on the monotonic clock.
    :param first_event: expected time to the first event, in seconds.
    :returns: whether it can hardly wait any longer.
    """
    soon = now + URGENT_SECONDS
    return is_late(request, soon, first_event) and not is_late(
        request, now, first_event
    )


def compute_caller_timeout(objective: float, max_gap: float) -> float:
    """Tell how long a caller waits for the first event of a stream.

    :param objective: latency that it hopes for, in seconds.
    :param max_gap: pause between events that it bears, in seconds.
    :returns: seconds, after which it leaves.
    """
    return max(
        MIN_CALLER_TIMEOUT_SECONDS,
        CALLER_TIMEOUT_OBJECTIVES * objective,
        CALLER_TIMEOUT_GAPS * max_gap,
    )


def is_unservable(
    request: QueuedRequest, now: float, first_event: float
) -> bool:
    """Tell whether a request that is late will not be served any more.

    Load pattern: more arrive for some seconds than the group takes. Kept until
    its caller leaves, a request has waited for nothing, and its caller comes
    back without having been told when; refused before, it comes back when the
    wave is over.

    :param waiter: the request.
    :param now: seconds on the monotonic clock.
    :param first_event: expected time to the first event, in seconds.
    :returns: whether its caller will have left by then, or has too little time
        left for the whole stream.
    """
    waited = now - request.started_at
    if waited + first_event > CALLER_TIMEOUT_FRACTION * request.caller_timeout:
        return True
    total = request.deadline - request.started_at
    return total - waited < MIN_REMAINING_FRACTION * total


def is_late(request: QueuedRequest, now: float, first_event: float) -> bool:
    """Tell whether a request will miss its objective if it goes now.

    :param waiter: the request.
    :param now: seconds on the monotonic clock.
    :param first_event: expected time to the first event, in seconds.
    :returns: whether it is late.
    """
    waited = now - request.started_at
    return waited + first_event > ON_TIME_FRACTION * request.objective
