"""How many requests this entry had at a back end, lately."""

from __future__ import annotations

from array import array

#: Changes that are remembered at least.
KEPT = 128
#: Changes that are forgotten at once, so that it is done seldom.
FORGOTTEN = 32


class Counts:
    """The last changes of a count, in plain numbers.

    An entry keeps one for each back end that it follows, a thousand or more;
    as objects the changes of one took 12 KB.
    """

    __slots__ = ('_counts', '_moments')

    def __init__(self) -> None:
        self._moments = array('d')
        self._counts = array('l')

    def note(self, count: int, now: float) -> None:
        """Take in a change.

        :param count: requests from now on.
        :param now: seconds on the monotonic clock, never less than before.
        """
        if len(self._counts) >= KEPT + FORGOTTEN:
            self._moments = self._moments[FORGOTTEN:]
            self._counts = self._counts[FORGOTTEN:]
        self._moments.append(now)
        self._counts.append(count)

    def count_at(self, moment: float) -> int:
        """Tell how many there were.

        :param moment: seconds on the monotonic clock.
        :returns: the requests then; 0 before all that is remembered.
        """
        place = len(self._counts)
        for noted in reversed(self._moments):
            place -= 1
            if noted <= moment:
                return self._counts[place]
        return 0
