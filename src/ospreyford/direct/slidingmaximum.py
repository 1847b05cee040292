"""Maximum of the values of a sliding window."""

from __future__ import annotations

from collections import deque


class SlidingMaximum:
    """Maximum of the values recorded in the last seconds.

    The latest value counts however old it is.

    :param window: length of the window, in seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        #: Time and value, in decreasing order of values.
        self._samples: deque[tuple[float, int]] = deque()

    def record(self, number: int, now: float) -> None:
        """Record a value.

        :param number: the value.
        :param now: seconds on the monotonic clock.
        """
        while self._samples and self._samples[-1][1] <= number:
            self._samples.pop()
        self._samples.append((now, number))
        while self._samples[0][0] < now - self._window:
            self._samples.popleft()

    def get(self) -> int | None:
        """Return the maximum as of the latest value.

        :returns: the maximum; ``None`` before the first value.
        """
        return self._samples[0][1] if self._samples else None
