"""Explanation of placement decisions for operators."""

from __future__ import annotations

from dataclasses import asdict

import msgspec

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.placement.layer import LayerState
from ospreyford.placement.map import LayerMap
from ospreyford.placement.outcomes import Copy, Drop, NoChange, Outcome, Plan
from ospreyford.placement.policy import Planner


class ReasonExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Why the map does not change.

    :param kind: name of the reason's type, such as ``ReportOld``.
    :param figures: fields of the reason.
    """

    kind: str
    figures: dict[str, float | str]


class LayerExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Effect of a plan on one layer.

    :param layer: index of the layer.
    :param peak_before: peak rank load now; the mean rank has 1.
    :param peak_after: peak rank load under the plan's map.
    :param copies: expert weights loaded before the switch.
    :param drops: expert weights freed after the switch.
    """

    layer: int
    peak_before: float
    peak_after: float
    copies: tuple[Copy, ...]
    drops: tuple[Drop, ...]


class PlanExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a placement decision, for operators.

    :param revision: the plan's map revision, or the current one without a plan.
    :param reason: why nothing changes; absent if there is a plan.
    :param layers: the layers that change.
    :param copy_bytes: bytes read from the weight store.
    :param copy_seconds: time to read them at the group's rate.
    :param saved_seconds: step time saved over the horizon.
    :param weighted_cost: ``copy_seconds`` times the move weight.
    :param weighted_saving: ``saved_seconds`` times the skew weight.
    :param loading_seconds: time since the copies started; absent once the
        map is in force.
    """

    revision: int
    reason: ReasonExplanation | None = None
    layers: tuple[LayerExplanation, ...] = ()
    copy_bytes: int = 0
    copy_seconds: float = 0
    saved_seconds: float = 0
    weighted_cost: float = 0
    weighted_saving: float = 0
    loading_seconds: float | None = None


def explain_plan(
    planner: Planner, outcome: Outcome, current: ExpertMap
) -> PlanExplanation:
    """Explain an outcome by the estimate that led to it.

    :param planner: the planner, in its state after the decision.
    :param outcome: the outcome to explain.
    :param current: the map that the decision was based on.
    :returns: the explanation.
    """
    match outcome:
        case NoChange(reason):
            return PlanExplanation(
                revision=current.revision,
                reason=ReasonExplanation(
                    kind=type(reason).__name__, figures=asdict(reason)
                ),
            )
        case Plan():
            return _explain_change(planner, outcome, current)


def _explain_change(
    planner: Planner, plan: Plan, current: ExpertMap
) -> PlanExplanation:
    settings = planner.settings
    layers = tuple(
        _explain_layer(planner, plan, number, current.layers[number])
        for number in sorted({move.layer for move in plan.copies + plan.drops})
    )
    peak_reduction = sum(
        layer.peak_before - layer.peak_after for layer in layers
    )
    saved_seconds = (
        peak_reduction * settings.horizon_seconds / planner.shape.layers
    )
    copy_seconds = plan.copy_bytes / settings.store_bytes_per_second
    return PlanExplanation(
        revision=plan.target.revision,
        layers=layers,
        copy_bytes=plan.copy_bytes,
        copy_seconds=copy_seconds,
        saved_seconds=saved_seconds,
        weighted_cost=copy_seconds * settings.move_weight,
        weighted_saving=saved_seconds * settings.skew_weight,
    )


def _explain_layer(
    planner: Planner, plan: Plan, layer_index: int, before: LayerMap
) -> LayerExplanation:
    scenarios = planner.estimator.estimate_layer(layer_index)
    ranks = planner.shape.ranks
    after = plan.target.layers[layer_index]
    return LayerExplanation(
        layer=layer_index,
        peak_before=LayerState(before, scenarios, ranks).compute_peak(),
        peak_after=LayerState(after, scenarios, ranks).compute_peak(),
        copies=tuple(copy for copy in plan.copies if copy.layer == layer_index),
        drops=tuple(drop for drop in plan.drops if drop.layer == layer_index),
    )
