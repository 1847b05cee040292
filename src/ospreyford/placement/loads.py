"""Load reports of a group's experts and their validation."""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import chain

import msgspec

from ospreyford.placement.map import GroupShape
from ospreyford.placement.reasons import (
    Reason,
    ReportBad,
    ReportFault,
    ReportMissing,
    ReportOld,
    ReportPartial,
    TrafficLow,
)
from ospreyford.placement.settings import PlacementSettings


class ExpertLoads(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens processed by each expert in a window, summed over its replicas.

    :param received_at: time of receipt, on this process's monotonic clock.
    :param age_seconds: age of the counters when the report was sent.
    :param ranks: number of ranks whose counters are included.
    :param tokens: tokens by layer and expert.
    """

    received_at: float
    age_seconds: float
    ranks: int
    tokens: Sequence[Sequence[float]]

    @property
    def measured_at(self) -> float:
        """End of the window, on this process's monotonic clock."""
        return self.received_at - self.age_seconds


def check_report(
    report: ExpertLoads | None,
    shape: GroupShape,
    settings: PlacementSettings,
    now: float,
) -> Reason | None:
    """Check whether a report can be used for planning.

    Doubtful reports are rejected: errors in them look like drift and would
    cause needless moves.

    :param report: the last report, if any.
    :param shape: the group's size.
    :param settings: the deployment's limits.
    :param now: this process's monotonic clock, in seconds.
    :returns: why the report is unusable, or ``None``.
    """
    if report is None:
        return ReportMissing()
    return (
        _check_age(report, settings, now)
        or _check_shape(report, shape)
        or _check_token_counts(report, settings)
    )


def _check_age(
    report: ExpertLoads, settings: PlacementSettings, now: float
) -> Reason | None:
    age = now - report.measured_at
    if not math.isfinite(age):
        return ReportBad(ReportFault.not_finite)
    if report.age_seconds < 0 or report.received_at > now:
        return ReportBad(ReportFault.wrong_clock)
    if age > settings.max_report_age_seconds:
        return ReportOld(age, settings.max_report_age_seconds)
    return None


def _check_shape(report: ExpertLoads, shape: GroupShape) -> Reason | None:
    if len(report.tokens) != shape.layers:
        return ReportBad(ReportFault.wrong_shape)
    if any(len(layer) != shape.experts for layer in report.tokens):
        return ReportBad(ReportFault.wrong_shape)
    # Without a rank's counters its experts look idle and would attract load.
    if report.ranks != shape.ranks:
        return ReportPartial(report.ranks, shape.ranks)
    return None


def _check_token_counts(
    report: ExpertLoads, settings: PlacementSettings
) -> Reason | None:
    if not all(map(math.isfinite, chain.from_iterable(report.tokens))):
        return ReportBad(ReportFault.not_finite)
    if min(map(min, report.tokens)) < 0:
        return ReportBad(ReportFault.negative)
    # With few tokens, a single request would look like drift.
    min_layer_tokens = min(map(sum, report.tokens))
    if min_layer_tokens < settings.min_tokens:
        return TrafficLow(min_layer_tokens, settings.min_tokens)
    return None
