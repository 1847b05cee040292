"""Throttle for watches of the store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import curio

if TYPE_CHECKING:
    from ospreyford.direct.settings import Bounds

#: Minimum interval between watches, relative to the drain time.
MIN_INTERVAL_RATIO: Final = 0.1


class WatchThrottle:
    """Batches frequent changes into fewer watches.

    Each change ends the watch of every entry. A single change is not delayed:
    only a watch that starts too soon after the previous one waits.
    """

    def __init__(self) -> None:
        self._next_watch_at: float = 0

    async def wait(self, bounds: Bounds) -> None:
        """Wait until the next watch may start.

        :param bounds: limits on the use of old state.
        """
        now = time.monotonic()
        if now < self._next_watch_at:
            await curio.sleep(self._next_watch_at - now)
        min_interval = MIN_INTERVAL_RATIO * bounds.drain_seconds
        self._next_watch_at = time.monotonic() + min_interval
