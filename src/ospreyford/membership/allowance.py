"""How many bytes repairs may still take."""

from __future__ import annotations

from ospreyford.ports.clock import Clock


class Allowance:
    """Grows at an even rate up to a limit; what is used is taken off.

    The last use may take more than is left: an answer's size is known only
    afterwards. The next one then waits the longer.

    :param limit: bytes, the most at once.
    :param seconds: from nothing to the limit.
    :param clock: source of time.
    """

    def __init__(self, limit: int, seconds: float, clock: Clock) -> None:
        self._limit = limit
        self._rate = limit / seconds
        self._clock = clock
        self._left: float = limit
        self._filled_at = clock.monotonic()

    def is_left(self) -> bool:
        """Tell whether anything is left.

        :returns: whether to go on.
        """
        now = self._clock.monotonic()
        grown = self._left + self._rate * (now - self._filled_at)
        self._left = min(self._limit, grown)
        self._filled_at = now
        return self._left > 0

    def use(self, used: int) -> None:
        """Take off what was used.

        :param used: bytes.
        """
        self._left -= used
