"""Scheduling of reads of the platform's host list."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    import random

    from ospreyford.distribution.members import Neighbours
    from ospreyford.hosts.readings import Readings
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.hosts import HostListener, HostListPort

#: Processes per zone elected to read the list in each term.
READERS_PER_ZONE: Final = 2
#: Duration of a term, short to spread the traffic over all processes.
TERM_SECONDS: Final = 10.0
MIN_INTERVAL_SECONDS: Final = 2.0
#: Reads by the whole fleet when every process reads unscheduled.
FLEET_READS_PER_SECOND: Final = 100.0
#: Election checks by the whole fleet; an elected process reads at each.
FLEET_CHECKS_PER_SECOND: Final = 30.0
#: Age of the newest known reading above which a process reads unscheduled.
STALE_READING_SECONDS: Final = 60.0
#: Approximate response bytes per host.
LISTING_BYTES: Final = 230
#: Bandwidth of a process, except for reads after a start or pause.
READ_BYTES_PER_SECOND: Final = 2000.0
#: Relative jitter of intervals, to desynchronize readers.
JITTER_SHARE: Final = 0.2


class ReadTriggers(Protocol):
    """Conditions that make a process read outside its term."""

    def count_pauses(self) -> int:
        """Count the pauses of this process."""

    def has_many_missing(self) -> bool:
        """Test whether too many listings are missing to query peers."""


class HostReader:
    """Reads the list when elected, and unscheduled when readings are stale.

    Unscheduled reads cover failed or partitioned readers: they follow a
    start, a pause, or ``STALE_READING_SECONDS`` without a known reading.

    :param source: the host list.
    :param listener: called with each list read.
    :param neighbours: elects the readers.
    :param readings: age of the newest reading.
    :param triggers: other conditions for a read.
    :param clock: source of time.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        source: HostListPort,
        listener: HostListener,
        neighbours: Neighbours,
        readings: Readings,
        triggers: ReadTriggers,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.attempts = 0
        self._source = source
        self._listener = listener
        self._neighbours = neighbours
        self._readings = readings
        self._triggers = triggers
        self._clock = clock
        self._rng = rng
        self._read_pause_count: int | None = None
        self._was_needed = True
        self._unscheduled_read_at = -math.inf
        self._budget_available_at = -math.inf

    async def run(self) -> None:
        """Read forever, whenever a read is due."""
        while True:
            await self.run_once()

    async def run_once(self) -> None:
        """Read if due, and sleep."""
        if self._is_due():
            await self._read()
        interval = min(
            self._compute_interval(FLEET_CHECKS_PER_SECOND), TERM_SECONDS
        )
        await self._clock.sleep(interval * self._compute_jitter())

    def _is_due(self) -> bool:
        now = self._clock.monotonic()
        is_unread = self._read_pause_count != self._triggers.count_pauses()
        is_needed = is_unread or self._needs_reading()
        if is_needed and not self._was_needed:
            # Spreads reads when the whole fleet needs one at once.
            self._unscheduled_read_at = (
                now + self._compute_interval() * self._rng.random()
            )
        self._was_needed = is_needed
        # Limits the bandwidth of reading a large list.
        if now < self._budget_available_at and not is_unread:
            return False
        return self._is_elected() or (
            is_needed and now >= self._unscheduled_read_at
        )

    def _is_elected(self) -> bool:
        # Processes with a wrong wall clock elect other readers.
        term = int(self._clock.wall() // TERM_SECONDS)
        return self._neighbours.is_reader(READERS_PER_ZONE, term)

    def _needs_reading(self) -> bool:
        is_stale = self._readings.compute_age() > STALE_READING_SECONDS
        return is_stale or self._triggers.has_many_missing()

    async def _read(self) -> None:
        requested_at = self._clock.monotonic()
        pause_count = self._triggers.count_pauses()
        self.attempts += 1
        self._unscheduled_read_at = (
            requested_at + self._compute_interval() * self._compute_jitter()
        )
        hosts = await self._source.read()
        # An empty list is a platform fault and must not remove all hosts.
        if hosts:
            self._was_needed = False
            self._read_pause_count = pause_count
            self._readings.record(requested_at)
            read_bytes = len(hosts) * LISTING_BYTES
            self._budget_available_at = (
                requested_at + read_bytes / READ_BYTES_PER_SECOND
            )
            self._listener(hosts)

    def _compute_interval(
        self, fleet_rate: float = FLEET_READS_PER_SECOND
    ) -> float:
        size = self._neighbours.count_peers() + 1
        return max(MIN_INTERVAL_SECONDS, size / fleet_rate)

    def _compute_jitter(self) -> float:
        return 1 + JITTER_SHARE * (2 * self._rng.random() - 1)
