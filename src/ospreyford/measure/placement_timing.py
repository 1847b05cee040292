"""Processor time and memory of one judgement, against the group's size.

``python -m ospreyford.measure.placement_timing`` prints the table.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from tabulate import tabulate

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.measure.drift import (
    HOUR,
    INTERVAL,
    PensionSeason,
    generate_moments,
)
from ospreyford.measure.placement_runs import (
    EXPERT_BYTES,
    EXPERTS,
    STORE_RATE,
)
from ospreyford.placement.budget import TokenBucket
from ospreyford.placement.loads import ExpertLoads
from ospreyford.placement.map import GroupShape, make_initial_map
from ospreyford.placement.outcomes import Outcome, Plan
from ospreyford.placement.policy import Planner
from ospreyford.placement.settings import PlacementSettings
from ospreyford.placement.variants import select_variant

MILLISECONDS = 1000
KIBIBYTE = 1024
#: Reports given to each planner.
REPORTS = 8
#: Seconds between judgements unless a deployment says otherwise.
JUDGED_EVERY = 300
SMALL_LAYERS = 4, 16
LARGE_LAYERS = 4, 16, 58
SIZES = (
    *((8, layers) for layers in SMALL_LAYERS),
    *((EXPERTS, layers) for layers in LARGE_LAYERS),
)


HEADERS = (
    'ranks',
    'layers',
    'recurring',
    'slowest judgement (ms)',
    'longest step (ms)',
    'share of a core',
    'memory (KiB)',
)
FORMATS = ('', '', '', '.1f', '.1f', '.3%', '.0f')


class Timing(NamedTuple):
    """One row: processor time in milliseconds, memory in KiB.

    ``share`` is the share of a core at a judgement every five minutes and a
    report every minute.
    """

    ranks: int
    layers: int
    recurring: bool
    judgement: float
    longest_step: float
    share: float
    memory: float


def time_sizes() -> Iterator[Timing]:
    """Time the chosen policy for all sizes and both estimates.

    :yields: a row for each.
    """
    for ranks, layers in SIZES:
        for recurring in (False, True):
            yield time_judgements(ranks, layers, recurring)


def time_judgements(ranks: int, layers: int, recurring: bool) -> Timing:
    """Judge a few reports of one group and keep the slowest.

    :param ranks: ranks in the group.
    :param layers: layers of 64 experts.
    :param recurring: which estimate.
    :returns: the row.
    """
    slowest: list[float] = []
    steps: list[float] = []
    for times in _run(ranks, layers, recurring):
        slowest.append(sum(times))
        steps.extend(times)
    tracemalloc.start()
    deque(_run(ranks, layers, recurring), maxlen=0)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Timing(
        ranks,
        layers,
        recurring,
        max(slowest) * MILLISECONDS,
        max(steps) * MILLISECONDS,
        max(slowest) / JUDGED_EVERY,
        peak / KIBIBYTE,
    )


def _run(ranks: int, layers: int, recurring: bool) -> Iterator[list[float]]:
    shape = GroupShape(
        ranks=ranks, layers=layers, experts=EXPERTS, expert_bytes=EXPERT_BYTES
    )
    planner = _make_planner(shape, recurring)
    current = make_initial_map(shape)
    hours = REPORTS * INTERVAL / HOUR
    for moment in generate_moments(PensionSeason(), layers, EXPERTS, hours):
        report = ExpertLoads(
            received_at=moment.at + INTERVAL,
            age_seconds=0,
            ranks=ranks,
            tokens=moment.report,
        )
        times: list[float] = []
        current = _drain(planner, report, current, times)
        yield times


def _drain(
    planner: Planner,
    report: ExpertLoads,
    current: ExpertMap,
    times: list[float],
) -> ExpertMap:
    steps = planner.plan_in_steps(report, current, report.received_at)
    while True:
        started = time.process_time()
        try:
            next(steps)
        except StopIteration as finished:
            outcome: Outcome = finished.value
            return outcome.target if isinstance(outcome, Plan) else current
        finally:
            times.append(time.process_time() - started)


def _make_planner(shape: GroupShape, recurring: bool) -> Planner:
    settings = PlacementSettings(
        skew_weight=4,
        move_weight=1,
        store_bytes_per_second=STORE_RATE,
        slots_per_rank=shape.experts // shape.ranks + 2,
        plan_interval_seconds=0,
        recurring=recurring,
    )
    bucket = TokenBucket(STORE_RATE, settings.max_moves * EXPERT_BYTES, 0)
    return Planner(select_variant(settings), shape, settings, bucket)


def main() -> None:
    """Print the table."""
    table = tabulate(list(time_sizes()), HEADERS, 'pipe', floatfmt=FORMATS)
    sys.stdout.write(f'{table}\n')


if __name__ == '__main__':
    main()
