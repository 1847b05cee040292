"""What membership costs a process, against the number of members.

Run ``python -m ospreyford.measure.membership``; it prints four tables as
Markdown: memory for each member known, time of the parts that grow with the
fleet, and of real members on loopback their traffic and what they do not know
yet after a start (``membership_traffic`` prints these two alone).
"""

from __future__ import annotations

import gc
import multiprocessing
import os
import random
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import Final

import msgspec

from ospreyford.measure.membership_traffic import (
    FLEETS,
    print_table,
    print_traffic,
)
from ospreyford.membership.context import MembershipContext, build_context
from ospreyford.membership.exchanges import ExchangeHandler
from ospreyford.membership.member import Member, Version
from ospreyford.membership.messages import Exchange
from ospreyford.membership.settings import MembershipSettings
from ospreyford.membership.suspicions import Suspicions
from ospreyford.membership.targets import TargetSelector
from ospreyford.ports.clock import SystemClock

#: Members known, up to 1,200 nodes and 4,300 replicas.
KNOWN: Final = (500, 1500, 2750, 5500)
LARGE_ZONES: Final = 6
OTHER: Final = 'host-00001'
NETWORK: Final = 250
MEBIBYTE: Final = 1_048_576
REPEATS: Final = 50
MICROSECONDS: Final = 1e6


def measure_memory(known: int) -> list[float]:
    """Fill a view and read the memory it takes.

    :param known: members.
    :returns: a row of the table.
    """
    before = _resident_bytes()
    tables = fill_tables(known)
    gc.collect()
    grown = _resident_bytes() - before
    return [len(tables.view), grown / MEBIBYTE, grown / known]


def measure_time(known: int) -> list[float]:
    """Time the parts that grow with the fleet.

    :param known: members.
    :returns: a row of the table.
    """
    tables = fill_tables(known)
    exchanges = ExchangeHandler(tables)
    targets = TargetSelector(tables)
    suspicions = Suspicions(tables, targets)
    storm = _time(partial(_exchange, tables, exchanges))
    while len(tables.gossip):
        exchanges.build_exchange(None, introduce=False)
    return [
        known,
        _time(partial(_refresh, tables)),
        storm,
        _time(partial(_exchange, tables, exchanges)),
        _time(partial(suspicions.expire, 0)),
        _time(targets.select_next),
    ]


def _refresh(tables: MembershipContext) -> None:
    tables.view.revision += 1
    tables.rings.list_neighbours()


def _exchange(tables: MembershipContext, exchanges: ExchangeHandler) -> None:
    receiver = tables.view.find(OTHER)
    sent = exchanges.build_exchange(receiver, introduce=False)
    exchanges.handle_exchange(
        msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=Exchange)
    )


def fill_tables(known: int) -> MembershipContext:
    """Make the tables of a member that knows so many.

    :param known: members known, this one included.
    :returns: the tables, all members waiting to be passed on.
    """
    clock = SystemClock()
    rng = random.Random(1)
    tables = build_context(MembershipSettings(), _member(0), clock, rng)
    for number in range(1, known):
        member = _member(number)
        tables.view.merge(member.name, Version(member.incarnation), member)
    return tables


def _member(number: int) -> Member:
    zone = number % LARGE_ZONES
    high, low = divmod(number, NETWORK)
    data_address = f'10.1.{high}.{low}:7000'
    return Member(
        name=OTHER if number == 1 else _name('host', number),
        instance=_name('instance', number),
        role=sys.intern('backend'),
        zone=sys.intern(f'zone-{zone}'),
        region=sys.intern('region-1'),
        service=sys.intern('drafting'),
        data_address=data_address,
        peer_address=data_address.replace('7000', '7001'),
        incarnation=format(number, '016x'),
    )


def _name(kind: str, number: int) -> str:
    padded = str(number).zfill(5)
    return f'{kind}-{padded}'


def _resident_bytes() -> int:
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * os.sysconf('SC_PAGESIZE')


def _time(call: Callable[[], object]) -> float:
    started = time.perf_counter()
    for _ in range(REPEATS):
        call()
    return (time.perf_counter() - started) / REPEATS * MICROSECONDS


def main() -> None:
    """Print the tables."""
    print_table(
        f'Memory of the members known ({LARGE_ZONES} zones)',
        ['members', 'MiB', 'bytes a member'],
        map(_run_apart, KNOWN),
    )
    print_table(
        f'Time of the parts that grow ({LARGE_ZONES} zones)',
        [
            'members',
            'rings anew, us',
            'exchange while all are told, us',
            'quiet exchange, us',
            'suspects, us',
            'next target, us',
        ],
        map(measure_time, KNOWN),
    )
    print_traffic(FLEETS)


def _run_apart(known: int) -> list[float]:
    # A process of its own: memory given back is not always returned.
    with multiprocessing.get_context('spawn').Pool(1) as pool:
        return pool.apply(measure_memory, (known,))


if __name__ == '__main__':
    main()
