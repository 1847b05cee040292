"""Backend selection by many entries with delayed load reports."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import pytest

from ospreyford.direct.registry import BackendServer, BackendState
from ospreyford.direct.selection import SelectionCriteria, select_backend

TICK = 0.01
SECONDS = 12.0


class Site(NamedTuple):
    """A group and its entries; times in seconds."""

    ranks: int
    slots: int
    entries: int
    zones: int
    arrivals: float
    stream_seconds: float
    report_seconds: float
    update_seconds: float


#: With each site, the maximum share of streams queued while slots are free.
SITES = (
    (Site(12, 6, 4, 3, 30, 1.6, 0.09, 0.1), 0.05),
    (Site(63, 4, 12, 3, 100, 1.5, 0.12, 0.15), 0.05),
    (Site(129, 3, 35, 5, 165, 1.25, 0.24, 0.2), 0.1),
)


@dataclass
class Crowd:
    """All entries of a group, each with its own view."""

    site: Site
    random: Random = field(default_factory=lambda: Random(5))
    ends: list[tuple[float, int, int]] = field(default_factory=list)
    queued: int = 0
    same_zone: int = 0
    streams: int = 0

    def __post_init__(self) -> None:
        site = self.site
        self.views = [
            [
                BackendState(make_server(site, rank))
                for rank in range(site.ranks)
            ]
            for _ in range(site.entries)
        ]
        self.loads = [0 for _ in range(site.ranks)]
        self.reported = list(self.loads)
        self.reports = [
            site.report_seconds * self.random.random() for _ in self.loads
        ]

    def run(self) -> None:
        now: float = 0
        update_at: float = 0
        expected = self.site.arrivals * TICK
        while now < SECONDS:
            now += TICK
            self._end_streams(now)
            self._report(now)
            if now >= update_at:
                update_at += self.site.update_seconds
                self._update_all(now)
            for _ in range(int(expected + self.random.random())):
                self._start_stream(now)

    def _end_streams(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            _, entry, rank = heapq.heappop(self.ends)
            self.loads[rank] -= 1
            self.views[entry][rank].in_flight -= 1

    def _report(self, now: float) -> None:
        for rank, due in enumerate(self.reports):
            if due <= now:
                self.reported[rank] = self.loads[rank]
                self.reports[rank] += self.site.report_seconds

    def _update_all(self, now: float) -> None:
        for view in self.views:
            for state, load in zip(view, self.reported, strict=True):
                state.update_load(load, 1, now)

    def _start_stream(self, now: float) -> None:
        entry = self.random.randrange(self.site.entries)
        zone = name_zone(entry, self.site)
        criteria = SelectionCriteria(zone, (), now)
        state = select_backend(self.views[entry], criteria, self.random)
        assert state is not None
        rank = int(state.server.id)
        state.in_flight += 1
        self.loads[rank] += 1
        self.streams += 1
        self.same_zone += state.server.zone == zone
        self.queued += self.loads[rank] > self.site.slots
        seconds = self.site.stream_seconds * self.random.uniform(0.6, 1.4)
        heapq.heappush(self.ends, (now + seconds, entry, rank))


def name_zone(number: int, site: Site) -> str:
    return f'z{number % site.zones}'


def make_server(site: Site, rank: int) -> BackendServer:
    zone = name_zone(rank, site)
    return BackendServer(
        str(rank), 's', f'h{rank}', 80, zone, site.slots, False, 1
    )


@pytest.mark.parametrize(('site', 'bound'), SITES, ids=('12', '63', '129'))
def test_few_streams_queue_while_slots_are_free(
    site: Site, bound: float
) -> None:
    """Entries with delayed reports must not all select the same rank."""
    crowd = Crowd(site)
    crowd.run()
    assert crowd.queued < bound * crowd.streams


def test_streams_stay_in_their_zone_while_it_has_slots() -> None:
    """Traffic between zones is expensive."""
    crowd = Crowd(SITES[-1][0])
    crowd.run()
    assert crowd.same_zone > 0.9 * crowd.streams
