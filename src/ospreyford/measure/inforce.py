"""Seconds until a configuration is in force, on real processes.

``python -m ospreyford.measure.inforce [processes ...]`` starts entries with
the stand-in platform on loopback, lets them rest, publishes changes, and
prints a Markdown table. The moment at which a change is in force comes from
each process's own log line, so that nothing is asked while it spreads.
"""

from __future__ import annotations

import os
import statistics
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Final, NamedTuple

import msgspec
from tabulate import tabulate

from ospreyford.settings.types import split_address
from ospreyford.standins.deployment import CATERER, Size
from ospreyford.standins.fleet import Fleet, Program, ask
from ospreyford.standins.launcher import Launcher

DOCUMENTS = Path(__file__).parents[3] / 'examples/caterer/documents'
SIZES: Final = (4, 8, 16, 32)
CHANGES: Final = 8
REST_SECONDS: Final = 20.0
START_SECONDS: Final = 120.0
POLL_SECONDS: Final = 0.25
#: Everybody polling, often enough for the bound of 8 s.
BASELINE_SECONDS: Final = 8.0
PERCENT: Final = 100
#: Of ``/proc/PID/stat``: time in user and in system mode, in ticks.
USER_FIELD: Final = 13
SYSTEM_FIELD: Final = 14
MEGABYTE: Final = 1_000_000
IN_FORCE: Final = 'ConfigurationInForce'
LIMIT: Final = """
kind = "customer-limit"
team = "measure"
title = "Change {number}"
[customers]
everything = true
[limits]
requests_per_second = {number}
"""


class Line(msgspec.Struct, frozen=True):
    """What is read of a log line."""

    timestamp: float
    message_type: str = ''
    revision: int = 0


class Usage(NamedTuple):
    """What all processes used together since their start."""

    service_calls: float
    peer_bytes: float
    processor_seconds: float


class Row(NamedTuple):
    """A row of the table; usage is of the rest, in which nothing changes."""

    processes: int
    median_seconds: float
    worst_seconds: float
    service_calls: float
    baseline_calls: float
    peer_bytes: float
    processor_percent: float
    resident_megabytes: float


def main() -> None:
    """Measure each size and print the table."""
    sizes = [int(word) for word in sys.argv[1:]] or SIZES
    rows = [measure_size(size) for size in sizes]
    headers = (
        'processes',
        'in force, median s',
        'in force, worst s',
        'service calls/s, all',
        f'everyone polling each {BASELINE_SECONDS:.0f} s, calls/s',
        'peer bytes/s a process',
        '% of a core a process',
        'resident MB a process',
    )
    sys.stdout.write(
        tabulate(rows, headers, tablefmt='github', floatfmt='.2f'),
    )
    sys.stdout.write('\n')


def measure_size(size: int) -> Row:
    """Start a fleet, let it rest, and publish changes.

    :param size: how many processes.
    :returns: the row of this size.
    """
    with tempfile.TemporaryDirectory() as directory, Launcher() as launcher:
        fleet = Fleet(
            launcher,
            CATERER,
            Size(model_replicas=0, plain_replicas=0, entries=size),
            DOCUMENTS,
            Path(directory),
        )
        for host in fleet.hosts:
            fleet.start_program(host)
        programs = list(fleet.programs.values())
        _await_revision(programs, 1)
        time.sleep(REST_SECONDS)
        used = _measure_rest(fleet, programs)
        spread = [_time_change(fleet, number) for number in range(CHANGES)]
        resident = statistics.mean(map(_read_resident, programs))
    return Row(
        size,
        statistics.median(spread),
        max(spread),
        used.service_calls / REST_SECONDS,
        size / BASELINE_SECONDS,
        used.peer_bytes / REST_SECONDS / size,
        PERCENT * used.processor_seconds / REST_SECONDS / size,
        resident,
    )


def _measure_rest(fleet: Fleet, programs: list[Program]) -> Usage:
    before = _read_usage(fleet, programs)
    time.sleep(REST_SECONDS)
    after = _read_usage(fleet, programs)
    pairs = zip(after, before, strict=True)
    return Usage(*(late - early for late, early in pairs))


def _time_change(fleet: Fleet, number: int) -> float:
    text = LIMIT.format(number=number + 1)
    order = {'publish': {'name': 'limit-measured', 'text': text}}
    published = time.time()
    answer = ask(fleet.config.port, '/control', order)
    moments = _await_revision(fleet.programs.values(), answer['revision'])
    return max(moments) - published


def _await_revision(
    programs: Iterable[Program],
    revision: int,
) -> list[float]:
    waiting = list(programs)
    moments: list[float] = []
    end = time.monotonic() + START_SECONDS
    while waiting:
        if time.monotonic() > end:
            raise TimeoutError
        found = [_find_moment(one, revision) for one in waiting]
        moments += [moment for moment in found if moment is not None]
        pairs = zip(waiting, found, strict=True)
        waiting = [one for one, moment in pairs if moment is None]
        time.sleep(POLL_SECONDS)
    return moments


def _find_moment(program: Program, revision: int) -> float | None:
    for text in program.process.errors.splitlines():
        if IN_FORCE in text:
            line = msgspec.json.decode(text, type=Line)
            if line.revision >= revision:
                return line.timestamp
    return None


def _read_usage(fleet: Fleet, programs: list[Program]) -> Usage:
    calls = ask(fleet.config.port, '/calls')['total']
    pages = [
        ask(split_address(one.admin_address)[1], '/status') for one in programs
    ]
    sent = sum(page['configuration']['peer_bytes'] for page in pages)
    return Usage(calls, sent, sum(map(_read_processor, programs)))


def _read_processor(program: Program) -> float:
    fields = _read_process(program, 'stat').split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def _read_resident(program: Program) -> float:
    pages = int(_read_process(program, 'statm').split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / MEGABYTE


def _read_process(program: Program, name: str) -> str:
    pid = str(program.process.pid)
    return Path('/proc', pid, name).read_text()


if __name__ == '__main__':
    main()
