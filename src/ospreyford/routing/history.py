"""How many requests this entry had at a backend, lately."""

from __future__ import annotations

from array import array

#: Changes that are remembered at least.
MIN_CHANGES_KEPT = 128
#: Changes that are forgotten at once, so that it is done seldom.
CHANGES_TRIMMED = 32


class InFlightHistory:
    """The last changes of a count, in plain numbers.

    An entry keeps one for each backend that it follows, a thousand or more;
    as objects the changes of one took 12 KB.
    """

    __slots__ = ('_counts', '_moments')

    def __init__(self) -> None:
        self._moments = array('d')
        self._counts = array('l')

    def record(self, count: int, now: float) -> None:
        """Take in a change.

        :param count: requests from now on.
        :param now: seconds on the monotonic clock, never less than before.
        """
        if len(self._counts) >= MIN_CHANGES_KEPT + CHANGES_TRIMMED:
            self._moments = self._moments[CHANGES_TRIMMED:]
            self._counts = self._counts[CHANGES_TRIMMED:]
        self._moments.append(now)
        self._counts.append(count)

    def get_count(self, at: float) -> int:
        """Tell how many there were.

        :param moment: seconds on the monotonic clock.
        :returns: the requests then; 0 before all that is remembered.
        """
        index = len(self._counts)
        for changed_at in reversed(self._moments):
            index -= 1
            if changed_at <= at:
                return self._counts[index]
        return 0
