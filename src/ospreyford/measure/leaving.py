"""Seconds until a leaving mark of the host list is in force.

``python -m ospreyford.measure.leaving [agents ...]`` starts agents, entries
and the stand-in platform on loopback, lets them rest, marks hosts as leaving
one by one, and prints a Markdown table. The moments come from the processes'
own log lines: at its own agent the mark is in force when the agent refuses
new work, at an entry when its membership has the agent as leaving.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Final, NamedTuple

import msgspec
from tabulate import tabulate

from ospreyford.measure.inforce import DOCUMENTS
from ospreyford.standins.deployment import CATERER, Size
from ospreyford.standins.fleet import Fleet, Program, ask
from ospreyford.standins.launcher import Launcher

SIZES: Final = (8, 24)
ENTRIES: Final = 3
MARKS: Final = 6
REST_SECONDS: Final = 20.0
WAIT_SECONDS: Final = 120.0
POLL_SECONDS: Final = 0.25
LEAVING: Final = 'leaving'


class Line(msgspec.Struct, frozen=True):
    """What is read of a log line."""

    timestamp: float
    message_type: str = ''
    member: str = ''
    after: str = ''


class Mark(NamedTuple):
    """Seconds from a mark until it was in force."""

    own: float
    entries: float


class Row(NamedTuple):
    """A row of the table, in seconds but for the first."""

    agents: int
    own_median: float
    own_worst: float
    entries_median: float
    entries_worst: float


def main() -> None:
    """Measure each size and print the table."""
    sizes = [int(word) for word in sys.argv[1:]] or SIZES
    headers = (
        'agents',
        'at its own agent, median s',
        'at its own agent, worst s',
        'at all entries, median s',
        'at all entries, worst s',
    )
    rows = [measure_size(size) for size in sizes]
    sys.stdout.write(
        tabulate(rows, headers, tablefmt='github', floatfmt='.2f'),
    )
    sys.stdout.write('\n')


def measure_size(size: int) -> Row:
    """Start a fleet, let it rest, and mark hosts.

    :param size: how many agents.
    :returns: the row of this size.
    """
    with tempfile.TemporaryDirectory() as directory, Launcher() as launcher:
        fleet = Fleet(
            launcher,
            CATERER,
            Size(model_replicas=0, plain_replicas=size, entries=ENTRIES),
            DOCUMENTS,
            Path(directory),
        )
        fleet.start()
        time.sleep(REST_SECONDS)
        agents = [
            one for one in fleet.programs.values() if one.host.role == 'backend'
        ]
        marks = [_time_mark(fleet, one) for one in agents[:MARKS]]
    own = [mark.own for mark in marks]
    entries = [mark.entries for mark in marks]
    return Row(
        size,
        statistics.median(own),
        max(own),
        statistics.median(entries),
        max(entries),
    )


def _time_mark(fleet: Fleet, agent: Program) -> Mark:
    name = agent.host.name
    marked = time.time()
    ask(fleet.host_list.port, '/control', {'leave': name})
    own = _await_line(agent, _is_draining)
    seen = partial(_is_leaving, name)
    entries = [_await_line(one, seen) for one in fleet.list_entries()]
    return Mark(own - marked, max(entries) - marked)


def _is_draining(line: Line) -> bool:
    return 'Draining' in line.message_type


def _is_leaving(name: str, line: Line) -> bool:
    return (line.member, line.after) == (name, LEAVING)


def _await_line(program: Program, fits: Callable[[Line], bool]) -> float:
    until = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < until:
        for text in program.process.errors.splitlines():
            line = msgspec.json.decode(text, type=Line)
            if fits(line):
                return line.timestamp
        time.sleep(POLL_SECONDS)
    raise TimeoutError


if __name__ == '__main__':
    main()
