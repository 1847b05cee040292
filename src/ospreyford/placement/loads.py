"""Load reports of a group's experts, and what makes one unusable."""

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
    """Tokens that each expert took in a window, summed over its replicas.

    :param received_at: when it arrived, by this process's monotonic clock.
    :param age_seconds: age of the figures when the report was sent.
    :param ranks: how many ranks' counters are summed.
    :param tokens: for each layer, for each expert, its tokens.
    """

    received_at: float
    age_seconds: float
    ranks: int
    tokens: Sequence[Sequence[float]]

    @property
    def measured_at(self) -> float:
        """When the window ended, by this process's monotonic clock."""
        return self.received_at - self.age_seconds


def check_report(
    report: ExpertLoads | None,
    shape: GroupShape,
    settings: PlacementSettings,
    now: float,
) -> Reason | None:
    """Judge whether a report may move anything.

    A wrong report looks like drift: experts move for nothing, the weight
    store is busy and the skew grows. So whatever is in doubt moves nothing.

    :param report: the last report, if any.
    :param shape: the group's size.
    :param settings: the deployment's limits.
    :param now: this process's monotonic clock.
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
    # The counters of a silent rank are missing from the sums: its experts
    # look cold, and a plan would pile more on the rank that is in trouble.
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
    # A few tokens at night say nothing of popularity: one request's tokens
    # would count as drift.
    min_layer_tokens = min(map(sum, report.tokens))
    if min_layer_tokens < settings.min_tokens:
        return TrafficLow(min_layer_tokens, settings.min_tokens)
    return None
