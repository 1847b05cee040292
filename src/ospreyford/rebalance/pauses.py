"""Delay of map changes while agents stop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.failuredetector import FailureDetector

#: Delay in addition to the failure detector's timeout.
LEAVE_SECONDS: Final = 0.1
#: Upper bound of consecutive delays, in multiples of one.
MAX_PAUSES: Final = 2


class PlanPause:
    """Delays changes while an agent stops.

    :param detector: supplies the timeout after which an agent is bypassed.
    :param clock: source of time.
    """

    def __init__(self, detector: FailureDetector, clock: Clock) -> None:
        self._detector = detector
        self._clock = clock
        self._until: float = 0
        self._started_at: float = 0

    def extend(self) -> None:
        """Delay changes, since an agent has asked to stop."""
        now = self._clock.monotonic()
        if now >= self._until:
            self._started_at = now
        self._until = now + self._compute_seconds()

    def is_over(self) -> bool:
        """Return whether a change may start.

        The total delay is bounded, so that agents stopped one by one do not
        block changes.

        :returns: whether the delay has expired.
        """
        latest = self._started_at + MAX_PAUSES * self._compute_seconds()
        return self._clock.monotonic() >= min(self._until, latest)

    def _compute_seconds(self) -> float:
        return self._detector.compute_timeout() + LEAVE_SECONDS
