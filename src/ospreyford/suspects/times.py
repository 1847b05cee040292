"""Times of the latest event of each request."""

from __future__ import annotations

from typing import Final

#: Requests remembered; the one with the oldest event is forgotten first.
MAX_REQUESTS: Final = 4096


class LatestTimes:
    """Latest time by identity, in seconds on the monotonic clock; bounded."""

    def __init__(self) -> None:
        self._times: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._times)

    def record(self, identity: bytes, now: float) -> None:
        """Record an event.

        :param identity: identity of the request.
        :param now: time of the event.
        """
        self._times.pop(identity, None)
        self._times[identity] = now
        if len(self._times) > MAX_REQUESTS:
            self._times.pop(next(iter(self._times)))

    def find(self, identity: bytes) -> float | None:
        """Find the latest event of a request.

        :param identity: its identity.
        :returns: its time, or ``None``.
        """
        return self._times.get(identity)

    def forget(self, identity: bytes) -> None:
        """Forget a request.

        :param identity: its identity.
        """
        self._times.pop(identity, None)
