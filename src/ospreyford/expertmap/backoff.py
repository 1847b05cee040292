"""Exponential backoff of reads from the weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.weights import Inventory

INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0


class StoreBackoff:
    """Honours ``retry_after`` and doubles the delay after each failed read.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refused = 0
        self._failed = 0
        self._read_bytes = 0
        self._delay_seconds = INITIAL_BACKOFF_SECONDS
        self._retry_at = clock.monotonic()

    def reset(self) -> None:
        """Reset the counter baselines after the engine was replaced."""
        self._refused = 0
        self._failed = 0
        self._read_bytes = 0

    def is_waiting(self) -> bool:
        """Return whether reads are held back.

        :returns: whether the next load order must wait.
        """
        return self._clock.monotonic() < self._retry_at

    def record_inventory(self, inventory: Inventory) -> tuple[int, int]:
        """Update the delay from the engine's read counters.

        :param inventory: the engine's counters.
        :returns: reads refused and failed since the previous call.
        """
        refused = inventory.refused - self._refused
        failed = inventory.failed - self._failed
        self._refused = inventory.refused
        self._failed = inventory.failed
        if failed:
            self._delay_retry(self._delay_seconds)
            self._delay_seconds = min(
                MAX_BACKOFF_SECONDS, self._delay_seconds + self._delay_seconds
            )
        elif refused:
            self._delay_retry(inventory.retry_after)
        elif inventory.read_bytes > self._read_bytes:
            self._delay_seconds = INITIAL_BACKOFF_SECONDS
        self._read_bytes = inventory.read_bytes
        return refused, failed

    def _delay_retry(self, seconds: float) -> None:
        self._retry_at = self._clock.monotonic() + seconds
