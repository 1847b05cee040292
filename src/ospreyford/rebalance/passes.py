"""How long the passes of a group take."""

from __future__ import annotations

from collections import deque

#: Length of the window whose passes are averaged, in seconds: some passes
#: under high load, and no longer than a change of demand takes to show.
WINDOW_SECONDS = 0.4


class PassTimer:
    """Tells the mean time of the last passes."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def record_step(self, step: int, now: float) -> None:
        """Add a look at the group.

        :param step: the last pass that was begun.
        :param now: seconds on the monotonic clock.
        """
        if self._samples and step < self._samples[-1][1]:
            self._samples.clear()
        self._samples.append((now, step))
        while self._samples[0][0] < now - WINDOW_SECONDS:
            self._samples.popleft()

    def compute_mean_seconds(self) -> float:
        """Tell the mean time of the last passes.

        :returns: seconds; 0 if no pass has begun lately.
        """
        if not self._samples:
            return 0
        began, first = self._samples[0]
        ended, last = self._samples[-1]
        return (ended - began) / (last - first) if last > first else 0
