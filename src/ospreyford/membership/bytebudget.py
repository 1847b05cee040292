"""How many bytes repairs may still take."""

from __future__ import annotations

from ospreyford.ports.clock import Clock


class ByteBudget:
    """Grows at an even rate up to a limit; what is used is taken off.

    The last use may take more than is left: an answer's size is known only
    afterwards. The next one then waits the longer.

    :param limit: bytes, the most at once.
    :param seconds: from nothing to the limit.
    :param clock: source of time.
    """

    def __init__(
        self, capacity_bytes: int, refill_seconds: float, clock: Clock
    ) -> None:
        self._capacity_bytes = capacity_bytes
        self._bytes_per_second = capacity_bytes / refill_seconds
        self._clock = clock
        self._available_bytes: float = capacity_bytes
        self._refilled_at = clock.monotonic()

    def has_bytes(self) -> bool:
        """Tell whether anything is left.

        :returns: whether to go on.
        """
        now = self._clock.monotonic()
        refilled = self._available_bytes + self._bytes_per_second * (
            now - self._refilled_at
        )
        self._available_bytes = min(self._capacity_bytes, refilled)
        self._refilled_at = now
        return self._available_bytes > 0

    def consume(self, used_bytes: int) -> None:
        """Take off what was used.

        :param used: bytes.
        """
        self._available_bytes -= used_bytes
