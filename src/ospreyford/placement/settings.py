"""Settings of the placement policy."""

from __future__ import annotations

import msgspec

from ospreyford.documents.capacity import PlacementWeights
from ospreyford.settings.types import Count, NonNegative, Positive


class PlacementSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Cost weights and limits of the placement policy.

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
        map should serve both; else a moving average is served.
    :param averaging_seconds: in which a report's weight in it halves.
    :param min_reports: reports needed before anything moves.
    :param min_tokens: a layer with fewer tokens in a report says nothing.
    """

    slots_per_rank: Count
    skew_weight: NonNegative = 1
    move_weight: NonNegative = 1
    store_bytes_per_second: Positive = 50_000_000
    hysteresis: NonNegative = 0.25
    horizon_seconds: Positive = 1800
    plan_interval_seconds: NonNegative = 300
    max_moves: Count = 64
    recurring: bool = False
    averaging_seconds: Positive = 600
    max_report_age_seconds: Positive = 90
    min_reports: Count = 3
    min_tokens: Positive = 1000


def apply_weights(
    settings: PlacementSettings, published: PlacementWeights
) -> PlacementSettings:
    """Apply the published ``placement-weights`` document.

    A changed document needs a new :class:`Planner` and a new bucket, and the
    estimate warms up again.

    :param settings: settings from the agent's file.
    :param published: document of the model service.
    :returns: the settings, overridden by the document.
    """
    return msgspec.structs.replace(
        settings,
        skew_weight=published.skew_weight,
        move_weight=published.move_weight,
        store_bytes_per_second=published.weight_store_bytes_per_second,
        hysteresis=published.hysteresis,
    )
