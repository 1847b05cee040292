"""One caller's request as the entry handles it."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import takewhile
from typing import TYPE_CHECKING, Final

from ospreyford.direct.catalog import RetryMode

if TYPE_CHECKING:
    from ospreyford.direct.admission import GateView
    from ospreyford.direct.catalog import Customer, Route
    from ospreyford.http.connections import Origin
    from ospreyford.http.message import Request

#: Outcome of a sending that has none yet.
IN_FLIGHT: Final = 'under way'


@dataclass
class Attempt:
    """One sending of a request, for the log.

    :param backend: id of the back end.
    :param at: milliseconds after the request was read.
    :param outcome: how it ended.
    """

    backend: str
    sent_ms: int
    outcome: str = IN_FLIGHT


@dataclass
class Call:
    """One request.

    :param id: the caller's id of this attempt.
    :param request: its head as it came.
    :param body: its whole body.
    :param route: the route that takes it.
    :param service: the service that was drawn for it.
    :param key: the caller's key.
    :param customer: whose key it is.
    :param started_at: when it was read, on the monotonic clock.
    :param deadline: when the caller or the route gives up, on that clock.
    :param cursor: id of the last event that the caller has.
    :param origin: how it came, for the log.
    :param is_repeat: whether its caller was turned away before, and is late.
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

    def record_event(self, now: float) -> None:
        """Note that events were passed on.

        :param now: seconds on the monotonic clock.
        """
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            gap = now - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.last_event_at = now

    def get_last_activity(self) -> float:
        """Tell since when its caller has seen nothing.

        :returns: the moment of the last event, or of the request itself, on
            the monotonic clock.
        """
        if self.last_event_at is None:
            return self.started_at
        return self.last_event_at

    def get_priority(self) -> int:
        """Tell how urgent it is.

        :returns: the customer's priority, or else the route's; 0 goes first.
        """
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority

    def is_retryable(self) -> bool:
        """Tell whether it may be sent again after a sending of unknown fate.

        :returns: whether more than one run does no harm.
        """
        return self.route.retry_mode is not RetryMode.once

    def list_tried_backends(self) -> set[str]:
        """List the back ends that it was sent to.

        :returns: their ids.
        """
        return {attempt.backend for attempt in self.attempts}

    def is_in_flight(self) -> bool:
        """Tell whether the fate of its last sending is unknown.

        :returns: whether it is still under way.
        """
        return bool(self.attempts) and self.attempts[-1].outcome == IN_FLIGHT

    def has_attempts_left(self) -> bool:
        """Tell whether its route lets it run at a further back end.

        :returns: whether fewer sendings than that were not refused.
        """
        runs = sum(not _is_refused(one) for one in self.attempts)
        return runs < self.route.attempts

    def count_trailing_refusals(self) -> int:
        """Count the refusals since the last sending that was not refused.

        :returns: how many back ends in a row have refused it.
        """
        refused = takewhile(_is_refused, reversed(self.attempts))
        return len(list(refused))

    def compute_remaining(self, now: float) -> float:
        """Tell how much time is left.

        :param now: seconds on the monotonic clock.
        :returns: seconds; not below zero.
        """
        return max(self.deadline - now, 0)


def _is_refused(attempt: Attempt) -> bool:
    return attempt.outcome == 'Refused'
