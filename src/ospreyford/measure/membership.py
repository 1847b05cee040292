"""What membership costs a process, against the number of members.

Run ``python -m ospreyford.measure.membership``; it prints three tables as
Markdown: traffic and processor time of real members on loopback, memory for
each member known, and time of the parts that grow with the fleet.
"""

from __future__ import annotations

import gc
import multiprocessing
import os
import random
import sys
import time
from collections.abc import Callable, Iterable
from typing import Final

from tabulate import tabulate

from ospreyford.measure.membership_nodes import (
    MEASURED_SECONDS,
    ZONES,
    Usage,
    run_worker,
)
from ospreyford.membership.exchanges import Exchanges
from ospreyford.membership.member import Member, Version
from ospreyford.membership.settings import MembershipSettings
from ospreyford.membership.tables import Tables, build_tables
from ospreyford.ports.clock import SystemClock

FLEETS: Final = (20, 50, 100, 200)
#: Members known, up to 1,200 nodes and 4,300 replicas.
KNOWN: Final = (500, 1500, 2750, 5500)
LARGE_ZONES: Final = 6
WORKERS: Final = 4
REPEATS: Final = 50
MICROSECONDS: Final = 1e6


def measure_traffic(members: int) -> list[float]:
    """Run real members and read what they use.

    :param members: how many.
    :returns: a row of the table.
    """
    context = multiprocessing.get_context('spawn')
    share = members // WORKERS
    pipes = []
    for worker in range(WORKERS):
        mine, theirs = context.Pipe()
        arguments = theirs, worker * share, share
        context.Process(target=run_worker, args=arguments).start()
        pipes.append(mine)
    hosts = [host for pipe in pipes for host in pipe.recv()]
    for pipe in pipes:
        pipe.send(hosts)
    used = Usage(*map(sum, zip(*(pipe.recv() for pipe in pipes), strict=True)))
    each = members * MEASURED_SECONDS
    return [
        members,
        used.envelope_bytes / each,
        used.messages / each,
        used.processor_seconds / each * 1000,
        used.connections / members,
        used.connections_opened / each,
        used.wrong_states,
    ]


def measure_memory(known: int) -> list[float]:
    """Fill a view and read the memory it takes.

    :param known: members.
    :returns: a row of the table.
    """
    before = _resident_bytes()
    tables = _fill(known)
    gc.collect()
    grown = _resident_bytes() - before
    return [len(tables.view), grown / 2**20, grown / known]


def measure_time(known: int) -> list[float]:
    """Time the parts that grow with the fleet.

    :param known: members.
    :returns: a row of the table.
    """
    tables = _fill(known)
    exchanges = Exchanges(tables)
    other = tables.view.find('host-00001')

    def refresh() -> None:
        tables.view.revision += 1
        tables.rings.neighbours()

    def exchange() -> None:
        exchanges.absorb(exchanges.compose(other, introduce=False))

    return [known, _time(refresh), _time(exchange)]


def _fill(known: int) -> Tables:
    clock = SystemClock()
    rng = random.Random(1)
    tables = build_tables(MembershipSettings(), _member(0), clock, rng)
    for number in range(1, known):
        member = _member(number)
        tables.view.merge(member.name, Version(member.incarnation), member)
    return tables


def _member(number: int) -> Member:
    return Member(
        name=f'host-{number:05}',
        instance=f'i-{number:017}',
        role=sys.intern('backend'),
        zone=sys.intern(f'zone-{number % LARGE_ZONES}'),
        region=sys.intern(f'region-{number % 3}'),
        service=sys.intern('drafting'),
        data_address=f'10.1.{number // 250}.{number % 250}:7000',
        peer_address=f'10.1.{number // 250}.{number % 250}:7001',
        incarnation=f'{number:016x}',
    )


def _resident_bytes() -> int:
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * os.sysconf('SC_PAGESIZE')


def _time(call: Callable[[], None]) -> float:
    started = time.perf_counter()
    for _ in range(REPEATS):
        call()
    return (time.perf_counter() - started) / REPEATS * MICROSECONDS


def _print(title: str, headers: list[str], rows: Iterable[list[float]]) -> None:
    table = tabulate(
        rows,
        headers=headers,
        tablefmt='github',
        floatfmt='.1f',
    )
    sys.stdout.write(f'{title}\n\n{table}\n\n')
    sys.stdout.flush()


def main() -> None:
    """Print the tables."""
    _print(
        f'Memory of the members known ({LARGE_ZONES} zones)',
        ['members', 'MiB', 'bytes a member'],
        map(_run_apart, KNOWN),
    )
    _print(
        f'Time of the parts that grow ({LARGE_ZONES} zones)',
        ['members', 'rings anew, us', 'one exchange, us'],
        map(measure_time, KNOWN),
    )
    _print(
        f'Real members on loopback, {ZONES} zones, {WORKERS} processes',
        [
            'members',
            'bytes/s each',
            'messages/s each',
            'ms processor/s each',
            'connections each',
            'opened/s each',
            'wrong states',
        ],
        map(measure_traffic, FLEETS),
    )


def _run_apart(known: int) -> list[float]:
    # A process of its own: memory given back is not always returned.
    with multiprocessing.get_context('spawn').Pool(1) as pool:
        return pool.apply(measure_memory, (known,))


if __name__ == '__main__':
    main()
