"""Measurement of a group's pass time."""

from __future__ import annotations

from collections import deque

#: Sliding window of the mean, short enough to follow the load.
WINDOW_SECONDS = 0.4


class PassTimer:
    """Computes the mean pass time over a sliding window."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def record_step(self, step: int, now: float) -> None:
        """Record the progress of the group.

        :param step: the last pass that was begun.
        :param now: seconds on the monotonic clock.
        """
        if self._samples and step < self._samples[-1][1]:
            self._samples.clear()
        self._samples.append((now, step))
        while self._samples[0][0] < now - WINDOW_SECONDS:
            self._samples.popleft()

    def compute_mean_seconds(self) -> float:
        """Compute the mean pass time.

        :returns: seconds; 0 if no pass has begun within the window.
        """
        if not self._samples:
            return 0
        began, first = self._samples[0]
        ended, last = self._samples[-1]
        return (ended - began) / (last - first) if last > first else 0
