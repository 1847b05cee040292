"""When changes of maps wait for agents that are about to end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.failuredetector import FailureDetector

#: No change begins until an agent that has asked to end counts as silent, and
#: for so long after it, in seconds: its rank is then reached without it.
LEAVE_SECONDS: Final = 0.1
#: How many times as long no change begins at most while agents ask one after
#: the other.
MAX_PAUSES: Final = 2


class PlanPause:
    """Keeps changes from beginning while an agent ends.

    :param silent: tells how long an agent may be silent.
    :param clock: source of time.
    """

    def __init__(self, detector: FailureDetector, clock: Clock) -> None:
        self._detector = detector
        self._clock = clock
        self._until: float = 0
        self._started_at: float = 0

    def extend(self) -> None:
        """Begin no change for a while: an agent has asked to end."""
        now = self._clock.monotonic()
        if now >= self._until:
            self._started_at = now
        self._until = now + self._compute_seconds()

    def is_over(self) -> bool:
        """Tell whether a change may begin.

        Where agents are stopped one after the other, waiting for the last of
        them would keep the map as it is for as long as that takes.

        :returns: whether no agent that is about to end counts on none.
        """
        latest = self._started_at + MAX_PAUSES * self._compute_seconds()
        return self._clock.monotonic() >= min(self._until, latest)

    def _compute_seconds(self) -> float:
        return self._detector.compute_timeout() + LEAVE_SECONDS
