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
READERS: Final = 2
#: How long a zone's readers stay chosen. Short, so that the bytes of the
#: list are shared out: at full size a process reads once in two hours or so.
TERM_SECONDS: Final = 10.0
LEAST_SECONDS: Final = 2.0
#: Readings a second of the whole fleet, when each process reads for itself.
READS_PER_SECOND: Final = 100.0
#: Looks at the turn a second of the whole fleet; each is a reading while it
#: is this process's. At 300 processes each looks once a term.
TURNS_PER_SECOND: Final = 30.0
#: Age of the newest reading heard of from which on a process reads itself.
UNHEARD_SECONDS: Final = 60.0
#: About what the platform sends of one host.
LISTING_BYTES: Final = 230
#: Mean rate of a process's readings, but for the first and after pauses.
BYTES_PER_SECOND: Final = 2000.0
#: Share of the interval by which two readings may differ, so that readers
#: that started together do not go on reading together.
JITTER: Final = 0.2


class Needs(Protocol):
    """What may make a process read although others are its zone's readers."""

    def wakes(self) -> int:
        """Count the pauses of this process so far."""

    def lacks_many(self) -> bool:
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
        take: HostListener,
        neighbours: Neighbours,
        readings: Readings,
        needs: Needs,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        #: Readings tried.
        self.tries = 0
        self._source = source
        self._take = take
        self._neighbours = neighbours
        self._readings = readings
        self._needs = needs
        self._clock = clock
        self._rng = rng
        self._read_wakes: int | None = None
        self._needed = True
        self._alone_at = -math.inf
        self._affords_at = -math.inf

    async def run(self) -> None:
        """Read for ever, whenever it is due."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Read if it is due, and rest."""
        if self._is_due():
            await self._read()
        rest = min(self._pace(TURNS_PER_SECOND), TERM_SECONDS)
        await self._clock.sleep(rest * self._spread())

    def _is_due(self) -> bool:
        now = self._clock.monotonic()
        is_fresh = self._read_wakes != self._needs.wakes()
        is_needed = is_fresh or self._lacks_news()
        if is_needed and not self._needed:
            # All may come to need it at one moment, such as when the list
            # was down for a minute: they do not read at one moment.
            self._alone_at = now + self._pace() * self._rng.random()
        self._needed = is_needed
        # A large list that is read at each turn, or for want of hosts that
        # it does not show yet, would cost more than a node's share of bytes.
        if now < self._affords_at and not is_fresh:
            return False
        return self._has_turn() or (is_needed and now >= self._alone_at)

    def _has_turn(self) -> bool:
        # The wall clock gives the term: a wrong one makes other readers.
        term = int(self._clock.wall() // TERM_SECONDS)
        return self._neighbours.reads(READERS, term)

    def _lacks_news(self) -> bool:
        is_unheard = self._readings.age() > UNHEARD_SECONDS
        return is_unheard or self._needs.lacks_many()

    async def _read(self) -> None:
        asked_at = self._clock.monotonic()
        wakes = self._needs.wakes()
        self.tries += 1
        self._alone_at = asked_at + self._pace() * self._spread()
        hosts = await self._source.read()
        # An empty list is a fault of the platform's, not a fleet that is
        # gone: acting on it would refuse every request.
        if hosts:
            self._needed = False
            self._read_wakes = wakes
            self._readings.note(asked_at)
            spent = len(hosts) * LISTING_BYTES
            self._affords_at = asked_at + spent / BYTES_PER_SECOND
            self._take(hosts)

    def _pace(self, rate: float = READS_PER_SECOND) -> float:
        size = self._neighbours.count() + 1
        return max(LEAST_SECONDS, size / rate)

    def _spread(self) -> float:
        return 1 + JITTER * (2 * self._rng.random() - 1)
