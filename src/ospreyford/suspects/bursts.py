"""Crashes of many backends at one moment, which no single request caused.

Load pattern: a rack, a power domain or all spot instances are lost, and every
request that had just begun on one of them is lost with it.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

#: Crashes within this time count as one event.
WINDOW_SECONDS = 0.3
#: Other backends that must crash, for each that the request had begun on.
OTHERS_PER_BACKEND: Final = 3
#: Requests remembered that were part of an event.
MAX_SPARED: Final = 1024


class Crash(NamedTuple):
    """A crash while a request had just begun.

    :param identity: identity of the request.
    :param strike_id: id of the crash.
    :param seen_at: when it was seen, in seconds on the monotonic clock.
    """

    identity: bytes
    strike_id: int
    seen_at: float


class BurstDetector:
    """Finds the crashes of the last moment that a request did not cause.

    A request is spared once: requests that always crash together would
    otherwise never be blocked.
    """

    def __init__(self) -> None:
        self._crashes: deque[Crash] = deque()
        self._spared: dict[bytes, float] = {}

    def record(self, crash: Crash) -> list[Crash]:
        """Record a crash.

        :param crash: the crash.
        :returns: the crashes of the same moment, this one among them, that are
            part of a larger event.
        """
        self._crashes.append(crash)
        while self._crashes[0].seen_at < crash.seen_at - WINDOW_SECONDS:
            self._crashes.popleft()
        found = [one for one in self._crashes if self._is_spared(one)]
        for one in found:
            self._spared[one.identity] = one.seen_at
        while len(self._spared) > MAX_SPARED:
            self._spared.pop(next(iter(self._spared)))
        return found

    def _is_spared(self, crash: Crash) -> bool:
        spared_at = self._spared.get(crash.identity)
        is_first = (
            spared_at is None or crash.seen_at - spared_at < WINDOW_SECONDS
        )
        return is_first and self._is_part_of_burst(crash)

    def _is_part_of_burst(self, crash: Crash) -> bool:
        own = {
            one.strike_id
            for one in self._crashes
            if one.identity == crash.identity
        }
        others = {one.strike_id for one in self._crashes}.difference(own)
        return len(others) >= OTHERS_PER_BACKEND * len(own)
