"""Tables and plots of the routing comparison."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING, NamedTuple

from matplotlib.figure import Figure
from tabulate import tabulate

from ospreyford.measure.routing_runs import Case, Fault, Figures

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

COMMAND = 'python -m ospreyford.measure.routing'
#: Lag of the plotted runs, in seconds.
LAG_SHOWN = 0.5
DPI = 70
#: Two decimals for the load, three for the figures.
FORMATS = ('.2f', '', *('.3f',) * 7)
PAGE = 'MEASUREMENTS-routing.md'
HEADERS = (
    'load',
    'policy',
    'p50 s',
    'p99 s',
    'first token p99 s',
    'goodput',
    'Jain',
    'worst customer',
    'prefix hits',
)
INTRODUCTION = f"""# Routing, measured

Written by `{COMMAND}`; the same tables on every run. A small queue model at
the interface, no cluster: three entries, each with its own policy; back ends
that run a bounded batch and keep a bounded LRU of prompt prefixes; the time
of a request is its prefix, if not cached, and its tokens. Load is relative to
the capacity *if every prefix hit*, so 95 % is above what a policy without
affinity can carry. Goodput is the part of the requests answered within the
deadline, Jain and worst customer are taken over the customers' goodput;
latencies are of the requests answered in time, so a policy that refuses
more shows lower ones: read them beside the goodput. `chosen` is the shipped
router and fair queue; `linear program` is the allocation LP of Al-Azzoni and
Down with the arrival rates of an earlier stretch of the same workload.
"""


class Row(NamedTuple):
    """Figures of one policy in one case."""

    case: Case
    policy: str
    figures: Figures


def write_page(docs: Path, rows: Sequence[Row]) -> None:
    """Write the page and its plots.

    :param docs: directory of the pages.
    :param rows: all results, in the order of the tables.
    """
    plots = docs / 'plots'
    plots.mkdir(parents=True, exist_ok=True)
    parts = [INTRODUCTION]
    for heading, group in groupby(rows, key=_title):
        parts.extend((f'## {heading}\n', _format(group), ''))
    names = sorted({row.case.deployment.name for row in rows})
    for number, name in enumerate(names):
        file_name = f'routing-{number}.png'
        _plot(plots / file_name, name, rows)
        parts.append(f'![{name}](plots/{file_name})\n')
    (docs / PAGE).write_text('\n'.join(parts))


def _title(row: Row) -> str:
    case = row.case
    parts = [case.deployment.name, f'reports late by {case.lag} s']
    if case.fault is not Fault.none:
        parts.append(case.fault)
    return ', '.join(parts)


def _format(rows: Iterable[Row]) -> str:
    table = [(row.case.load, row.policy, *row.figures) for row in rows]
    return tabulate(table, HEADERS, tablefmt='github', floatfmt=FORMATS)


def _plot(path: Path, name: str, rows: Sequence[Row]) -> None:
    figure = Figure(figsize=(8, 3))
    axes = figure.subplots(1, 2)
    shown = [
        row
        for row in rows
        if row.case.deployment.name == name
        and row.case.lag == LAG_SHOWN
        and row.case.fault is Fault.none
    ]
    for policy in dict.fromkeys(row.policy for row in shown):
        mine = [row for row in shown if row.policy == policy]
        loads = [row.case.load for row in mine]
        axes[0].plot(loads, [row.figures.goodput for row in mine], label=policy)
        axes[1].plot(loads, [row.figures.first_token_p99 for row in mine])
    axes[0].set(title=name, xlabel='load', ylabel='goodput')
    axes[1].set(xlabel='load', ylabel='first token p99, s')
    axes[0].legend(fontsize='x-small')
    figure.tight_layout()
    figure.savefig(path, dpi=DPI, metadata={'Software': None})
