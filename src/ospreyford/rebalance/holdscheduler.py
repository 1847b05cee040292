"""Selection of the pass at which a map change is held."""

from __future__ import annotations

from collections import deque
from typing import Final

#: Upper bound, since the counts behind a map age while it waits.
MAX_PASSES_AHEAD: Final = 4
MAX_ARMING_SAMPLES: Final = 4
#: Time from polling the start of a pass to the accepted hold.
HOLD_MARGIN_SECONDS: Final = 0.012
#: Timeout of the wait for a pass, in mean pass times.
MAX_WATCH_PASSES: Final = 2
#: Timeout of the wait for a pass while the pass time is unknown.
IDLE_WATCH_SECONDS: Final = 0.05


class HoldScheduler:
    """Selects how many passes ahead a change is held and armed.

    A held pass begins only when every rank is armed. The hold is placed far
    enough ahead for arming to end before it, so that no request is delayed.
    """

    def __init__(self) -> None:
        self.pass_seconds: float = 0
        self._armings: deque[float] = deque(maxlen=MAX_ARMING_SAMPLES)

    def record_arming(self, seconds: float) -> None:
        """Record how long it took to arm all ranks.

        :param seconds: from the accepted hold to the last rank.
        """
        self._armings.append(seconds)

    def select_passes_ahead(self) -> int:
        """Select the pass to hold.

        :returns: passes after the one that has just begun; at least 1.
        """
        if self.pass_seconds <= 0:
            return 1
        needed = max(self._armings, default=0) + HOLD_MARGIN_SECONDS
        return min(1 + int(needed / self.pass_seconds), MAX_PASSES_AHEAD)

    def compute_watch_seconds(self) -> float:
        """Compute the timeout of the wait for a pass.

        :returns: seconds.
        """
        if self.pass_seconds <= 0:
            return IDLE_WATCH_SECONDS
        return MAX_WATCH_PASSES * self.pass_seconds
