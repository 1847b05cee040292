"""How often an entry asks the store for changes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import curio

if TYPE_CHECKING:
    from ospreyford.direct.settings import Bounds

#: Least time between two watches, as a part of the time within which no request
#: may reach a back end that leaves.
MIN_INTERVAL_RATIO: Final = 0.1


class WatchThrottle:
    """Has one watch take several changes while many come.

    Load pattern: 135 back ends register within three seconds, or are replaced
    one after the other. Each change ends the watch of each of 35 entries, and
    each answer is a call that costs. A watch that has lasted is followed by the
    next one at once, so that a single change is seen without delay.
    """

    def __init__(self) -> None:
        self._next_watch_at: float = 0

    async def wait(self, bounds: Bounds) -> None:
        """Wait until the next watch is due.

        :param bounds: within which changes must be in force.
        """
        now = time.monotonic()
        if now < self._next_watch_at:
            await curio.sleep(self._next_watch_at - now)
        min_interval = MIN_INTERVAL_RATIO * bounds.drain_seconds
        self._next_watch_at = time.monotonic() + min_interval
