"""State of one request."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import takewhile
from typing import TYPE_CHECKING, Final

from ospreyford.direct.catalog import RetryMode

if TYPE_CHECKING:
    from ospreyford.direct.admission import GateView
    from ospreyford.direct.catalog import Customer, Route
    from ospreyford.direct.grouproom import GroupRoom
    from ospreyford.http.connections import Origin
    from ospreyford.http.message import Request

#: Outcome of an attempt without a result.
IN_FLIGHT: Final = 'under way'
#: Outcomes of attempts that did not run: refused by a backend that goes on
#: taking requests, by one that does not, and not sent.
REFUSED: Final = 'Refused'
SHED: Final = 'Shed'
WITHHELD: Final = 'Withheld'
#: Refused while the request ran at another backend.
DECLINED: Final = 'Declined'
NOT_RUN: Final = frozenset((REFUSED, SHED, WITHHELD, DECLINED))
#: Outcome of an attempt that was given up for another one.
DROPPED: Final = 'Dropped'


@dataclass
class Attempt:
    """One attempt to send a request to a backend, for the log.

    :param backend: id of the backend.
    :param sent_ms: milliseconds after the request was read.
    :param outcome: how it ended.
    :param is_connected: whether a connection could be opened.
    :param room: room of the backend's group, for streams.
    :param details: what the outcome was derived from.
    """

    backend: str
    sent_ms: int
    outcome: str = IN_FLIGHT
    is_connected: bool = True
    room: GroupRoom | None = None
    details: tuple[str, ...] = ()

    def describe(self) -> str:
        """Describe the attempt in the log.

        :returns: backend, time, outcome and details.
        """
        words = (self.backend, str(self.sent_ms), self.outcome, *self.details)
        return ' '.join(words)


@dataclass
class Call:
    """One request.

    :param id: the caller's request id.
    :param request: method, target and header fields as received.
    :param body: the whole body.
    :param route: the matching route.
    :param service: the service selected for it.
    :param key: the caller's key.
    :param customer: owner of the key.
    :param started_at: when it was read, on the monotonic clock.
    :param deadline: when the caller or the route gives up, on that clock.
    :param cursor: id of the last event that the caller has received.
    :param origin: connection details, for the log.
    :param is_retry: whether it is a retry of a refused request.
    :param identities: its own and those of the prompt parts that it shares,
        once they are needed.
    :param send_before: when its place at a limited backend lapses, in seconds
        on the boot clock.
    :param trial_from: number of attempts before it was sent as a trial.
    :param room: room of the group that it is admitted to, for streams.
    """

    id: str
    request: Request
    route: Route
    service: str
    key: str | None
    customer: Customer | None
    started_at: float
    deadline: float
    cursor: int | None = None
    origin: Origin | None = None
    is_retry: bool = False
    body: bytes = b''
    attempts: list[Attempt] = field(default_factory=list)
    may_have_run: bool = False
    gate: GateView | None = None
    admitted_at: float | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0
    identities: tuple[bytes, ...] = ()
    trial_from: int | None = None
    room: GroupRoom | None = None
    send_before: float | None = None

    def record_event(self, now: float) -> None:
        """Record that events were forwarded.

        :param now: seconds on the monotonic clock.
        """
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            gap = now - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.last_event_at = now

    def get_last_activity(self) -> float:
        """Return when the caller last received something.

        :returns: time of the last event, or else of the request, on the
            monotonic clock.
        """
        if self.last_event_at is None:
            return self.started_at
        return self.last_event_at

    def get_priority(self) -> int:
        """Return the request's priority.

        :returns: the customer's priority, or else the route's; 0 goes first.
        """
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority

    def is_retryable(self) -> bool:
        """Check whether it may be sent again after an unknown outcome.

        :returns: whether running it more than once is safe.
        """
        return self.route.retry_mode is not RetryMode.once

    def list_tried_backends(self) -> set[str]:
        """List the backends that it was to be sent to.

        :returns: their ids.
        """
        return {attempt.backend for attempt in self.attempts}

    def list_reached_backends(self) -> set[str]:
        """List the backends that it may have reached.

        :returns: the ids of those that accepted a connection.
        """
        return {one.backend for one in self.attempts if one.is_connected}

    def is_in_flight(self) -> bool:
        """Check whether the last attempt has no outcome yet.

        :returns: whether it is in flight.
        """
        return bool(self.attempts) and self.attempts[-1].outcome == IN_FLIGHT

    def has_attempts_left(self) -> bool:
        """Check whether its route allows another attempt.

        The limit is one of backends. A backend whose attempt was dropped counts
        as reached; it may get the request again.

        :returns: whether attempts that were neither refused nor dropped are
            below the limit.
        """
        runs = sum(
            one.outcome not in NOT_RUN and one.outcome != DROPPED
            for one in self.attempts
        )
        return runs < self.route.attempts

    def count_trailing_refusals(self) -> int:
        """Count the refusals since the last attempt that ended otherwise.

        A backend that takes no further requests speaks for itself, not for its
        group; backends of another group say nothing of this one.

        :returns: the number of consecutive refusals by others of the group that
            was tried last.
        """
        refused = takewhile(_is_refused, reversed(self.attempts))
        rooms = [one.room for one in refused]
        return sum(room is rooms[0] for room in rooms)

    def compute_remaining(self, now: float) -> float:
        """Compute the time left until the deadline.

        :param now: seconds on the monotonic clock.
        :returns: seconds; not below zero.
        """
        return max(self.deadline - now, 0)


def _is_refused(attempt: Attempt) -> bool:
    return attempt.outcome == REFUSED
