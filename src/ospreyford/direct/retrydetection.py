"""Detection of retries by the deadline that a caller has left."""

from __future__ import annotations

from collections import OrderedDict, deque

#: Above the share of retries, a third of the requests under high load; below
#: single outliers.
TYPICAL_QUANTILE = 0.95
#: Recent requests considered, per route and per customer on it.
WINDOW_REQUESTS = 64
#: A request with less than this fraction of the typical timeout is a retry.
#: Timeouts of first tries differ by a sixth.
RETRY_FRACTION = 0.85
#: Requests before a customer's own typical timeout is used; one whose callers
#: always have little time would otherwise look like one that retries.
MIN_CUSTOMER_REQUESTS = 4
#: Maximum number of tracked pairs of route and customer (LRU).
MAX_TRACKED_PAIRS = 1024


class _RecentTimeouts(deque[float]):
    """Timeouts of recent requests, in seconds."""

    def __init__(self) -> None:
        super().__init__(maxlen=WINDOW_REQUESTS)

    def compute_typical(self) -> float:
        """Compute the typical timeout; 0 before the first request."""
        return sorted(self)[int(TYPICAL_QUANTILE * len(self))] if self else 0


class RetryDetector:
    """Detects retries by their shorter timeout.

    Callers retry at any entry, so an entry has often not seen the first try;
    the remaining part of the typical timeout distinguishes the two.
    """

    def __init__(self) -> None:
        self._timeouts: OrderedDict[tuple[str, str], _RecentTimeouts] = (
            OrderedDict()
        )

    def record_request(self, route: str, customer: str, seconds: float) -> bool:
        """Record a request and check whether it is a retry.

        :param route: name of the route.
        :param customer: name of the customer, or an empty string.
        :param seconds: timeout of the request, in seconds.
        :returns: whether it is a retry.
        """
        route_timeouts = self._find(route, '')
        customer_timeouts = self._find(route, customer)
        baseline = (
            customer_timeouts
            if len(customer_timeouts) >= MIN_CUSTOMER_REQUESTS
            else route_timeouts
        )
        typical = baseline.compute_typical()
        route_timeouts.append(seconds)
        if customer_timeouts is not route_timeouts:
            customer_timeouts.append(seconds)
        return seconds < RETRY_FRACTION * typical

    def count_pairs(self) -> int:
        """Count the tracked pairs of route and customer.

        :returns: their number.
        """
        return len(self._timeouts)

    def _find(self, route: str, customer: str) -> _RecentTimeouts:
        key = (route, customer)
        found = self._timeouts.setdefault(key, _RecentTimeouts())
        self._timeouts.move_to_end(key)
        if len(self._timeouts) > MAX_TRACKED_PAIRS:
            self._timeouts.popitem(last=False)
        return found
