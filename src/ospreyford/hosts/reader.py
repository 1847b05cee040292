"""When a process reads the platform's host list itself."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    import random

    from ospreyford.distribution.members import Neighbours
    from ospreyford.hosts.readings import Readings
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.hosts import HostListener, HostListPort

#: Processes of a zone that read the list in a term.
READERS_PER_ZONE: Final = 2
#: How long a zone's readers stay chosen. Short, so that the bytes of the
#: list are shared out: at full size a process reads once in two hours or so.
TERM_SECONDS: Final = 10.0
MIN_INTERVAL_SECONDS: Final = 2.0
#: Readings a second of the whole fleet, when each process reads for itself.
FLEET_READS_PER_SECOND: Final = 100.0
#: Looks at the turn a second of the whole fleet; each is a reading while it
#: is this process's. At 300 processes each looks once a term.
FLEET_CHECKS_PER_SECOND: Final = 30.0
#: Age of the newest reading heard of from which on a process reads itself.
STALE_READING_SECONDS: Final = 60.0
#: About what the platform sends of one host.
LISTING_BYTES: Final = 230
#: Mean rate of a process's readings, but for the first and after pauses.
READ_BYTES_PER_SECOND: Final = 2000.0
#: Share of the interval by which two readings may differ, so that readers
#: that started together do not go on reading together.
JITTER_SHARE: Final = 0.2


class ReadTriggers(Protocol):
    """What may make a process read although others are its zone's readers."""

    def count_pauses(self) -> int:
        """Count the pauses of this process so far."""

    def has_many_missing(self) -> bool:
        """Tell whether more is unknown than is worth asking others for."""


class HostReader:
    """Reads the list in turn with others, and alone when it must.

    What goes wrong if only the chosen ones ever read: where they are paused,
    or reach their peers but not the platform, leaving marks are seen by
    nobody. So the age of the newest reading goes round, and a process that
    hears of none for ``UNHEARD_SECONDS`` reads for itself until it does; so
    it does after a pause, and until its first reading. One that sees nobody
    is its zone's first reader.

    :param source: the host list.
    :param take: told of each reading that succeeded.
    :param neighbours: chooses the readers.
    :param readings: the age of the newest reading.
    :param needs: what else calls for a reading.
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
        #: Readings tried.
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
        """Read for ever, whenever it is due."""
        while True:
            await self.run_once()

    async def run_once(self) -> None:
        """Read if it is due, and rest."""
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
            # All may come to need it at one moment, such as when the list
            # was down for a minute: they do not read at one moment.
            self._unscheduled_read_at = (
                now + self._compute_interval() * self._rng.random()
            )
        self._was_needed = is_needed
        # A large list that is read at each turn, or for want of hosts that
        # it does not show yet, would cost more than a node's share of bytes.
        if now < self._budget_available_at and not is_unread:
            return False
        return self._is_elected() or (
            is_needed and now >= self._unscheduled_read_at
        )

    def _is_elected(self) -> bool:
        # The wall clock gives the term: a wrong one makes other readers.
        term = int(self._clock.wall() // TERM_SECONDS)
        return self._neighbours.reads(READERS_PER_ZONE, term)

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
        # An empty list is a fault of the platform's, not a fleet that is
        # gone: acting on it would refuse every request.
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
        size = self._neighbours.count() + 1
        return max(MIN_INTERVAL_SECONDS, size / fleet_rate)

    def _compute_jitter(self) -> float:
        return 1 + JITTER_SHARE * (2 * self._rng.random() - 1)
