"""Port to the clocks."""

from __future__ import annotations

import time
from typing import Protocol

import curio


class Clock(Protocol):
    """Source of time, replaceable in tests."""

    def monotonic(self) -> float:
        """Read the monotonic clock.

        :returns: seconds since an arbitrary point.
        """

    def wall(self) -> float:
        """Read the wall clock.

        :returns: seconds since the Unix epoch, UTC.
        """

    async def sleep(self, seconds: float) -> None:
        """Suspend the current task.

        :param seconds: duration in seconds.
        """


class SystemClock:
    """System clock; sleeps in the curio kernel."""

    def monotonic(self) -> float:
        """Read ``CLOCK_MONOTONIC``.

        :returns: seconds since an arbitrary point.
        """
        return time.monotonic()

    def wall(self) -> float:
        """Read ``CLOCK_REALTIME``.

        :returns: seconds since the Unix epoch, UTC.
        """
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the current curio task.

        :param seconds: duration in seconds.
        """
        await curio.sleep(seconds)
