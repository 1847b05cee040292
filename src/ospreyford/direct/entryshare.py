"""One entry's share of what all entries may send together."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

import xxhash

from ospreyford.direct.slidingmaximum import SlidingMaximum

#: Entries assumed before an agent has told their number.
ASSUMED_ENTRIES: Final = 32
#: Margin while an entry knows no position: those of several may coincide.
UNPLACED_MARGIN: Final = 1.5
#: Time for which an entry that is no longer counted keeps its share.
COUNT_WINDOW_SECONDS: Final = 5.0
#: Time until a new agent or coordinator has heard of all entries.
RECENT_SECONDS: Final = 1.5
#: Time after the start in which agents may not have heard of all entries.
STARTUP_SECONDS: Final = 1.5
HASH_BITS: Final = 32


class EntryShare(NamedTuple):
    """Share of one entry.

    :param entries: number of entries.
    :param position: the entry's place among them, as a fraction from 0 to 1.
    """

    entries: int
    position: float


class ShareTracker:
    """Tracks this entry's share by what agents tell.

    Without agents the last known share stays in force.

    :param name: the entry's name.
    :param started_at: when the entry started, in seconds on the monotonic
        clock.
    """

    def __init__(self, name: str, started_at: float) -> None:
        self._started_at = started_at
        self._counts = SlidingMaximum(COUNT_WINDOW_SECONDS)
        self._recent_counts = SlidingMaximum(RECENT_SECONDS)
        self._position = compute_fraction(name)
        self._is_placed = False

    def record_count(self, entries: int, now: float) -> None:
        """Record the number of entries that an agent knows.

        :param entries: as counted by the agent.
        :param now: seconds on the monotonic clock.
        """
        self._counts.record(entries, now)
        self._recent_counts.record(entries, now)

    def get_recent_count(self) -> int | None:
        """Return the number of entries that agents counted recently.

        An agent that started recently has heard of few entries, and dividing by
        too small a number overfills groups, so the maximum of the last reports
        counts.

        :returns: number of entries; ``None`` before the first report.
        """
        return self._recent_counts.get()

    def record_position(self, position: int, entries: int) -> None:
        """Record this entry's position among the entries that an agent knows.

        Agents that know few entries are ignored.

        :param position: its index in the order of names; negative if unknown.
        :param entries: number of entries that the agent knows.
        """
        if 0 <= position < entries and entries >= (self._counts.get() or 0):
            self._position = position / entries
            self._is_placed = True

    def get_share(self, now: float) -> EntryShare:
        """Return the share in force.

        :param now: seconds on the monotonic clock.
        :returns: the share.
        """
        entries = max(self._counts.get() or ASSUMED_ENTRIES, 1)
        if now - self._started_at < STARTUP_SECONDS:
            entries = max(entries, ASSUMED_ENTRIES)
        if not self._is_placed:
            entries = math.ceil(UNPLACED_MARGIN * entries)
        return EntryShare(entries, self._position)


def compute_fraction(name: str) -> float:
    """Spread names evenly over a cycle.

    :param name: the name.
    :returns: a fraction from 0 to 1, the same in all processes.
    """
    digest: int = xxhash.xxh32_intdigest(name.encode())
    return digest / (1 << HASH_BITS)
