"""Use of the shared retry budget, with counters and log lines."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.budget import RetryBudget
from ospreyford.direct.retrydecisions import (
    EntryCountChanged,
    RetryBudgetExhausted,
)

if TYPE_CHECKING:
    from ospreyford.direct.settings import RetrySettings
    from ospreyford.observability.logs import ChangeLog


class RetryMeter:
    """Takes retries from the budget and tells what it allowed.

    :param settings: settings of the budget.
    :param log: receives log events.
    """

    def __init__(self, settings: RetrySettings, log: ChangeLog) -> None:
        self.budget = RetryBudget(settings, time.monotonic())
        self.spent_count = 0
        self.denied_count = 0
        self._log = log
        self._sharing = 0
        #: Time of the last line, by service.
        self._logged_at: dict[str, float] = {}

    def record_entry_count(self, entries: int, now: float) -> None:
        """Record the number of entries that an agent reported.

        :param entries: as counted by the agent.
        :param now: seconds on the monotonic clock.
        """
        self.budget.record_entry_count(entries, now)
        sharing = self.budget.count_entries(now)
        if sharing != self._sharing:
            self._sharing = sharing
            self._log.log_change(EntryCountChanged(sharing))

    def spend(self, service: str) -> bool:
        """Take one retry from the budget.

        :param service: the service that gets the request again.
        :returns: whether the budget allowed it.
        """
        now = time.monotonic()
        is_allowed = self.budget.spend(service, now)
        if is_allowed:
            self.spent_count += 1
        else:
            self.denied_count += 1
            self._log_exhausted(service, now)
        return is_allowed

    def _log_exhausted(self, service: str, now: float) -> None:
        """Log it at most once in each sliding window."""
        usage = self.budget.get_usage(service, now)
        logged_at = self._logged_at.get(service)
        if logged_at is not None and now - logged_at < usage.window:
            return
        self._logged_at[service] = now
        self._log.log_change(
            RetryBudgetExhausted(
                service, usage.requests, usage.retries, usage.entries
            )
        )
