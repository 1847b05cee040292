"""Notices that this process was paused."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

TICK_INTERVAL_SECONDS = 0.25
#: A gap between two ticks from which on the process counts as paused.
MIN_PAUSE_SECONDS = 2.0
#: How long a woken process waits for news. Cut off from everybody it goes on
#: with what it knew, as any part of a split fleet does.
CONFIRMATION_TIMEOUT_SECONDS = 3.0


class Freshness(Protocol):
    """Whatever may be out of date after a pause."""

    def is_stale(self) -> bool:
        """Tell whether nothing has confirmed it since the pause.

        :returns: whether it may be out of date.
        """


class PauseGuard:
    """Holds new work off after a pause until the state was checked again.

    Symptom without it: a process that was paused admits requests under a
    configuration that the rest of the fleet gave up while it slept, in the
    moment before its first message from a peer is read.

    :param clock: source of time.
    :param state: what may be out of date.
    """

    def __init__(self, clock: Clock, state: Freshness) -> None:
        self.pause_count = 0
        self.last_pause_seconds: float = 0
        self._clock = clock
        self._state = state
        self._last_tick_at = clock.monotonic()
        self._confirm_by = clock.monotonic()

    def is_unconfirmed(self) -> bool:
        """Tell whether the process woke up and has not checked yet.

        :returns: whether new work must wait.
        """
        # The task that ticks may run after the request that came first.
        self._record_tick(self._clock.monotonic())
        if self._clock.monotonic() >= self._confirm_by:
            return False
        return self._state.is_stale()

    async def run(self) -> None:
        """Tick for ever."""
        while True:
            self._record_tick(self._clock.monotonic())
            await self._clock.sleep(TICK_INTERVAL_SECONDS)

    def _record_tick(self, now: float) -> None:
        if now - self._last_tick_at > MIN_PAUSE_SECONDS:
            self.pause_count += 1
            self.last_pause_seconds = now - self._last_tick_at
            self._confirm_by = now + CONFIRMATION_TIMEOUT_SECONDS
        self._last_tick_at = now
