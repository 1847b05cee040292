"""The figures behind ``docs/CAPACITY.md``.

Run ``python -m ospreyford.measure.capacity``; it takes about two minutes and
prints tables as Markdown. Bytes of texts and lists are the same at every run;
memory varies a little, processor time with whatever else the machine does.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

from tabulate import tabulate

from ospreyford.distribution.codec import encode_message
from ospreyford.distribution.messages import Page
from ospreyford.measure.capacity_processes import (
    DOCUMENTS,
    SETTLE_SECONDS,
    SIZES,
    Rest,
    measure_connections,
    measure_rest,
)
from ospreyford.measure.capacity_samples import encode_fleet, write_entries
from ospreyford.measure.capacity_size import (
    BYTES_PER_SECOND,
    ENTRY_IN_FLIGHT,
    ENTRY_REQUESTS,
    FORGETS_PER_SECOND,
    HOST_LIST_SECONDS,
    PROCESSES,
    REPLICA_IN_FLIGHT,
    REPLICA_REQUESTS,
    STAY_SECONDS,
    TOKENS_A_REQUEST,
)
from ospreyford.measure.capacity_state import (
    MEGABYTE,
    Part,
    fill_agent,
    fill_apart,
    fill_entry,
    fill_record,
)
from ospreyford.measure.capacity_streams import measure_streams
from ospreyford.measure.capacity_times import measure_times
from ospreyford.standins.deployment import PENSION_OFFICE
from ospreyford.standins.fleet import Fleet
from ospreyford.standins.launcher import Launcher

PERCENT = 100
KILOBYTE = 1000
#: Documents in one page of a fresh process's questions.
PAGE = 100
STATES = (
    ('entry', fill_entry),
    ('agent of a model', fill_agent),
    ('execution records otherwise', fill_record),
)


def main() -> None:
    """Print the tables."""
    _say_load()
    _print('The size, by arithmetic', ('', 'figure'), list_size())
    _print('Texts and lists', ('', 'bytes', 'bytes/s'), measure_texts())
    for title, fill in STATES:
        parts = fill_apart(fill)
        _print(
            f'Resident memory of the state: {title}',
            ('part', 'items', 'MB', 'bytes an item'),
            tell_parts(parts),
        )
    _print(
        'Processor time of the parts',
        ('role', 'work', 'us', 'a second', '% of a core'),
        (
            (cost.role, cost.name, cost.microseconds, cost.rate, cost.percent)
            for cost in measure_times()
        ),
    )
    measure_fleets()
    _say_load()


def list_size() -> Iterator[tuple[str, float]]:
    """List what follows from the users' size.

    :yields: names and figures.
    """
    yield 'tokens a request', TOKENS_A_REQUEST
    yield 'longest stay of a request, s', STAY_SECONDS
    yield 'requests/s an entry', ENTRY_REQUESTS
    yield 'requests in flight an entry', ENTRY_IN_FLIGHT
    yield 'tokens/s an entry', ENTRY_REQUESTS * TOKENS_A_REQUEST
    yield 'requests/s a replica', REPLICA_REQUESTS
    yield 'requests in flight a replica', REPLICA_IN_FLIGHT
    yield 'tokens/s a replica', REPLICA_REQUESTS * TOKENS_A_REQUEST
    yield 'seconds between readings of the host list', HOST_LIST_SECONDS
    yield 'seconds between two times that plans go', 1 / FORGETS_PER_SECOND


def measure_texts() -> Iterator[tuple[str, int, float]]:
    """Measure what a fresh process and the host list make a node receive.

    :yields: names, bytes and bytes a second.
    """
    hosts = len(encode_fleet())
    yield f'host list of {PROCESSES}', hosts, hosts / HOST_LIST_SECONDS
    entries = tuple(write_entries())
    yield 'documents, as texts', sum(len(one.text) for one in entries), 0
    pages = (
        Page(entries[start : start + PAGE], True)
        for start in range(0, len(entries), PAGE)
    )
    yield 'documents, as sent to a fresh process', _measure_pages(pages), 0
    yield 'all that a node may spend on control', 0, BYTES_PER_SECOND


def tell_parts(parts: Sequence[Part]) -> Iterator[tuple[object, ...]]:
    """Turn parts into rows, with their sum.

    :param parts: the parts.
    :yields: the rows.
    """
    grown = 0
    for part in parts:
        megabytes = part.grown / MEGABYTE
        yield part.name, part.items, megabytes, part.grown / part.items
        grown += part.grown
    yield 'together', '', grown / MEGABYTE, ''


def measure_fleets() -> None:
    """Measure real processes in fleets of two sizes, and print the tables."""
    rests: list[Rest] = []
    for size in SIZES:
        with tempfile.TemporaryDirectory() as directory, Launcher() as launcher:
            fleet = Fleet(
                launcher, PENSION_OFFICE, size, DOCUMENTS, Path(directory)
            )
            fleet.start()
            time.sleep(SETTLE_SECONDS)
            rests.extend(measure_rest(fleet))
            if size == SIZES[-1]:
                _print_fleet(fleet, rests)


def _print_fleet(fleet: Fleet, rests: list[Rest]) -> None:
    _print(
        'Real processes at rest',
        ('role', 'fleet', 'MB', '% of a core', 'peer bytes/s'),
        rests,
    )
    _print(
        'Streamed answers under way, 39 ms between tokens',
        ('role', 'streams', 'tokens', 'bytes a stream', 'us a token'),
        measure_streams(fleet),
    )
    _print(
        'Idle connections',
        ('role', 'connections', 'bytes a connection'),
        measure_connections(fleet),
    )


def _measure_pages(pages: Iterable[Page]) -> int:
    return sum(len(encode_message(page)) for page in pages)


def _say_load() -> None:
    sys.stdout.write(
        'load average {0:.1f} on {1} cores\n\n'.format(
            os.getloadavg()[0], os.cpu_count()
        )
    )


def _print(
    title: str, headers: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    table = tabulate(list(rows), headers, tablefmt='github', floatfmt='.3f')
    sys.stdout.write(f'## {title}\n\n{table}\n\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
