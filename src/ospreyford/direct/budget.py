"""Retry budget shared by all entries."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.direct.entryshare import ASSUMED_ENTRIES
from ospreyford.direct.slidingmaximum import SlidingMaximum

if TYPE_CHECKING:
    from ospreyford.direct.settings import RetrySettings

#: Margin for requests that are in one entry's sliding window and not yet in
#: another's.
USABLE_FRACTION = 0.8
#: Time until a new agent or coordinator has heard of all entries.
ENTRY_COUNT_WINDOW_SECONDS = 1.5


class BudgetUsage(NamedTuple):
    """Use of the budget by this entry for one service.

    :param requests: callers' requests in the sliding window.
    :param retries: retries in that window.
    :param entries: number of entries that share the budget.
    :param window: length of the window, in seconds.
    """

    requests: int
    retries: int
    entries: int
    window: float


class RetryBudget:
    """One entry's share of the common retry budget.

    Without a budget, retries multiply the load on failing backends and keep an
    overload up after its cause is gone. Retries are counted per service in a
    sliding window; the fixed part is divided by the number of entries.

    :param settings: ratio, window and fixed part.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self.entries = settings.assumed_entries
        self.settings = settings
        self._entry_counts = SlidingMaximum(ENTRY_COUNT_WINDOW_SECONDS)
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_entry_count(self, entries: int, now: float) -> None:
        """Record the number of entries that an agent reported.

        An agent that started recently has heard of few entries, and dividing by
        too small a number overfills groups, so the maximum of the last reports
        counts.

        :param entries: as counted by the agent.
        :param now: seconds on the monotonic clock.
        """
        self._entry_counts.record(entries, now)
        self.entries = max(self._entry_counts.get() or 0, 1)

    def record_request(self, service: str, now: float) -> None:
        """Record a caller's request.

        :param service: its service.
        :param now: seconds on the monotonic clock.
        """
        self._requests.setdefault(service, deque()).append(now)
        self._drop_expired(self._requests[service], now)

    def spend(self, service: str, now: float) -> bool:
        """Take one retry from the budget.

        :param service: its service.
        :param now: seconds on the monotonic clock.
        :returns: whether the budget allowed it.
        """
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        self._drop_expired(requests, now)
        self._drop_expired(retries, now)
        fixed = self.settings.slack / self._count_sharing()
        allowed = USABLE_FRACTION * (
            self.settings.ratio * len(requests) + fixed
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def get_usage(self, service: str) -> BudgetUsage:
        """Return the use of the budget, as of the last call for a service.

        :param service: the service.
        :returns: its use.
        """
        return BudgetUsage(
            len(self._requests.get(service, ())),
            len(self._retries.get(service, ())),
            self._count_sharing(),
            self.settings.window,
        )

    def _count_sharing(self) -> int:
        """Count the entries that share the fixed part.

        Too small a number would let retries exceed the common budget.
        """
        if self._entry_counts.get() is None:
            return max(self.entries, ASSUMED_ENTRIES)
        return self.entries

    def _drop_expired(self, timestamps: deque[float], now: float) -> None:
        oldest = now - self.settings.window
        while timestamps and timestamps[0] < oldest:
            timestamps.popleft()
