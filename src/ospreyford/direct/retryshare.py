"""Number of entries that share the fixed part of the retry budget."""

from __future__ import annotations

import math
from typing import Final

from ospreyford.direct.entryshare import ASSUMED_ENTRIES
from ospreyford.direct.slidingmaximum import SlidingMaximum

#: Time for which an entry that is no longer counted keeps its part; it may be
#: cut off from the agents only.
COUNT_MEMORY_SECONDS: Final = 60.0
#: Silence of the agents after which a count may be outdated.
CONTACT_SECONDS: Final = 2.0
#: Time until a new agent or coordinator has heard of all entries.
SETTLING_SECONDS: Final = 1.5
#: Growth of the fleet that an entry without contact allows for.
GROWTH_FACTOR: Final = 4


class RetryShare:
    """Tracks how many entries share the budget, by what agents report.

    Too small a number would let all retries together exceed the budget.

    :param assumed_entries: number of entries before any agent was heard.
    """

    def __init__(self, assumed_entries: int) -> None:
        self._assumed_entries = max(assumed_entries, ASSUMED_ENTRIES)
        self._counts = SlidingMaximum(COUNT_MEMORY_SECONDS)
        self._heard_at = -math.inf
        self._contact_since = math.inf

    def record_count(self, entries: int, now: float) -> None:
        """Record the number of entries that an agent reported.

        :param entries: as counted by the agent.
        :param now: seconds on the monotonic clock.
        """
        if now - self._heard_at > CONTACT_SECONDS:
            self._contact_since = now
        self._heard_at = now
        self._counts.record(max(entries, 1), now)

    def count_entries(self, now: float) -> int:
        """Count the entries that share the budget.

        :param now: seconds on the monotonic clock.
        :returns: number of entries; higher without contact to the agents, when
            other entries may have started.
        """
        counted = self._counts.get()
        if counted is None:
            return self._assumed_entries
        if self._is_in_contact(now):
            return counted
        return max(GROWTH_FACTOR * counted, self._assumed_entries)

    def _is_in_contact(self, now: float) -> bool:
        # Reports that waited while the process was paused are old.
        is_settled = now - self._contact_since >= SETTLING_SECONDS
        return is_settled and now - self._heard_at <= CONTACT_SECONDS
