"""Bytes of the host list that a process receives, by the fleet's size.

``python -m ospreyford.measure.hostlist [processes ...]`` runs the code that
decides who reads, for each process of a fleet at rest, in fake time, and
prints a Markdown table. Everybody is taken to hear of each reading at once;
the fresh processes' first readings are left out. The same at every run.
"""

from __future__ import annotations

import heapq
import sys
from collections import Counter
from itertools import pairwise
from random import Random
from typing import TYPE_CHECKING, Final, NamedTuple

from tabulate import tabulate

from ospreyford.distribution.members import Neighbours
from ospreyford.hosts.reader import HostReader
from ospreyford.hosts.readings import Readings
from ospreyford.measure.capacity_samples import decode_fleet, encode_fleet
from ospreyford.measure.capacity_size import PROCESSES, ZONES

if TYPE_CHECKING:
    from ospreyford.ports.fleet import Host

SIZES: Final = (12, 60, 300, 1_200, PROCESSES)
SECONDS: Final = 1_800.0
#: Past first readings, and the time until a turn has come and gone.
WARM_SECONDS: Final = 120.0
WINDOW_SECONDS: Final = 600.0
BEFORE_READS: Final = 100.0
BEFORE_LEAST: Final = 2.0


class Row(NamedTuple):
    """A row of the table."""

    processes: int
    list_bytes: int
    reads: float
    mean_bytes: float
    most_bytes: float
    before_bytes: float
    seen_mean: float
    seen_worst: float


class Peer(NamedTuple):
    """A process."""

    name: str
    zone: str
    peer_address: str


class Clock:
    """Fake time; a rest is noted and ends at once."""

    def __init__(self) -> None:
        self.now: float = 0
        self.rest: float = 0

    def monotonic(self) -> float:
        """Tell the time.

        :returns: seconds.
        """
        return self.now

    def wall(self) -> float:
        """Tell the time.

        :returns: seconds.
        """
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Note a rest.

        :param seconds: how long.
        """
        self.rest = seconds


class Rest:
    """A fleet in which nothing changes, and its host list."""

    def __init__(self, size: int, hosts: tuple[Host, ...]) -> None:
        self.clock = Clock()
        self.readings = Readings(self.clock)
        zones = [f'zone-{number}' for number in range(ZONES)]
        self.peers = [
            Peer(f'host-{number}', zones[number % ZONES], str(number))
            for number in range(size)
        ]
        self.reads: list[tuple[float, int]] = []
        self._hosts = hosts

    def members(self) -> list[Peer]:
        """List the members.

        :returns: all.
        """
        return self.peers

    def count_pauses(self) -> int:
        """Count pauses.

        :returns: none.
        """
        return 0

    def has_many_missing(self) -> bool:
        """Tell whether many listings are unknown.

        :returns: no.
        """
        return False

    def take(self, hosts: tuple[Host, ...]) -> None:
        """Take a list that was read.

        :param hosts: the hosts.
        """

    async def read(self) -> tuple[Host, ...]:
        """Read the list.

        :returns: the hosts.
        """
        return self._hosts


class Counted(Neighbours):
    """Neighbours whose number is known, to save the model's time."""

    def __init__(self, me: Peer, fleet: Rest, rng: Random) -> None:
        super().__init__(me, fleet, rng)
        self._count = len(fleet.peers) - 1

    def count_peers(self) -> int:
        """Count the peers.

        :returns: how many.
        """
        return self._count


def main() -> None:
    """Run each size and print the table."""
    sizes = [int(word) for word in sys.argv[1:]] or SIZES
    headers = (
        'processes',
        'bytes of the list',
        'readings/s, all',
        'bytes/s a process, mean',
        'bytes/s, most of any in 10 minutes',
        'bytes/s a process before',
        'a mark is read after, mean s',
        'at worst s',
    )
    body = encode_fleet()
    hosts = decode_fleet(body)
    rows = [run_size(size, hosts, len(body) / len(hosts)) for size in sizes]
    sys.stdout.write(
        tabulate(rows, headers, tablefmt='github', floatfmt='.1f'),
    )
    sys.stdout.write('\n')


def run_size(size: int, hosts: tuple[Host, ...], each: float) -> Row:
    """Run a fleet of one size.

    :param size: how many processes.
    :param hosts: what the list says.
    :param each: bytes of one listing.
    :returns: the row.
    """
    fleet = Rest(size, hosts[:size])
    _run(fleet)
    warm = [read for read in fleet.reads if read[0] >= WARM_SECONDS]
    spent = SECONDS - WARM_SECONDS
    list_bytes = round(size * each)
    gaps = [late[0] - early[0] for early, late in pairwise(warm)]
    return Row(
        size,
        list_bytes,
        len(warm) / spent,
        len(warm) * list_bytes / spent / size,
        _count_most(warm) * list_bytes / WINDOW_SECONDS,
        list_bytes / max(BEFORE_LEAST, size / BEFORE_READS),
        sum(gap * gap for gap in gaps) / 2 / sum(gaps),
        max(gaps),
    )


def _run(fleet: Rest) -> None:
    readers = [
        HostReader(
            fleet,
            fleet.take,
            Counted(peer, fleet, Random(number)),
            fleet.readings,
            fleet,
            fleet.clock,
            Random(number),
        )
        for number, peer in enumerate(fleet.peers)
    ]
    due = [(number / len(readers), number) for number in range(len(readers))]
    heapq.heapify(due)
    while due[0][0] < SECONDS:
        moment, number = heapq.heappop(due)
        fleet.clock.now = moment
        reader = readers[number]
        before = reader.attempts
        _finish(reader)
        if reader.attempts > before:
            fleet.reads.append((fleet.clock.now, number))
        rest = fleet.clock.now + fleet.clock.rest
        heapq.heappush(due, (rest, number))


def _finish(reader: HostReader) -> None:
    step = reader.run_once()
    try:
        step.send(None)
    except StopIteration:
        return
    raise AssertionError


def _count_most(reads: list[tuple[float, int]]) -> int:
    # Windows that follow one another, so that a reading counts in one.
    counts = Counter(
        (number, int((moment - WARM_SECONDS) // WINDOW_SECONDS))
        for moment, number in reads
    )
    return max(counts.values())


if __name__ == '__main__':
    main()
