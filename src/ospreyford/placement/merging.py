"""Summing the ranks' counters into one load report of the group."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from ospreyford.placement.loads import ExpertLoads

#: For each layer, for each expert, its tokens.
Counters = tuple[tuple[float, ...], ...]


class RankLoads(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that one rank's experts took in the last window.

    :param rank: the rank.
    :param age_seconds: age of the figures when they were received.
    :param tokens: for each layer, for each expert, its tokens on this rank;
        0 for an expert that the rank does not hold.
    """

    rank: int
    age_seconds: float
    tokens: Counters


def merge_loads(
    reports: Iterable[RankLoads], received_at: float
) -> ExpertLoads | None:
    """Sum the ranks' counters; the report is as old as the oldest.

    A rank that sent twice counts once, by its last report: counted twice, its
    experts would look hot. Ranks whose counters differ in shape run different
    models or maps; the report then has no figures, and is refused as such.

    :param reports: what the ranks sent, in the order of arrival.
    :param received_at: this process's monotonic clock, in seconds.
    :returns: the group's report, or ``None`` if no rank sent one.
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
    # Among other figures a NaN may lose every comparison, and an old report
    # would pass for a fresh one. A bad age spoils the whole report.
    if math.isfinite(sum(descending)) and descending[-1] >= 0:
        return descending[0]
    return math.nan


def _sum_counters(counters: Sequence[Counters]) -> list[list[float]]:
    return [
        list(map(sum, zip(*layers, strict=True)))
        for layers in zip(*counters, strict=True)
    ]
