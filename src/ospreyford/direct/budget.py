"""Retry budget shared by all entries."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.direct.retryshare import CONTACT_SECONDS, RetryShare

if TYPE_CHECKING:
    from ospreyford.direct.settings import RetrySettings

#: Part of the budget that entries use, with a margin for requests that are in
#: one entry's sliding window and not yet in another's.
USABLE_FRACTION = 0.8
#: The same for entries that started recently. Their predecessors may have used
#: all of the other part, and ended just before.
STARTUP_FRACTION = 0.15


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
    :param started_at: when the entry started, in seconds on the monotonic
        clock.
    """

    def __init__(self, settings: RetrySettings, started_at: float) -> None:
        self.settings = settings
        self.started_at = started_at
        self._share = RetryShare(settings.assumed_entries)
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_entry_count(self, entries: int, now: float) -> None:
        """Record the number of entries that an agent reported.

        :param entries: as counted by the agent.
        :param now: seconds on the monotonic clock.
        """
        self._share.record_count(entries, now)

    def count_entries(self, now: float) -> int:
        """Count the entries that share the budget.

        :param now: seconds on the monotonic clock.
        :returns: number of entries.
        """
        return self._share.count_entries(now)

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
        if len(retries) + 1 > self._compute_allowed(len(requests), now):
            return False
        retries.append(now)
        return True

    def get_usage(self, service: str, now: float) -> BudgetUsage:
        """Return the use of the budget, as of the last call for a service.

        :param service: the service.
        :param now: seconds on the monotonic clock.
        :returns: its use.
        """
        return BudgetUsage(
            len(self._requests.get(service, ())),
            len(self._retries.get(service, ())),
            self.count_entries(now),
            self.settings.window,
        )

    def _compute_allowed(self, requests: int, now: float) -> float:
        """Compute how many retries a sliding window may hold.

        :param requests: callers' requests in the window.
        :param now: seconds on the monotonic clock.
        :returns: number of retries.
        """
        window = self.settings.window
        earned = self.settings.ratio * requests
        fixed = self.settings.slack / self.count_entries(now)
        age = now - self.started_at
        # Entries that do not hear of this one yet may use its part until they
        # lose contact.
        if age < window + CONTACT_SECONDS:
            return STARTUP_FRACTION * (earned + fixed * min(age / window, 1))
        return USABLE_FRACTION * (earned + fixed)

    def _drop_expired(self, timestamps: deque[float], now: float) -> None:
        oldest = now - self.settings.window
        while timestamps and timestamps[0] < oldest:
            timestamps.popleft()
