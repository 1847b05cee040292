"""Measure the placement policies: ``python -m ospreyford.measure.placement``.

Writes ``docs/MEASUREMENTS-placement.md`` and its plots; the same at every
run. Times are apart: ``python -m ospreyford.measure.placement_timing``.
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterable, Iterator
from itertools import chain
from pathlib import Path

from ospreyford.measure.drift import Moment, generate_moments
from ospreyford.measure.placement_runs import (
    BALANCE_UNLIMITED,
    CATERER,
    LARGE_GROUP,
    OFFICE,
    Deployment,
    Entrant,
    Run,
    Totals,
    bound_run,
    level_run,
    run_policy,
    weigh_totals,
)
from ospreyford.measure.placement_split import measure_split_skew
from ospreyford.measure.placement_tables import (
    format_pairs,
    format_runs,
    plot_runs,
)
from ospreyford.placement.variants import (
    Averaged,
    BalanceAlways,
    CostAware,
    LastReport,
    Recurring,
    Static,
    select_variant,
)

HOURS = 24
LARGE_HOURS = 8
SPLIT_EVERY = 60
#: Half-life of an earlier version's mean, in seconds.
SHORT_MEAN = 300
OTHER_SEEDS = (1, 2)
#: Policies whose lines would hide the others.
UNPLOTTED = frozenset(
    (BALANCE_UNLIMITED.name, 'weighed, last report, no replicas')
)
LEVEL_NAME = 'truth known, moves free'
PAGE = Path('docs/MEASUREMENTS-placement.md')
PLOTS = Path('docs/plots')
INTRODUCTION = """# Expert placement, measured

Command: `python -m ospreyford.measure.placement` (part of `make measure`);
no figure here is a time of this machine, and every run gives the same page.
The models are small ones at the interfaces (`measure/drift.py`,
`measure/placement_runs.py`); `docs/PLACEMENT.md` says what they leave out.

- Skew: load of the slowest rank over the mean rank's, less one, averaged over
  the layers; all ranks wait for the slowest in each layer.
- Step time lost: skew added up over the run, in seconds beyond those of a
  balanced group.
- Steps disturbed: steps of 5 ms during which a copy was under way.
- Weighted total: skew weight x step time lost + move weight x weight-store
  seconds. The weights are our choice; the users gave their order only.
- "balance-always, without limits" has no memory, bound or budget to keep to
  and its maps are in force at once: no group could run it.
- "truth known, moves free" places by the popularity of each moment itself; its
  moves are not counted. The lower bounds are mean load and the largest share
  of one replica.
"""


def list_entrants() -> Iterator[Entrant]:
    """List the policies of the comparison, plain and earlier ones first.

    :yields: each policy under the name that the tables call it.
    """
    yield Entrant('static', Static())
    yield BALANCE_UNLIMITED
    yield Entrant('balance-always', BalanceAlways())
    yield Entrant(
        'weighed, last report, no replicas', CostAware(LastReport(), False)
    )
    yield Entrant('weighed, last report', CostAware(LastReport()))
    yield Entrant('weighed, 5 min mean', CostAware(Averaged(SHORT_MEAN)))
    yield Entrant('weighed, 10 min mean', CostAware(Averaged()))
    yield Entrant('weighed, recurring regimes', CostAware(Recurring()))


def main() -> None:
    """Write the page."""
    PLOTS.mkdir(parents=True, exist_ok=True)
    sections = [
        INTRODUCTION,
        *(_compare(deployment, HOURS) for deployment in (OFFICE, CATERER)),
        _compare(LARGE_GROUP, LARGE_HOURS),
        _check_seeds(),
        _compare_splits(),
    ]
    page = '\n'.join(sections)
    PAGE.write_text(page, encoding='utf-8')
    sys.stdout.write(page)


def _generate(
    deployment: Deployment, hours: float, seed: int = 0
) -> list[Moment]:
    shape = deployment.shape
    return list(
        generate_moments(
            deployment.drift, shape.layers, shape.experts, hours, seed
        )
    )


def _compare(deployment: Deployment, hours: float) -> str:
    shape, settings = deployment.shape, deployment.settings
    moments = _generate(deployment, hours)
    rows = [
        run_policy(deployment, entrant, moments) for entrant in list_entrants()
    ]
    plot = _plot(deployment.name, rows)
    slots = settings.slots_per_rank
    rows.append(level_run(moments, shape, slots - 1, LEVEL_NAME))
    least = shape.experts // shape.ranks
    for name, slots in (
        ('lower bound, no replicas', least),
        ('lower bound, with replicas', settings.slots_per_rank),
    ):
        rows.append(bound_run(moments, shape.ranks, slots, name))
    return '\n\n'.join(
        (
            f'## {deployment.name}',
            _describe(deployment, hours),
            format_runs(rows, settings),
            f'![{deployment.name}](plots/{plot.name})\n',
        )
    )


def _plot(name: str, rows: Iterable[Totals]) -> Path:
    slug = name.replace(' ', '-')
    path = PLOTS / f'placement-{slug}.png'
    plotted = [row for row in rows if row.name not in UNPLOTTED]
    plot_runs(plotted, name, path)
    return path


def _describe(deployment: Deployment, hours: float) -> str:
    shape, settings = deployment.shape, deployment.settings
    horizon = f'{settings.horizon_seconds:.0f} s'
    chosen = _name_chosen(deployment)
    counts = f'{shape.ranks} ranks, {shape.layers} layers'
    memory = f'{shape.experts} experts, {settings.slots_per_rank} slots a rank'
    prices = f'skew {settings.skew_weight}, move {settings.move_weight}'
    return (
        f'{counts}, {memory}, {hours} h; weights: {prices}, '
        f'horizon {horizon}; '
        f'chosen: {chosen}.'
    )


def _name_chosen(deployment: Deployment) -> str:
    chosen = select_variant(deployment.settings)
    return next(
        entrant.name for entrant in list_entrants() if entrant.variant == chosen
    )


def _check_seeds() -> str:
    rows = chain.from_iterable(
        _run_finalists(deployment, seed)
        for deployment in (OFFICE, CATERER)
        for seed in OTHER_SEEDS
    )
    headers = ('deployment', 'seed', 'policy', 'skew mean', 'moved', 'total')
    return (
        '## Other seeds\n\nThe constants were chosen in trials on other'
        f' popularities of the same models.\n\n{format_pairs(rows, headers)}\n'
    )


def _run_finalists(deployment: Deployment, seed: int) -> Iterator[list[str]]:
    moments = _generate(deployment, HOURS, seed)
    for entrant in list(list_entrants())[-3:]:
        totals = run_policy(deployment, entrant, moments)
        yield [
            deployment.name,
            str(seed),
            entrant.name,
            f'{statistics.fmean(totals.skews):.3f}',
            str(sum(totals.moved)),
            f'{weigh_totals(totals, deployment.settings):.0f}',
        ]


def _compare_splits() -> str:
    rows = [
        (deployment.name, *_average_splits(deployment))
        for deployment in (OFFICE, CATERER)
    ]
    headers = ('deployment', 'even split', 'best split (LP)')
    return (
        '## Splitting load over replicas\n\nMean skew of the chosen policy'
        ' once an hour: replicas evenly used, and used by the optimum of a'
        f' linear programme (scipy).\n\n{format_pairs(rows, headers)}\n'
    )


def _average_splits(deployment: Deployment) -> tuple[str, str]:
    entrant = Entrant('chosen', select_variant(deployment.settings))
    run = Run(deployment, entrant)
    even, best = [], []
    for index, moment in enumerate(_generate(deployment, HOURS)):
        run.advance(moment)
        if index % SPLIT_EVERY == SPLIT_EVERY - 1:
            even.append(run.totals.skews[-1])
            best.append(
                measure_split_skew(
                    run.current, moment.truth, deployment.shape.ranks
                )
            )
    return f'{statistics.fmean(even):.3f}', f'{statistics.fmean(best):.3f}'


if __name__ == '__main__':
    main()
