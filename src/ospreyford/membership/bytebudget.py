"""Token bucket for the bytes that repairs may send and receive."""

from __future__ import annotations

from ospreyford.ports.clock import Clock


class ByteBudget:
    """A token bucket of bytes.

    The balance may go negative, since a response's size is known only after
    it has arrived.

    :param capacity_bytes: largest burst.
    :param refill_seconds: time to refill an empty bucket.
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
        """Refill the bucket and test its balance.

        :returns: whether the balance is positive.
        """
        now = self._clock.monotonic()
        refilled = self._available_bytes + self._bytes_per_second * (
            now - self._refilled_at
        )
        self._available_bytes = min(self._capacity_bytes, refilled)
        self._refilled_at = now
        return self._available_bytes > 0

    def consume(self, used_bytes: int) -> None:
        """Subtract bytes from the balance.

        :param used_bytes: bytes sent or received.
        """
        self._available_bytes -= used_bytes
