"""Rate limit on reads from the weight store."""

from __future__ import annotations

from typing import Protocol


class StoreBudget(Protocol):
    """Bytes that may be read from the weight store."""

    def available(self, now: float) -> float:
        """Return the bytes that can be reserved.

        :param now: this process's monotonic clock, in seconds.
        :returns: bytes.
        """

    def take(self, amount: float, now: float) -> bool:
        """Reserve bytes, all or nothing.

        :param amount: bytes.
        :param now: this process's monotonic clock, in seconds.
        :returns: whether the bytes were reserved.
        """


class TokenBucket:
    """Token bucket of weight-store bytes.

    It starts empty, so that coordinator restarts and handovers cannot exceed
    the group's rate by spending a full burst each time.

    :param bytes_per_second: refill rate, the group's share of the store.
    :param burst_bytes: capacity of the bucket.
    :param now: this process's monotonic clock, in seconds.
    """

    def __init__(
        self, bytes_per_second: float, burst_bytes: float, now: float
    ) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._refilled_at = now
        self._available_bytes: float = 0

    def available(self, now: float) -> float:
        """Return the bytes that can be reserved.

        :param now: this process's monotonic clock, in seconds.
        :returns: bytes.
        """
        elapsed = max(0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._available_bytes = min(
            self._burst_bytes,
            self._available_bytes + elapsed * self._bytes_per_second,
        )
        return self._available_bytes

    def take(self, amount: float, now: float) -> bool:
        """Reserve bytes, all or nothing.

        :param amount: bytes.
        :param now: this process's monotonic clock, in seconds.
        :returns: whether the bytes were reserved.
        """
        if amount > self.available(now):
            return False
        self._available_bytes -= amount
        return True
