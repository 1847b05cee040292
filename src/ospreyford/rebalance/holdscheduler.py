"""How far ahead of a group's passes a change of maps must be ordered."""

from __future__ import annotations

from collections import deque
from typing import Final

#: Passes that a change is ordered ahead at most: each one makes the map, whose
#: counts grow old, come into force that much later.
MAX_PASSES_AHEAD: Final = 4
#: Armings that are remembered. The longest of them counts: while orders are
#: lost, every other arming takes several times as long as the last one.
MAX_ARMING_SAMPLES: Final = 4
#: Time from seeing that a pass has begun to the hold being accepted, in
#: seconds: a look each four milliseconds, and one exchange between zones.
HOLD_MARGIN_SECONDS: Final = 0.012
#: How long to look for the beginning of a pass, in passes; prompts make single
#: ones longer than the mean.
MAX_WATCH_PASSES: Final = 2
#: The same where no pass time is known, in seconds: an idle group makes no
#: passes, and nothing waits for it.
IDLE_WATCH_SECONDS: Final = 0.05


class HoldScheduler:
    """Tells how many passes ahead a change is held and armed.

    Load pattern: the group is full, a pass takes half of the pause that
    callers bear, and demand moves. A held pass begins only when every rank has
    been armed; held for the next pass at any moment, half of the arming fell
    into the hold, and with orders lost on the way a hold took 70 to 150 ms: all
    streams of the group were late for the change that was to speed them up.
    Ordered as a pass begins, and so far ahead that the arming ends before the
    held pass, a change holds nobody.
    """

    def __init__(self) -> None:
        self.pass_seconds: float = 0
        self._armings: deque[float] = deque(maxlen=MAX_ARMING_SAMPLES)

    def record_arming(self, seconds: float) -> None:
        """Note how long the ranks took to be armed.

        :param seconds: from the accepted hold to the last rank.
        """
        self._armings.append(seconds)

    def select_passes_ahead(self) -> int:
        """Choose the pass that is held.

        :returns: passes after the one that has just begun; at least 1.
        """
        if self.pass_seconds <= 0:
            return 1
        needed = max(self._armings, default=0) + HOLD_MARGIN_SECONDS
        return min(1 + int(needed / self.pass_seconds), MAX_PASSES_AHEAD)

    def compute_watch_seconds(self) -> float:
        """Tell how long to look for the beginning of a pass.

        :returns: seconds.
        """
        if self.pass_seconds <= 0:
            return IDLE_WATCH_SECONDS
        return MAX_WATCH_PASSES * self.pass_seconds
