"""The published ``placement-weights`` document, one for each deployment."""

from __future__ import annotations

from typing import Annotated

import msgspec

NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class PlacementWeights(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What a deployment pays for skew and for moves.

    :param skew_weight: cost of one second lost to step-time skew.
    :param move_weight: cost of one second of weight-store transfer.
    :param store_bytes_per_second: this group's share of the weight store.
    :param hysteresis: a change must save its cost and this share more.
    :param slots_per_rank: experts of one layer that a rank's memory takes,
        replicas and copies under way included.
    :param horizon_seconds: how long a change is expected to serve.
    :param plan_interval_seconds: least time between two judgements.
    :param max_moves: most copies and drops in one plan.
    :param max_report_age_seconds: an older report moves nothing.
    :param recurring: whether demand swings away and comes back, so that one
        map should serve both; else the last ten minutes' mean is served.
    :param min_reports: reports needed before anything moves.
    :param min_tokens: a layer with fewer tokens in a report says nothing.
    """

    skew_weight: NonNegative
    move_weight: NonNegative
    store_bytes_per_second: Positive
    slots_per_rank: Count
    hysteresis: NonNegative = 0.25
    horizon_seconds: Positive = 1800
    plan_interval_seconds: NonNegative = 300
    max_moves: Count = 64
    recurring: bool = False
    max_report_age_seconds: Positive = 90
    min_reports: Count = 3
    min_tokens: Positive = 1000
