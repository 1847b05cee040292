"""Limits of the entries of a group while one of them gets all new streams."""

from __future__ import annotations

import pytest

from ospreyford.direct.admission import GroupLoad, StreamLimit

MAX_GAP = 0.12
BASE_SECONDS = 0.01
#: Time that each running stream adds to a pass.
COST_SECONDS = 0.0012
SLOTS = 72
REPORTS_PER_SECOND = 10
#: Reports after which an entry that gets most connections must serve them.
STABLE_REPORTS = 3 * REPORTS_PER_SECOND
#: Reports for which a stream runs.
STREAM_REPORTS = 12
MIN_FRACTION = 0.75


class Group:
    """Entries that each always have more streams than they may run."""

    def __init__(self, entries: int) -> None:
        self.limits = [StreamLimit(MAX_GAP) for _ in range(entries)]
        self._ends: list[list[int]] = [[] for _ in range(entries)]
        self._report = 0

    def count_running(self) -> int:
        return sum(map(len, self._ends))

    def press(self, reports: int, getting: set[int]) -> None:
        """Let some entries start streams for a number of load reports."""
        for _ in range(reports):
            self._report += 1
            for number, _ in enumerate(self.limits):
                self._end_streams(number)
                # Streams that end between reports are replaced.
                self._fill(number, getting)
            running = self.count_running()
            load = GroupLoad(
                running,
                0,
                BASE_SECONDS + COST_SECONDS * running,
                BASE_SECONDS,
                slots=SLOTS,
            )
            for number, limit in enumerate(self.limits):
                own = len(self._ends[number])
                limit.update_load(load, own, len(self.limits))
                self._fill(number, getting)

    def _end_streams(self, number: int) -> None:
        ends = self._ends[number]
        self._ends[number] = [one for one in ends if one > self._report]

    def _fill(self, number: int, getting: set[int]) -> None:
        limit = self.limits[number]
        limit.update_slots(SLOTS, len(self.limits))
        ends = self._ends[number]
        while number in getting and len(ends) < limit.regular:
            ends.append(self._report + STREAM_REPORTS)


@pytest.mark.parametrize('entries', [2, 5, 35])
def test_limit_follows_connections_to_one_entry(entries: int) -> None:
    """An entry must not be held to its part of a group that others leave."""
    group = Group(entries)
    group.press(2 * STABLE_REPORTS, set(range(entries)))
    before = group.count_running()
    group.press(STABLE_REPORTS, {0})
    assert group.count_running() >= MIN_FRACTION * before
