"""How fast and at what cost a change reaches every process.

A model at the interfaces: the code that runs, on a fake network and in fake
time, seeded. Run ``python -m ospreyford.measure.distribution``; the columns
``cpu`` and ``memory`` are of this machine and vary, the others do not.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import fire
from tabulate import tabulate

from ospreyford.distribution.bootstrap import Ready
from ospreyford.distribution.codec import decode_message, encode_message
from ospreyford.distribution.distributor import Distributor
from ospreyford.distribution.entries import Entry
from ospreyford.distribution.messages import Delta
from ospreyford.distribution.replica import Replica
from ospreyford.distribution.service import DocumentSource
from ospreyford.distribution.settings import DistributionSettings
from ospreyford.measure.fleet import (
    FleetMember,
    Kernel,
    ModelService,
    Network,
    Port,
)

ZONES = 6
DOCUMENT_BYTES = 600
CHANGE_EVERY_SECONDS = 20
CHANGES = 3
WARM_SECONDS = 30
POLL_SECONDS = 8
CALLS_AT_CHANGE = 2
SAMPLE_DOCUMENTS = 40_000
KIBIBYTE = 1024
MICROSECONDS = 1_000_000
MEDIAN = 0.5
TAIL = 0.99
NO_FAULT = 'none'
FAULTS = (NO_FAULT, 'loss 10 %', 'zone silent')
LARGEST = 5_500
SIZES = (12, 120, 1_200, LARGEST)


class Outcome(NamedTuple):
    """What one run of the model gave."""

    seconds: Sequence[float]
    calls_per_second: float
    bytes_per_second: float
    largest_bytes_per_second: float


class Fleet:
    """A fleet of processes in the model.

    :param size: how many processes.
    :param seed: of all randomness.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.rng = Random(seed)
        self.kernel = Kernel()
        self.network = Network(self.kernel, self.rng)
        self.service = ModelService(self.kernel)
        self.text = b''
        self.arrivals: list[float] = []
        self._views = [_make_member(one) for one in range(size)]
        for member in self._views:
            self._start(member)

    def members(self) -> Sequence[FleetMember]:
        """Give the view of all, silent processes included.

        :returns: every process.
        """
        return self._views

    def publish(self) -> None:
        """Publish a change and note when it arrives where."""
        self.text = self.rng.randbytes(DOCUMENT_BYTES // 2).hex().encode()
        self.arrivals = []
        self.service.publish('limits', self.text)

    def silence(self, zone: str) -> None:
        """Cut off all peers of a zone, while all still count as live.

        :param zone: its name.
        """
        self.network.silent = {
            one.peer_address for one in self._views if one.zone == zone
        }

    def _start(self, member: FleetMember) -> None:
        distributor = Distributor(
            DistributionSettings(cold_start_rounds=3),
            member,
            DocumentSource(self.service, _accept_text),
            Port(self.network, member.peer_address),
            self,
            self.kernel,
            Random(self.rng.random()),
        )
        distributor.subscribe(self._note)
        self.kernel.spawn(distributor.run_gossip())
        self.kernel.spawn(distributor.run_reader())
        self.kernel.spawn(_become_ready(distributor))

    def _note(self, changed: tuple[Entry, ...]) -> None:
        if any(entry.text == self.text for entry in changed):
            self.arrivals.append(self.kernel.now)


def _accept_text(name: str, text: bytes) -> bool:
    return True


def run_fleet(size: int, seed: int, fault: str = NO_FAULT) -> Outcome:
    """Run a fleet through a few changes.

    :param size: how many processes.
    :param seed: of all randomness.
    :param fault: one of ``FAULTS``, from after the start on.
    :returns: seconds until each change was everywhere, and rates.
    """
    fleet = Fleet(size, seed)
    fleet.publish()
    fleet.kernel.run_until(WARM_SECONDS)
    reached = size
    if fault == FAULTS[1]:
        fleet.network.loss = 0.1
    if fault == FAULTS[2]:
        fleet.silence('zone-0')
        reached -= len(fleet.network.silent)
    fleet.service.calls = 0
    fleet.network.sent.clear()
    seconds: list[float] = []
    for _ in range(CHANGES):
        published = fleet.kernel.now
        fleet.publish()
        fleet.kernel.run_until(published + CHANGE_EVERY_SECONDS)
        seconds.append(_seconds_until(fleet.arrivals, reached) - published)
    span = CHANGES * CHANGE_EVERY_SECONDS
    sent = fleet.network.sent
    return Outcome(
        seconds,
        fleet.service.calls / span,
        sent.total() / size / span,
        max(sent.values()) / span,
    )


def tell_sizes(sizes: Sequence[int], seed: int) -> str:
    """Make the table by fleet size.

    :param sizes: numbers of processes.
    :param seed: of all randomness.
    :returns: a Markdown table.
    """
    rows = [
        (
            size,
            *_row_of(run_fleet(size, seed)),
            size / POLL_SECONDS,
            size * CALLS_AT_CHANGE,
        )
        for size in sizes
    ]
    headers = (
        'processes',
        'in force, mean s',
        'in force, worst s',
        'service calls/s',
        'mean B/s',
        'largest B/s',
        'all poll every 8 s: calls/s',
        'all watch: calls at once at a change',
    )
    return tabulate(rows, headers, tablefmt='github', floatfmt='.2f')


def tell_faults(size: int, seed: int) -> str:
    """Make the table by fault.

    :param size: number of processes.
    :param seed: of all randomness.
    :returns: a Markdown table.
    """
    rows = [(fault, *_row_of(run_fleet(size, seed, fault))) for fault in FAULTS]
    headers = (
        'fault',
        'in force, mean s',
        'in force, worst s',
        'service calls/s',
        'mean B/s',
        'largest B/s',
    )
    return tabulate(rows, headers, tablefmt='github', floatfmt='.2f')


def tell_costs(count: int) -> str:
    """Measure memory and processor time for each document.

    :param count: documents held.
    :returns: a Markdown table.
    """
    tracemalloc.start()
    replica = Replica(_accept_text)
    for number in range(count):
        entry = Entry(f'limits-{number}', number + 1, bytes(DOCUMENT_BYTES))
        replica.accept(entry)
    held = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    spent = _time_deltas(replica, count)
    rows = [
        ('memory of a document beyond its text, B', held - DOCUMENT_BYTES),
        ('encode, decode and accept a delta, us', spent * MICROSECONDS),
        ('all but sockets, us of cpu a second', _time_fleet() * MICROSECONDS),
    ]
    return tabulate(
        rows, ('cost', str(count)), tablefmt='github', floatfmt='.0f'
    )


def measure(seed: int = 1, largest: int = LARGEST) -> None:
    """Print all tables.

    :param seed: of all randomness.
    :param largest: the largest fleet to run.
    """
    sizes = [size for size in SIZES if size <= largest]
    print(tell_sizes(sizes, seed), end='\n\n')  # noqa: WPS421 - its output
    print(tell_faults(sizes[-2], seed), end='\n\n')  # noqa: WPS421 - as above
    print(tell_costs(SAMPLE_DOCUMENTS))  # noqa: WPS421 - as above


def _row_of(outcome: Outcome) -> tuple[float, ...]:
    return (
        sum(outcome.seconds) / len(outcome.seconds),
        max(outcome.seconds),
        outcome.calls_per_second,
        outcome.bytes_per_second,
        outcome.largest_bytes_per_second,
    )


def _time_deltas(replica: Replica, count: int) -> float:
    text = bytes(DOCUMENT_BYTES)
    started = time.process_time()
    for number in range(count):
        body = encode_message(
            Delta((Entry(f'limits-{number}', count + number, text),))
        )
        replica.accept(decode_message(body, Delta).entries[0])
    return (time.process_time() - started) / count


def _time_fleet() -> float:
    size = SIZES[1]
    started = time.process_time()
    run_fleet(size, 1)
    span = WARM_SECONDS + CHANGES * CHANGE_EVERY_SECONDS
    return (time.process_time() - started) / size / span


def _make_member(number: int) -> FleetMember:
    zone = number % ZONES
    return FleetMember(f'host-{number}', str(number), f'zone-{zone}')


def _seconds_until(arrivals: list[float], reached: int) -> float:
    if len(arrivals) < reached:
        return float('inf')
    return arrivals[reached - 1]


async def _become_ready(distributor: Distributor) -> None:
    ready = False
    while not ready:
        ready = isinstance(await distributor.bootstrap(), Ready)


if __name__ == '__main__':
    fire.Fire(measure)
