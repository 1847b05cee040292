"""Admission control for streams of a rank group: limits of running streams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

#: Target mean pass time, as a fraction of the maximum gap between events. Right
#: after a shift of expert demand a pass takes twice its usual time, since all
#: ranks wait for the most loaded one; no stream is late even then.
REGULAR_PASS_FRACTION = 0.47
#: The same for requests that would miss their objective if they waited longer.
URGENT_PASS_FRACTION = 0.62
#: The same right after a shift of expert demand, at the peak cost. The rest is
#: the way of an event through the network and the entry.
SHIFT_PASS_FRACTION = 0.85
#: Decay of the peak stream cost per group report (ten reports a second): half
#: after twenty seconds without a shift.
PEAK_COST_DECAY = 0.9965
#: Upper bound of the peak cost, relative to the mean cost. A group that was
#: held or waited for a returning rank says nothing about its next passes.
MAX_PEAK_COST_RATIO = 2.6
#: A request that misses its objective within this time, two load reports of the
#: group, is urgent.
URGENT_SECONDS = 0.2
#: Passes from the admission of a request to its first event: the rest of the
#: current one, one or two for the prompt, one for the event.
FIRST_EVENT_PASSES = 3
#: Fraction of the objective available to the entry and the group; the rest is
#: the network.
ON_TIME_FRACTION = 0.9
#: Streams always admitted; an idle group's reports say little.
MIN_CAPACITY_STREAMS = 8
#: Fraction of the regular capacity open to requests that are already late; the
#: rest is kept for those that can still meet their objective.
LATE_CAPACITY_FRACTION = 0.6
#: Fraction of its total time that a request must have left to be admitted late:
#: a stream takes two to three of eight seconds under high load.
MIN_REMAINING_FRACTION = 0.35
#: A caller disconnects after the longest of these times without an event.
MIN_CALLER_TIMEOUT_SECONDS = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_GAPS = 8
#: Fraction of that time within which the first event must be expected; the rest
#: covers the network, and passes that take longer than the last ones.
CALLER_TIMEOUT_FRACTION = 0.85
#: Weight of the newest sample in the moving average of the stream cost.
COST_EWMA_WEIGHT = 0.3


class GroupLoad(NamedTuple):
    """Load of a group as reported by its coordinator.

    :param running: requests that run on its ranks.
    :param queued: requests that are queued on its ranks.
    :param pass_seconds: mean time of the last passes; 0 if there were none.
    :param base_seconds: time of a pass without any request.
    :param is_open: whether the group accepts requests.
    :param epoch: incremented each time the group opens.
    :param slots: requests that all its ranks run concurrently.
    :param free_slots: further requests that ranks take while others get none;
        infinite if all may be sent to.
    """

    running: int
    queued: int
    pass_seconds: float
    base_seconds: float
    is_open: bool = True
    epoch: int = 0
    slots: int = 0
    free_slots: float = float('inf')


class QueuedRequest(NamedTuple):
    """A request waiting for admission.

    :param number: unique in this process, in the order of arrival.
    :param started_at: when it was read, on the monotonic clock.
    :param objective: latency objective, in seconds.
    :param deadline: when it expires, on that clock.
    :param priority: that of the customer or else of the route; 0 goes first
        among requests that are as late.
    :param caller_timeout: how long its caller waits for the first event, in
        seconds.
    :param is_retry: whether it is a retry of a refused request.
    :param groups: names of the groups that may run it; ``None`` for all.
    :param urgency: priority of its route; 0 is the most urgent.
    """

    number: int
    started_at: float
    objective: float
    deadline: float
    priority: int
    caller_timeout: float = MIN_CALLER_TIMEOUT_SECONDS
    is_retry: bool = False
    groups: frozenset[str] | None = None
    urgency: int = 0


@dataclass(frozen=True)
class Admit:
    """A queued request may be sent.

    :param request: the request.
    """

    request: QueuedRequest


@dataclass(frozen=True)
class Refuse:
    """A queued request can no longer be served.

    :param request: the request.
    """

    request: QueuedRequest


class GateView(NamedTuple):
    """Inputs of an admission decision, for the log.

    :param running: streams of this entry in the group.
    :param waiting: requests queued at this entry.
    :param late: limit of running streams for admitting a late request, or -1 if
        unlimited.
    :param easy: the same for a request that can still wait.
    :param full: the same for a request that cannot wait any longer.
    :param pass_ms: mean time of the group's last passes.
    :param age_ms: age of the group's load report, or -1 before the first one.
    :param is_repeat: whether the request is a retry.
    :param group: name of the group; of a refused request, that of the group
        with the most free places.
    """

    running: int
    waiting: int
    late: float
    easy: float
    full: float
    pass_ms: int
    age_ms: int
    is_repeat: bool
    group: str = ''


class StreamLimit:
    """Limits the streams that this entry runs in a group.

    Each stream lengthens every pass of the group. Beyond some number all
    streams miss their objective without a gain in throughput, so the limit is
    derived from the measured cost of a stream per pass.

    :param max_gap: maximum gap between events, in seconds.
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
        """Apply the slots of the group's ranks as the initial limit.

        Until a pass has been measured, this keeps arrivals after an outage from
        filling the queues of the ranks.

        :param slots: requests that all ranks run concurrently.
        :param entries: number of entries that share the group.
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
        """Apply the group's newest load report.

        :param load: as reported by the coordinator.
        :param own_streams: streams of this entry in the group.
        :param entries: number of entries that share the group.
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
        """Select the limit that applies to a request.

        :param request: the request.
        :param now: seconds on the monotonic clock.
        :param first_event: expected time to the first event, in seconds.
        :returns: number of running streams below which it is admitted.
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
            return load.free_slots
        target = fraction * self._max_gap - load.base_seconds
        capacity = max(target / cost, MIN_CAPACITY_STREAMS)
        return min(capacity - load.running - load.queued, load.free_slots)


def is_urgent(request: QueuedRequest, now: float, first_event: float) -> bool:
    """Check whether a request is about to become late.

    :param request: the request.
    :param now: seconds on the monotonic clock.
    :param first_event: expected time to the first event, in seconds.
    :returns: whether it becomes late within ``URGENT_SECONDS``.
    """
    soon = now + URGENT_SECONDS
    return is_late(request, soon, first_event) and not is_late(
        request, now, first_event
    )


def compute_caller_timeout(objective: float, max_gap: float) -> float:
    """Compute how long a caller waits for the next event.

    :param objective: latency objective, in seconds.
    :param max_gap: maximum gap between events, in seconds.
    :returns: seconds after which it disconnects.
    """
    return max(
        MIN_CALLER_TIMEOUT_SECONDS,
        CALLER_TIMEOUT_OBJECTIVES * objective,
        CALLER_TIMEOUT_GAPS * max_gap,
    )


def is_unservable(
    request: QueuedRequest, now: float, first_event: float
) -> bool:
    """Check whether a request should be refused.

    Refusing early gives the caller a retry time; otherwise it disconnects and
    comes back during the same burst.

    :param request: the request.
    :param now: seconds on the monotonic clock.
    :param first_event: expected time to the first event, in seconds.
    :returns: whether its caller will have disconnected before the first event,
        or too little time is left for the whole stream.
    """
    waited = now - request.started_at
    if waited + first_event > CALLER_TIMEOUT_FRACTION * request.caller_timeout:
        return True
    total = request.deadline - request.started_at
    return total - waited < MIN_REMAINING_FRACTION * total


def is_late(request: QueuedRequest, now: float, first_event: float) -> bool:
    """Check whether a request would miss its objective if admitted now.

    :param request: the request.
    :param now: seconds on the monotonic clock.
    :param first_event: expected time to the first event, in seconds.
    :returns: whether it is late.
    """
    waited = now - request.started_at
    return waited + first_event > ON_TIME_FRACTION * request.objective
