"""The weight store's rate limit, as the policy sees it."""

from __future__ import annotations

from typing import Protocol


class StoreBudget(Protocol):
    """Bytes that may be read from the weight store."""

    def available(self, now: float) -> float:
        """Tell how much may be taken.

        :param now: this process's monotonic clock, in seconds.
        :returns: bytes.
        """

    def take(self, amount: float, now: float) -> bool:
        """Reserve bytes, all or nothing.

        :param amount: bytes.
        :param now: this process's monotonic clock, in seconds.
        :returns: whether they were reserved.
        """


class TokenBucket:
    """A share of the weight store that fills at a steady rate.

    It starts empty: a coordinator that dies and comes back, or hands over
    to another, would otherwise spend a full burst each time, seen at the
    weight store as a rate above the group's share.

    :param bytes_per_second: the group's share of the weight store.
    :param burst_bytes: the most that may be saved up.
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
        """Tell how much may be taken.

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
        :returns: whether they were reserved.
        """
        if amount > self.available(now):
            return False
        self._available_bytes -= amount
        return True
