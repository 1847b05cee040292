"""Time as the decisions see it."""

from __future__ import annotations

import time
from typing import Protocol

import curio


class Clock(Protocol):
    """Source of time; tests put a fake in its place."""

    def monotonic(self) -> float:
        """Read the clock that never goes back.

        :returns: seconds since an arbitrary moment.
        """

    def wall(self) -> float:
        """Read the wall clock.

        :returns: seconds since the Unix epoch, UTC.
        """

    async def sleep(self, seconds: float) -> None:
        """Wait.

        :param seconds: how long, in seconds.
        """


class SystemClock:
    """The clock of this machine, sleeping in the curio kernel."""

    def monotonic(self) -> float:
        """Read ``CLOCK_MONOTONIC``.

        :returns: seconds since an arbitrary moment.
        """
        return time.monotonic()

    def wall(self) -> float:
        """Read ``CLOCK_REALTIME``.

        :returns: seconds since the Unix epoch, UTC.
        """
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait in the curio kernel.

        :param seconds: how long, in seconds.
        """
        await curio.sleep(seconds)
