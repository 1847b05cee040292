"""Tables and plots of the placement runs."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from itertools import accumulate
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from tabulate import tabulate

from ospreyford.measure.drift import HOUR, INTERVAL
from ospreyford.measure.placement_runs import Totals, weigh_totals
from ospreyford.placement.settings import PlacementSettings

#: Moments in one point of a plot.
WINDOW = 10
DOTS_PER_INCH = 80
#: Place of the 99th of 100 in order.
TOP_PERCENTILE = 0.99

RUN_HEADERS = (
    'policy',
    'skew mean',
    'skew p99',
    'step time lost (s)',
    'experts moved',
    'GB moved',
    'weight-store seconds',
    'plans',
    'steps disturbed',
    'weighted total (s)',
)


def format_runs(rows: Iterable[Totals], settings: PlacementSettings) -> str:
    """Lay out one deployment's comparison.

    :param rows: what each policy did.
    :param settings: the deployment's settings.
    :returns: a Markdown table.
    """
    return _format([_list_cells(row, settings) for row in rows], RUN_HEADERS)


def format_pairs(
    rows: Iterable[Sequence[str | float]], headers: Sequence[str]
) -> str:
    """Lay out a small table.

    :param rows: cells, text or skews.
    :param headers: the columns' names.
    :returns: a Markdown table.
    """
    return _format(rows, headers)


def plot_runs(rows: Iterable[Totals], title: str, path: Path) -> None:
    """Draw skew and moved experts over time.

    :param rows: what each policy did.
    :param title: the deployment's name.
    :param path: where to write the PNG.
    """
    mpl.use('Agg')
    figure, (upper, lower) = plt.subplots(
        2, 1, figsize=(8, 6), sharex=True, layout='constrained'
    )
    for row in rows:
        _draw_run(upper, lower, row)
    upper.set(title=title, ylabel='step-time skew', ylim=(0, None))
    lower.set(xlabel='hours', ylabel='experts moved so far')
    lower.set_yscale('symlog')
    lower.set_ylim(0)
    lower.legend(fontsize='small')
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={'Software': ''})
    plt.close(figure)


def _draw_run(upper: Axes, lower: Axes, row: Totals) -> None:
    hours = [
        index * INTERVAL / HOUR for index in range(0, len(row.skews), WINDOW)
    ]
    upper.plot(hours, _average(row.skews), label=row.name, linewidth=1)
    moved = list(accumulate(row.moved))[::WINDOW]
    lower.plot(hours, moved, label=row.name, linewidth=1)


def find_percentile(skews: Sequence[float]) -> float:
    """Find the skew that 99 of 100 moments stay within.

    :param skews: the skew of each moment.
    :returns: the 99th percentile.
    """
    return sorted(skews)[int(len(skews) * TOP_PERCENTILE)]


def _list_cells(row: Totals, settings: PlacementSettings) -> list[str]:
    return [
        row.name,
        f'{statistics.fmean(row.skews):.3f}',
        f'{find_percentile(row.skews):.3f}',
        f'{row.find_lost_seconds():.0f}',
        str(sum(row.moved)),
        f'{row.find_gigabytes():.1f}',
        f'{row.find_store_seconds():.0f}',
        str(row.plans),
        f'{row.disturbed_steps:.0f}',
        f'{weigh_totals(row, settings):.0f}',
    ]


def _format(
    rows: Iterable[Sequence[str | float]], headers: Sequence[str]
) -> str:
    align = ('left', *('right' for _ in headers[1:]))
    return tabulate(
        rows, headers, 'pipe', colalign=align, disable_numparse=True
    )


def _average(skews: Sequence[float]) -> list[float]:
    return [
        statistics.fmean(skews[start : start + WINDOW])
        for start in range(0, len(skews), WINDOW)
    ]
