"""What real members send each other, at rest and after a start.

Run ``python -m ospreyford.measure.membership_traffic 50 100 200``; it prints
two tables as Markdown. The numbers are members of each fleet; left out, the
fleets of ``ospreyford.measure.membership`` are run.
"""

from __future__ import annotations

import multiprocessing
import sys
from collections.abc import Iterable
from multiprocessing.connection import Connection
from typing import Final

from tabulate import tabulate

from ospreyford.measure.membership_nodes import (
    LOOKS,
    WARM_SECONDS,
    ZONES,
    Usage,
    run_worker,
)
from ospreyford.ports.fleet import Host

FLEETS: Final = (20, 50, 100, 200)
WORKERS: Final = 4
START_BYTES: Final = f'bytes/s each, first {WARM_SECONDS} s'


def measure_traffic(members: int) -> list[Usage]:
    """Run real members and read what they use.

    :param members: how many.
    :returns: what all used together since the start, at each of ``LOOKS``.
    """
    context = multiprocessing.get_context('spawn')
    share = members // WORKERS
    pipes = []
    for worker in range(WORKERS):
        mine, theirs = context.Pipe()
        arguments = theirs, worker * share, share
        context.Process(target=run_worker, args=arguments).start()
        pipes.append(mine)
    return _run_together(pipes)


def _run_together(pipes: list[Connection]) -> list[Usage]:
    hosts: list[Host] = []
    for started in pipes:
        hosts.extend(started.recv())
    for listening in pipes:
        listening.send(hosts)
    workers: list[list[Usage]] = [measured.recv() for measured in pipes]
    return [_add(usages) for usages in zip(*workers, strict=True)]


def _add(usages: Iterable[Usage]) -> Usage:
    columns = zip(*usages, strict=True)
    return Usage(*(sum(column) for column in columns))


def _rest_row(members: int, looks: list[Usage]) -> list[float]:
    settled = looks[LOOKS.index(WARM_SECONDS)]
    return [members, *looks[-1].since(settled).each(members)]


def _start_row(members: int, looks: list[Usage]) -> list[float]:
    settled = looks[LOOKS.index(WARM_SECONDS)]
    return [
        members,
        settled.envelope_bytes / members / WARM_SECONDS,
        *(look.wrong_states for look in looks),
    ]


def print_table(
    title: str, headers: list[str], rows: Iterable[list[float]]
) -> None:
    """Print a table as Markdown.

    :param title: its title.
    :param headers: the columns.
    :param rows: the rows.
    """
    table = tabulate(
        rows,
        headers=headers,
        tablefmt='github',
        floatfmt='.1f',
    )
    sys.stdout.write(f'{title}\n\n{table}\n\n')
    sys.stdout.flush()


def print_traffic(fleets: Iterable[int]) -> None:
    """Run fleets one after the other and print what they used.

    :param fleets: members of each.
    """
    runs = [(members, measure_traffic(members)) for members in fleets]
    print_table(
        f'Real members on loopback, {ZONES} zones, {WORKERS} processes',
        [
            'members',
            'bytes/s each',
            'messages/s each',
            'ms processor/s each',
            'connections each',
            'opened/s each',
            'not yet known',
        ],
        [_rest_row(members, looks) for members, looks in runs],
    )
    print_table(
        'The first minute, all members started at once',
        [
            'members',
            START_BYTES,
            *(f'not known after {seconds} s' for seconds in LOOKS),
        ],
        [_start_row(members, looks) for members, looks in runs],
    )


def main() -> None:
    """Print the tables."""
    print_traffic([int(each) for each in sys.argv[1:]] or FLEETS)


if __name__ == '__main__':
    main()
