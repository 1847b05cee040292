"""Placement policy of a rank group: decides which experts move."""

from __future__ import annotations

from collections.abc import Generator
from typing import Protocol, assert_never

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.placement.balance import apportion_replicas, balance_layer
from ospreyford.placement.budget import StoreBudget
from ospreyford.placement.estimate import normalize_loads
from ospreyford.placement.loads import ExpertLoads, check_report
from ospreyford.placement.map import GroupShape, is_valid_map
from ospreyford.placement.outcomes import NoChange, Outcome
from ospreyford.placement.reasons import (
    BudgetSpent,
    MapInvalid,
    NotWorthwhile,
    PlacementStatic,
    Reason,
    ReportRepeated,
    TooSoon,
    WarmingUp,
)
from ospreyford.placement.search import (
    Proposal,
    SearchLimits,
    improve_layer,
)
from ospreyford.placement.settings import PlacementSettings
from ospreyford.placement.transition import Transition
from ospreyford.placement.variants import (
    BalanceAlways,
    CostAware,
    Static,
    Variant,
    make_estimator,
)

#: Upper bound on the changes to one layer in a plan.
MAX_LAYER_CHANGES = 16

#: Incremental planning; the generator returns the outcome.
PlanSteps = Generator[None, None, Outcome]


class PlacementPolicy(Protocol):
    """Decides which experts move."""

    def plan(
        self, report: ExpertLoads | None, current: ExpertMap, now: float
    ) -> Outcome:
        """Decide on a plan; call only while no map change is in progress.

        :param report: the group's last load report, if any.
        :param current: the map in force.
        :param now: this process's monotonic clock, in seconds.
        :returns: a plan, its bytes already reserved from the budget, or why
            nothing changes.
        """


class Planner:
    """Placement policy of one rank group.

    :param variant: the policy variant.
    :param shape: the group's size.
    :param settings: the deployment's settings.
    :param budget: the group's share of the weight store.
    """

    def __init__(
        self,
        variant: Variant,
        shape: GroupShape,
        settings: PlacementSettings,
        budget: StoreBudget,
    ) -> None:
        self.shape = shape
        self.settings = settings
        self.estimator = make_estimator(variant)
        self._variant = variant
        self._budget = budget
        self._report_count = 0
        self._last_measured_at: float | None = None
        self._last_planned_at = float('-inf')

    def plan(
        self, report: ExpertLoads | None, current: ExpertMap, now: float
    ) -> Outcome:
        """Decide on a plan; call only while no map change is in progress.

        :param report: the group's last load report, if any.
        :param current: the map in force.
        :param now: this process's monotonic clock, in seconds.
        :returns: a plan, its bytes already reserved from the budget, or why
            nothing changes.
        """
        steps = self.plan_in_steps(report, current, now)
        while True:
            try:
                next(steps)
            except StopIteration as finished:
                outcome: Outcome = finished.value
                return outcome

    def plan_in_steps(
        self, report: ExpertLoads | None, current: ExpertMap, now: float
    ) -> PlanSteps:
        """Plan one layer at a time, so that the event loop is not blocked.

        Planning for a large group takes hundreds of milliseconds.

        :param report: the group's last load report, if any.
        :param current: the map in force.
        :param now: this process's monotonic clock, in seconds.
        :yields: ``None`` after each layer.
        :returns: the outcome, as from :meth:`plan`.
        """
        reason = self.observe(report, now) or self._find_blocking_reason(
            current, now
        )
        if reason:
            return NoChange(reason)
        self._last_planned_at = now
        return (yield from self._build_plan(current, now))

    def observe(self, report: ExpertLoads | None, now: float) -> Reason | None:
        """Update the estimate without planning.

        For use while a map change is in progress.

        :param report: the group's last load report, if any.
        :param now: this process's monotonic clock, in seconds.
        :returns: why the report was not used, or ``None``.
        """
        reason = check_report(report, self.shape, self.settings, now)
        if reason or report is None:
            return reason
        last = self._last_measured_at
        if last is not None and report.measured_at <= last:
            # A duplicate would make a short swing look persistent.
            return ReportRepeated()
        elapsed = 0 if last is None else report.measured_at - last
        if elapsed > self.settings.max_report_age_seconds:
            # The first report after a gap dominates the average.
            self._report_count = 0
        self._last_measured_at = report.measured_at
        self._report_count += 1
        self.estimator.observe(
            normalize_loads(report.tokens, self.shape.ranks), elapsed
        )
        return None

    def _find_blocking_reason(
        self, current: ExpertMap, now: float
    ) -> Reason | None:
        if not is_valid_map(current, self.shape, self.settings.slots_per_rank):
            return MapInvalid()
        if self._report_count < self.settings.min_reports:
            return WarmingUp(self._report_count, self.settings.min_reports)
        wait = self.settings.plan_interval_seconds - (
            now - self._last_planned_at
        )
        if wait > 0:
            return TooSoon(wait)
        available = self._budget.available(now)
        if available < self.shape.expert_bytes:
            return BudgetSpent(available)
        return None

    def _build_plan(self, current: ExpertMap, now: float) -> PlanSteps:
        transition = Transition(
            current,
            self.shape,
            self.settings.slots_per_rank,
            self.settings.max_moves,
            self._budget.available(now),
        )
        match self._variant:
            case Static():
                return NoChange(PlacementStatic())
            case BalanceAlways() as variant:
                saved_seconds = yield from self._balance_layers(
                    transition, variant
                )
            case CostAware(replicas=replicas):
                saved_seconds = yield from self._improve_layers(
                    transition, current, replicas
                )
            case _:
                assert_never(self._variant)
        plan = transition.build_plan(saved_seconds)
        if plan is None:
            return NoChange(NotWorthwhile())
        if not self._budget.take(plan.copy_bytes, now):
            return NoChange(BudgetSpent(self._budget.available(now)))
        return plan

    def _balance_layers(
        self, transition: Transition, variant: BalanceAlways
    ) -> Generator[None, None, float]:
        shape = self.shape
        # Make-before-break copies need a free slot on each rank.
        slots = variant.experts_per_rank or max(
            1, self.settings.slots_per_rank - 1
        )
        total_replicas = (
            shape.ranks * slots if variant.replicas else shape.experts
        )
        for layer_index in range(shape.layers):
            loads = self.estimator.estimate_layer(layer_index)[0].loads
            replica_counts = apportion_replicas(
                loads, total_replicas, shape.ranks
            )
            transition.apply_partially(
                layer_index,
                balance_layer(loads, shape.ranks, slots, replica_counts),
            )
            yield
        return 0

    def _improve_layers(
        self, transition: Transition, current: ExpertMap, replicas: bool
    ) -> Generator[None, None, float]:
        limits = SearchLimits(
            ranks=self.shape.ranks,
            slots=self.settings.slots_per_rank,
            change_cost=self._compute_change_cost(),
            max_changes=min(MAX_LAYER_CHANGES, transition.copies_left),
            replicas=replicas,
        )
        proposals: list[Proposal | None] = []
        for layer_index, layer in enumerate(current.layers):
            scenarios = self.estimator.estimate_layer(layer_index)
            proposals.append(
                improve_layer(layer_index, layer, scenarios, limits)
            )
            yield
        best_first = sorted(filter(None, proposals), key=_compute_sort_key)
        gain = sum(
            proposal.gain
            for proposal in best_first
            if transition.apply_fully(proposal.layer_index, proposal.target)
        )
        return gain * self.settings.horizon_seconds / self.shape.layers

    def _compute_change_cost(self) -> float:
        """Compute the cost of one change in units of a layer's peak load.

        One unit costs ``1 / layers`` of the step's expert time over the
        horizon.
        """
        settings = self.settings
        if settings.skew_weight == 0:
            return float('inf')
        copy_seconds = self.shape.expert_bytes / settings.store_bytes_per_second
        seconds_per_load_unit = settings.horizon_seconds / self.shape.layers
        return (
            (1 + settings.hysteresis)
            * (settings.move_weight / settings.skew_weight)
            * (copy_seconds / seconds_per_load_unit)
        )


def _compute_sort_key(proposal: Proposal) -> tuple[float, int]:
    return -proposal.net_gain / proposal.change_count, proposal.layer_index
