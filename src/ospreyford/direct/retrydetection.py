"""Which callers were turned away before, by the time that they have left."""

from __future__ import annotations

from collections import OrderedDict, deque

#: Part of callers that give less than what counts as the usual time. Of those
#: who come under high load a third may come for the second time, so it must lie
#: well above that; the longest time would be one caller's whim.
TYPICAL_QUANTILE = 0.95
#: Requests of a route, or of a customer on it, that its usual time follows.
WINDOW_REQUESTS = 64
#: A caller with less than this part of the usual time has spent the rest: on a
#: host that was gone, or on a refusal. Whole times differ by a sixth.
RETRY_FRACTION = 0.85
#: Requests of one customer on one route after which its own usual time counts
#: and not that of all customers: one whose callers always have little time
#: would else be taken for one that asks again and again.
MIN_CUSTOMER_REQUESTS = 4
#: Pairs of customer and route that are remembered; the longest unused goes.
MAX_TRACKED_PAIRS = 1024


class _RecentTimeouts(deque[float]):
    """The times that the last callers gave, in seconds."""

    def __init__(self) -> None:
        super().__init__(maxlen=WINDOW_REQUESTS)

    def compute_typical(self) -> float:
        """Tell the time that few callers exceed; 0 before the first one."""
        return sorted(self)[int(TYPICAL_QUANTILE * len(self))] if self else 0


class RetryDetector:
    """Tells second tries of callers from first ones.

    Load pattern: more streams than a group takes, for as long as it lasts.
    Refused callers come back, to any entry. They look like new ones, and are
    late already. What a caller has left of its usual time tells them apart,
    also at an entry that has never seen them.
    """

    def __init__(self) -> None:
        self._timeouts: OrderedDict[tuple[str, str], _RecentTimeouts] = (
            OrderedDict()
        )

    def record_request(self, route: str, customer: str, seconds: float) -> bool:
        """Take a request, and tell whether it is a second try.

        :param route: the route's name.
        :param customer: the customer's name, or nothing.
        :param seconds: time that its caller gives it.
        :returns: whether its caller has spent a good part of its time before.
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
        """Count the pairs of route and customer that are remembered.

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
