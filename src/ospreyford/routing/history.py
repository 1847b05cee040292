"""Recent history of an entry's in-flight requests at a backend."""

from __future__ import annotations

from array import array

#: Minimum number of changes kept.
MIN_CHANGES_KEPT = 128
#: Number of changes trimmed at a time, to amortize the copy.
CHANGES_TRIMMED = 32


class InFlightHistory:
    """Recent in-flight counts, stored compactly for thousands of backends."""

    __slots__ = ('_counts', '_moments')

    def __init__(self) -> None:
        self._moments = array('d')
        self._counts = array('l')

    def record(self, count: int, now: float) -> None:
        """Record a change.

        :param count: requests from now on.
        :param now: seconds on the monotonic clock, not decreasing.
        """
        if len(self._counts) >= MIN_CHANGES_KEPT + CHANGES_TRIMMED:
            self._moments = self._moments[CHANGES_TRIMMED:]
            self._counts = self._counts[CHANGES_TRIMMED:]
        self._moments.append(now)
        self._counts.append(count)

    def get_count(self, at: float) -> int:
        """Get the count at a given time.

        :param at: seconds on the monotonic clock.
        :returns: the requests in flight; 0 before the start of the history.
        """
        index = len(self._counts)
        for changed_at in reversed(self._moments):
            index -= 1
            if changed_at <= at:
                return self._counts[index]
        return 0
