"""How many requests may be sent to a second back end."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.direct.settings import RetrySettings

#: Part of the shared budget that the entries use together: the rest covers
#: requests that arrive in one entry's window and not yet in another's.
USABLE_FRACTION = 0.8


class RetryBudget:
    """One entry's part of the retries that all entries may make together.

    Load pattern: back ends fail or refuse much of what they get. Without a
    bound each request arrives there several times, which keeps the overload
    up after its cause is gone; one would see arrivals at the service grow
    beyond the callers' requests. The budget is counted in a sliding window, by
    service, from this entry's own requests; the fixed part is divided by the
    number of entries, so that all together keep to it without asking.

    :param settings: ratio, window and fixed part.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self.entries = settings.assumed_entries
        self.settings = settings
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request.

        :param service: the service that it goes to.
        :param now: seconds on the monotonic clock.
        """
        self._requests.setdefault(service, deque()).append(now)
        self._drop_expired(self._requests[service], now)

    def spend(self, service: str, now: float) -> bool:
        """Take one retry.

        :param service: the service that it goes to.
        :param now: seconds on the monotonic clock.
        :returns: whether it was there to take.
        """
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        self._drop_expired(requests, now)
        self._drop_expired(retries, now)
        fixed = self.settings.slack / max(self.entries, 1)
        allowed = USABLE_FRACTION * (
            self.settings.ratio * len(requests) + fixed
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _drop_expired(self, timestamps: deque[float], now: float) -> None:
        oldest = now - self.settings.window
        while timestamps and timestamps[0] < oldest:
            timestamps.popleft()
