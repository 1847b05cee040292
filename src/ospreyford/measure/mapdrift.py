"""Measure expert maps under drift: ``python -m ospreyford.measure.mapdrift``.

Replays seeded demand in a group whose pass lasts as long as its most loaded
rank takes, with no maps, with maps as the long-term placement makes them,
with maps at the pace of the load, and with the best map for the very window.
Writes ``docs/MEASUREMENTS-mapdrift.md`` and its plots; the same at every run.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterator, Sequence
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from ospreyford.measure.demand import Scene
from ospreyford.measure.mappolicies import (
    LongTerm,
    NoMaps,
    PaceOfLoad,
    Policy,
)
from ospreyford.measure.mapreplay import Replay, find_bound, replay
from ospreyford.measure.placement_tables import (
    DOTS_PER_INCH,
    find_percentile,
    format_pairs,
)

MINUTE = 60
PERCENT = 100
#: Digits of a skew.
DIGITS = 2
MILLISECONDS = 1000
PAGE = Path('docs/MEASUREMENTS-mapdrift.md')
PLOTS = Path('docs/plots')
#: What a plot shows, and what one of its points stands for.
PLOT_SECONDS = 30
POINT_PASSES = 5
#: The larger scene.
MANY_RANKS = 16
MANY_EXPERTS = 96
MANY_RUNNING = 40
#: Long enough for thirty shifts.
SHORT_SECONDS = 120
SCENES = (
    Scene(name='eight ranks', seed=1),
    Scene(
        name='sixteen ranks',
        ranks=MANY_RANKS,
        sets=3,
        experts=MANY_EXPERTS,
        places=9,
        running=MANY_RUNNING,
        seconds=SHORT_SECONDS,
        seed=2,
    ),
    Scene(name='calm demand', seconds=SHORT_SECONDS, shift_part=0, seed=3),
)
HEADERS = ('policy', 'skew mean', 'skew p99', 'copies a minute', 'age (ms)')
INTRODUCTION = """# Expert maps under drift, measured

Written by `python -m ospreyford.measure.mapdrift` (part of `make measure`);
the same at every run. Demand is drawn from a seed; a pass lasts 20 ms and 0.8
ms for each running request, times the skew (the most loaded rank over the
mean, mean of the sets). *Age* is that of the newest counts when a map is in
force. *No maps* spreads experts evenly; *every 300 s* plans without limits
from all counts since the last plan; *pace of the load* is the code that runs
on the platform; *best map* is made by the same planner without limits for the
very window of 20 passes that it is judged by: not reachable, and greedy, so
the true bound is a little lower.
"""


def run_scene(scene: Scene) -> list[Replay]:
    """Replay a scene under every policy.

    :param scene: the scene.
    :returns: what each did, the best map last.
    """
    policies: Sequence[Policy] = (
        NoMaps(scene),
        LongTerm(scene),
        PaceOfLoad(scene),
    )
    return [*(replay(scene, one) for one in policies), find_bound(scene)]


def format_scene(scene: Scene, replays: Sequence[Replay]) -> str:
    """Lay out one scene.

    :param scene: the scene.
    :param replays: of its policies.
    :returns: Markdown.
    """
    title = scene.name.capitalize()
    plot = find_plot(scene)
    table = format_pairs([_list_cells(scene, one) for one in replays], HEADERS)
    parts = (
        f'## {title}',
        _describe(scene),
        table,
        f'![{scene.name}](plots/{plot.name})\n',
    )
    return '\n\n'.join(parts)


def _list_cells(scene: Scene, one: Replay) -> list[str | float]:
    mean_age = statistics.fmean(one.ages or [0]) * MILLISECONDS
    age = f'{mean_age:.0f}' if one.ages else ''
    copies = one.copies * MINUTE / scene.seconds
    return [
        one.name,
        round(statistics.fmean(one.skews), DIGITS),
        round(find_percentile(one.skews), DIGITS),
        f'{copies:.0f}',
        age,
    ]


def _describe(scene: Scene) -> str:
    seconds = round(scene.seconds)
    size = (
        f'{scene.ranks} ranks',
        f'{scene.sets} sets of {scene.experts} experts',
        f'{scene.places} places',
        f'{scene.running} requests',
        f'{seconds} s',
    )
    demand = 'nothing shifts'
    if scene.shift_part:
        part = round(scene.shift_part * PERCENT)
        demand = f'{part} % of the liked shift every {scene.shift_seconds} s'
    listed = ', '.join(size)
    return f'{listed}; {demand}.'


def find_plot(scene: Scene) -> Path:
    """Name a scene's plot.

    :param scene: the scene.
    :returns: where it is.
    """
    name = scene.name.replace(' ', '-')
    return PLOTS / f'mapdrift-{name}.png'


def draw_scene(scene: Scene, replays: Sequence[Replay]) -> None:
    """Draw the skew of the first half minute.

    :param scene: the scene.
    :param replays: of its policies.
    """
    mpl.use('Agg')
    figure, axes = plt.subplots(figsize=(8, 4), layout='constrained')
    for one in replays:
        points = list(_list_points(one))
        axes.plot(*zip(*points, strict=True), label=one.name, linewidth=1)
    axes.set(title=scene.name, xlabel='seconds', ylabel='skew', ylim=(1, None))
    axes.legend(fontsize='small')
    figure.savefig(
        find_plot(scene), dpi=DOTS_PER_INCH, metadata={'Software': ''}
    )
    plt.close(figure)


def _list_points(one: Replay) -> Iterator[tuple[float, float]]:
    for start in range(0, len(one.skews), POINT_PASSES):
        if one.moments[start] > PLOT_SECONDS:
            return
        shown = one.skews[start : start + POINT_PASSES]
        yield one.moments[start], statistics.fmean(shown)


def main() -> None:
    """Replay all scenes; write the page and the plots."""
    parts = [INTRODUCTION]
    for scene in SCENES:
        replays = run_scene(scene)
        draw_scene(scene, replays)
        parts.append(format_scene(scene, replays))
    PAGE.write_text('\n'.join(parts))


if __name__ == '__main__':
    main()
