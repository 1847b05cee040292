"""Room of one rank group at one entry."""

from __future__ import annotations

import math
import time
from collections import Counter
from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.direct.admission import (
    FIRST_EVENT_PASSES,
    GateView,
    StreamLimit,
    is_late,
)
from ospreyford.direct.roomchoice import RoomOption
from ospreyford.direct.urgency import (
    NO_RIVALS,
    Rivals,
    adjust_limit,
    count_less_urgent,
)

if TYPE_CHECKING:
    from ospreyford.direct.admission import GroupLoad, QueuedRequest

MILLISECONDS = 1000
#: Pause after a refusal: what ranks report of their group is as old as two load
#: reports.
REFUSAL_PAUSE_SECONDS = 0.2
#: Pause between probes of a closed group; a probe is refused at once, or starts
#: with the next passes.
PROBE_INTERVAL_SECONDS = 0.15
#: Epoch before the first load report.
NO_EPOCH = -1
#: Name of the room of backends that no group is known of.
NO_GROUP: Final = ''


class GroupBackends(NamedTuple):
    """What an entry knows of the backends of a group.

    :param size: number of available backends.
    :param slots: requests that they run concurrently.
    :param is_local: whether some are in the entry's availability zone.
    """

    size: int
    slots: int = 0
    is_local: bool = False


NO_BACKENDS: Final = GroupBackends(0)


class GroupRoom:
    """Streams that this entry runs in one group, and whether it is open.

    :param name: name of the group; :data:`NO_GROUP` if none is known.
    :param max_gap: maximum gap between events, in seconds.
    :param slots: requests that the group's ranks run concurrently.
    :param entries: number of entries that share them.
    """

    def __init__(
        self, name: str, max_gap: float, slots: int = 0, entries: int = 1
    ) -> None:
        self.name = name
        #: Running streams by urgency.
        self._running: Counter[int] = Counter()
        self.limit = StreamLimit(max_gap)
        if slots:
            self.limit.update_slots(slots, entries)
        self.backends = NO_BACKENDS
        #: Whether backends of the group take requests.
        self.is_accepting = True
        self.is_closed = False
        self.epoch = NO_EPOCH
        self.reported_at: float | None = None
        self._closed_epoch = NO_EPOCH
        #: Whether the group's last report told that it is open.
        self._is_reported_open = False
        self._paused_until: float = 0
        self._was_closed = False

    @property
    def running(self) -> int:
        """Number of running streams."""
        return self._running.total()

    @property
    def first_event(self) -> float:
        """Expected time to the first event of a stream, in seconds."""
        return FIRST_EVENT_PASSES * self.limit.pass_seconds

    def is_paused(self, now: float) -> bool:
        """Check whether the closed group is given nothing for the moment.

        :param now: seconds on the monotonic clock.
        :returns: whether it is.
        """
        return self.is_closed and now < self._paused_until

    def enter(self, urgency: int) -> None:
        """Take a place.

        :param urgency: of the stream.
        """
        self._running[urgency] += 1

    def leave(self, urgency: int) -> None:
        """Give a place back.

        :param urgency: of the stream.
        """
        self._running[urgency] -= 1

    def admit(self, request: QueuedRequest, now: float) -> None:
        """Take a place for a queued request.

        :param request: the request.
        :param now: seconds on the monotonic clock.
        """
        self.enter(request.urgency)
        if self.is_closed:
            # A single request probes whether the group has reopened.
            self._paused_until = now + PROBE_INTERVAL_SECONDS

    def make_option(
        self,
        request: QueuedRequest,
        now: float,
        *,
        is_first: bool,
        rivals: Rivals = NO_RIVALS,
    ) -> RoomOption | None:
        """Offer the group's free places to a request.

        :param request: the request.
        :param now: seconds on the monotonic clock.
        :param is_first: whether it found an empty queue.
        :param rivals: requests of other priorities that wait or came recently.
        :returns: the offer; ``None`` if there is no place for it.
        """
        first_event = self.first_event
        running = count_less_urgent(self._running, request.urgency)
        limit = adjust_limit(
            self.limit,
            self.limit.regular
            if is_first
            else self.limit.select_limit(request, now, first_event),
            rivals._replace(less_urgent=rivals.less_urgent + running),
            is_late=is_late(request, now, first_event),
        )
        if self.running >= limit:
            return None
        return RoomOption(
            self.name,
            limit - self.running,
            self.is_closed and not self._is_reported_open,
            is_late(request, now, first_event),
            self.backends.is_local,
        )

    def record_refusal(self) -> None:
        """Record that a rank refused a request: its group may be closed.

        All ranks of a group refuse while one of them is down. Retrying at once
        would use up the attempts of every queued request before the group
        reopens.
        """
        self.is_closed = True
        self._closed_epoch = self.epoch
        self._paused_until = time.monotonic() + REFUSAL_PAUSE_SECONDS

    def record_start(self) -> None:
        """Record that a rank started a request: its group is open."""
        self.is_closed = False

    def update_load(self, load: GroupLoad, entries: int) -> None:
        """Apply the group's newest load report.

        :param load: as reported by the coordinator.
        :param entries: number of entries that share the group.
        """
        self.reported_at = time.monotonic()
        self.epoch = load.epoch
        self.limit.update_load(load, self.running, entries)
        self._is_reported_open = load.is_open
        if not load.is_open:
            self.record_refusal()
        elif self.is_closed and load.epoch != self._closed_epoch:
            # The group reopened after the refusal. By probes alone, callers
            # would wait 0.2 to 0.6 s more for it.
            self.is_closed = False

    def take_change(self) -> bool:
        """Check whether the group has closed or opened.

        :returns: whether it has since the last call.
        """
        has_changed = self.is_closed is not self._was_closed
        self._was_closed = self.is_closed
        return has_changed

    def make_view(self, waiting: int, *, is_repeat: bool) -> GateView:
        """Collect the inputs of a decision.

        :param waiting: requests queued at this entry.
        :param is_repeat: whether the request is a retry.
        :returns: the inputs.
        """
        age: float = -1
        if self.reported_at is not None:
            age = (time.monotonic() - self.reported_at) * MILLISECONDS
        return GateView(
            running=self.running,
            waiting=waiting,
            late=_round_limit(self.limit.late),
            easy=_round_limit(self.limit.regular),
            full=_round_limit(self.limit.urgent),
            pass_ms=round(self.limit.pass_seconds * MILLISECONDS),
            age_ms=int(age),
            is_repeat=is_repeat,
            group=self.name,
        )


def _round_limit(limit: float) -> float:
    # JSON has no infinity.
    return round(limit, 1) if math.isfinite(limit) else -1
