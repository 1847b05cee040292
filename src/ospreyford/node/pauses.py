"""Pause detection, and admission control after a pause."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

TICK_INTERVAL_SECONDS = 0.25
#: Gap between two ticks beyond which the process counts as paused.
MIN_PAUSE_SECONDS = 2.0
#: Maximum hold after a pause; a partitioned process then admits work again.
CONFIRMATION_TIMEOUT_SECONDS = 3.0


class Freshness(Protocol):
    """State that may be stale after a pause."""

    def is_stale(self) -> bool:
        """Check whether the state has not been confirmed recently.

        :returns: whether it may be stale.
        """


class PauseGuard:
    """Holds new work after a pause until the state is confirmed.

    Otherwise a resumed process could admit requests under an outdated
    configuration.

    :param clock: source of time.
    :param state: state that may be stale.
    """

    def __init__(self, clock: Clock, state: Freshness) -> None:
        self.pause_count = 0
        self.last_pause_seconds: float = 0
        self._clock = clock
        self._state = state
        self._last_tick_at = clock.monotonic()
        self._confirm_by = clock.monotonic()

    def is_unconfirmed(self) -> bool:
        """Check whether the state is unconfirmed since the last pause.

        :returns: whether new work must be held.
        """
        # A request may be handled before the tick task resumes.
        self._record_tick(self._clock.monotonic())
        if self._clock.monotonic() >= self._confirm_by:
            return False
        return self._state.is_stale()

    async def run(self) -> None:
        """Record ticks periodically."""
        while True:
            self._record_tick(self._clock.monotonic())
            await self._clock.sleep(TICK_INTERVAL_SECONDS)

    def _record_tick(self, now: float) -> None:
        if now - self._last_tick_at > MIN_PAUSE_SECONDS:
            self.pause_count += 1
            self.last_pause_seconds = now - self._last_tick_at
            self._confirm_by = now + CONFIRMATION_TIMEOUT_SECONDS
        self._last_tick_at = now
