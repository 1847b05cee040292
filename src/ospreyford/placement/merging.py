"""Aggregation of per-rank counters into a group load report."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from ospreyford.placement.loads import ExpertLoads

#: Tokens by layer and expert.
Counters = tuple[tuple[float, ...], ...]


class RankLoads(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens processed by one rank's experts in the last window.

    :param rank: the rank.
    :param age_seconds: age of the counters when they were received.
    :param tokens: tokens by layer and expert; 0 for experts that the rank
        does not hold.
    """

    rank: int
    age_seconds: float
    tokens: Counters


def merge_loads(
    reports: Iterable[RankLoads], received_at: float
) -> ExpertLoads | None:
    """Sum the ranks' counters; the age is that of the oldest.

    Only the last report of each rank counts. If the shapes differ, the ranks
    run different models or maps, and the merged report has no tokens, so that
    validation rejects it.

    :param reports: the ranks' reports, in the order of arrival.
    :param received_at: this process's monotonic clock, in seconds.
    :returns: the group's report, or ``None`` without reports.
    """
    last_by_rank = {report.rank: report for report in reports}
    if not last_by_rank:
        return None
    shapes = {
        tuple(map(len, report.tokens)) for report in last_by_rank.values()
    }
    tokens: Sequence[Sequence[float]] = ()
    if len(shapes) == 1:
        tokens = _sum_counters(
            [report.tokens for report in last_by_rank.values()]
        )
    return ExpertLoads(
        received_at=received_at,
        age_seconds=_compute_age(
            report.age_seconds for report in last_by_rank.values()
        ),
        ranks=len(last_by_rank),
        tokens=tokens,
    )


def _compute_age(ages: Iterable[float]) -> float:
    descending = sorted(ages, reverse=True)
    # NaN compares unreliably: one invalid age invalidates the whole report.
    if math.isfinite(sum(descending)) and descending[-1] >= 0:
        return descending[0]
    return math.nan


def _sum_counters(counters: Sequence[Counters]) -> list[list[float]]:
    return [
        list(map(sum, zip(*layers, strict=True)))
        for layers in zip(*counters, strict=True)
    ]
