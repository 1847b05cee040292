"""How long a member leaves the weight store alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.weights import Inventory

FIRST_SECONDS = 0.5
MOST_SECONDS = 8.0


class StoreBackoff:
    """Waits as the store asks, or twice as long after each failure.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refused = 0
        self._failed = 0
        self._read_bytes = 0
        self._seconds = FIRST_SECONDS
        self._until = clock.monotonic()

    def forget(self) -> None:
        """Start counting anew, for an engine that has been replaced."""
        self._refused = 0
        self._failed = 0
        self._read_bytes = 0

    def is_waiting(self) -> bool:
        """Tell whether the store is to be left alone.

        :returns: whether no load may be ordered now.
        """
        return self._clock.monotonic() < self._until

    def note(self, inventory: Inventory) -> tuple[int, int]:
        """Take over what the store answered to the engine.

        :param inventory: the engine's counters.
        :returns: the reads put off and broken since the last time.
        """
        refused = inventory.refused - self._refused
        failed = inventory.failed - self._failed
        self._refused = inventory.refused
        self._failed = inventory.failed
        if failed:
            self._wait(self._seconds)
            self._seconds = min(MOST_SECONDS, self._seconds + self._seconds)
        elif refused:
            self._wait(inventory.retry_after)
        elif inventory.read_bytes > self._read_bytes:
            self._seconds = FIRST_SECONDS
        self._read_bytes = inventory.read_bytes
        return refused, failed

    def _wait(self, seconds: float) -> None:
        self._until = self._clock.monotonic() + seconds
