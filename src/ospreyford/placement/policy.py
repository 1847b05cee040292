"""The placement policies behind one interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, assert_never

from ospreyford.placement.balance import balance_layer, count_replicas
from ospreyford.placement.budget import StoreBudget
from ospreyford.placement.estimate import (
    Estimator,
    LatestReport,
    MovingAverage,
    scale_loads,
)
from ospreyford.placement.loads import ExpertLoads, find_fault
from ospreyford.placement.map import ExpertMap, GroupShape, is_valid_map
from ospreyford.placement.outcomes import NoChange, Outcome
from ospreyford.placement.reasons import (
    BudgetSpent,
    MapInvalid,
    NotWorthwhile,
    PlacementStatic,
    Reason,
    ReportRepeated,
    WarmingUp,
)
from ospreyford.placement.regimes import RecurringRegimes
from ospreyford.placement.search import (
    Proposal,
    SearchLimits,
    improve_layer,
)
from ospreyford.placement.transition import Transition
from ospreyford.placement.weights import PlacementWeights

#: Changes of one layer in one plan.
MAX_LAYER_CHANGES = 16


@dataclass(frozen=True)
class Static:
    """Never moves an expert."""


@dataclass(frozen=True)
class BalanceAlways:
    """Places all experts anew at each report, by the report alone."""

    replicas: bool = True


@dataclass(frozen=True)
class Latest:
    """Estimate: the last report."""


@dataclass(frozen=True)
class Averaged:
    """Estimate: moving average; it halves in ``half_life`` seconds."""

    half_life: float = 300


@dataclass(frozen=True)
class Recurring:
    """Estimate: recurring regimes, see :class:`RecurringRegimes`."""

    most: int = 3
    half_life: float = 14_400
    inertia: float = 1800
    smoothing: float = 120


Estimate = Latest | Averaged | Recurring


@dataclass(frozen=True)
class WeighedMoves:
    """Moves what saves more than it costs, by the deployment's weights."""

    estimate: Estimate = Recurring()
    replicas: bool = True


Variant = Static | BalanceAlways | WeighedMoves


class PlacementPolicy(Protocol):
    """Decides which experts move."""

    def plan(
        self, report: ExpertLoads | None, current: ExpertMap, now: float
    ) -> Outcome:
        """Judge a report.

        Ask only while no change of the map is under way.

        :param report: the group's last load report, if any.
        :param current: the map in force.
        :param now: this process's monotonic clock, in seconds.
        :returns: a plan, its bytes already taken from the budget, or why
            nothing changes.
        """


class Planner:
    """The placement policy of one rank group.

    :param variant: which policy.
    :param shape: the group's size.
    :param weights: the deployment's published weights.
    :param budget: the group's share of the weight store.
    """

    def __init__(
        self,
        variant: Variant,
        shape: GroupShape,
        weights: PlacementWeights,
        budget: StoreBudget,
    ) -> None:
        self.shape = shape
        self.weights = weights
        self.estimator = _make_estimator(variant)
        self._variant = variant
        self._budget = budget
        self._reports = 0
        self._measured_at: float | None = None

    def plan(
        self, report: ExpertLoads | None, current: ExpertMap, now: float
    ) -> Outcome:
        """Judge a report.

        Ask only while no change of the map is under way.

        :param report: the group's last load report, if any.
        :param current: the map in force.
        :param now: this process's monotonic clock, in seconds.
        :returns: a plan, its bytes already taken from the budget, or why
            nothing changes.
        """
        reason = find_fault(report, self.shape, self.weights, now)
        if reason or report is None:
            return NoChange(reason or NotWorthwhile())
        reason = self._observe(report) or self._find_obstacle(current, now)
        return NoChange(reason) if reason else self._decide(current, now)

    def _observe(self, report: ExpertLoads) -> Reason | None:
        last = self._measured_at
        if last is not None and report.measured_at <= last:
            # A duplicate or a late one: counted again, one swing would look
            # as if it lasted, and experts would move for it.
            return ReportRepeated()
        elapsed = 0 if last is None else report.measured_at - last
        self._measured_at = report.measured_at
        self._reports += 1
        self.estimator.observe(
            scale_loads(report.tokens, self.shape.ranks), elapsed
        )
        return None

    def _find_obstacle(self, current: ExpertMap, now: float) -> Reason | None:
        if not is_valid_map(current, self.shape, self.weights.slots_per_rank):
            return MapInvalid()
        if self._reports < self.weights.min_reports:
            return WarmingUp(self._reports, self.weights.min_reports)
        available = self._budget.available(now)
        if available < self.shape.expert_bytes:
            return BudgetSpent(available)
        return None

    def _decide(self, current: ExpertMap, now: float) -> Outcome:
        transition = Transition(
            current,
            self.shape,
            self.weights.slots_per_rank,
            self.weights.max_moves,
            self._budget.available(now),
        )
        match self._variant:
            case Static():
                return NoChange(PlacementStatic())
            case BalanceAlways(replicas):
                saved = self._balance(transition, replicas)
            case WeighedMoves(replicas=replicas):
                saved = self._improve(transition, current, replicas)
            case _:
                assert_never(self._variant)
        made = transition.finish(saved)
        if made is None:
            return NoChange(NotWorthwhile())
        if not self._budget.take(made.copy_bytes, now):
            return NoChange(BudgetSpent(self._budget.available(now)))
        return made

    def _balance(self, transition: Transition, replicas: bool) -> float:
        shape = self.shape
        # One slot of each rank stays free, or no copy could be made before
        # the old one is dropped.
        slots = max(1, self.weights.slots_per_rank - 1)
        total = shape.ranks * slots if replicas else shape.experts
        for number in range(shape.layers):
            loads = self.estimator.expect(number)[0].loads
            counts = count_replicas(loads, total, shape.ranks)
            transition.approach(
                number, balance_layer(loads, shape.ranks, slots, counts)
            )
        return 0

    def _improve(
        self, transition: Transition, current: ExpertMap, replicas: bool
    ) -> float:
        limits = SearchLimits(
            ranks=self.shape.ranks,
            slots=self.weights.slots_per_rank,
            change_cost=self._price_change(),
            max_changes=min(MAX_LAYER_CHANGES, transition.copies_left),
            replicas=replicas,
        )
        proposals = [
            improve_layer(number, layer, self.estimator.expect(number), limits)
            for number, layer in enumerate(current.layers)
        ]
        best_first = sorted(filter(None, proposals), key=_rank_proposal)
        gain = sum(
            proposal.gain
            for proposal in best_first
            if transition.take_whole(proposal.number, proposal.wanted)
        )
        return gain * self.weights.horizon_seconds / self.shape.layers

    def _price_change(self) -> float:
        """Price one change in units of a layer's peak load.

        One unit of peak load costs the step a share ``1 / layers`` of its
        expert time, over the whole horizon.
        """
        weights = self.weights
        if weights.skew_weight == 0:
            return float('inf')
        copy_seconds = self.shape.expert_bytes / weights.store_bytes_per_second
        unit_seconds = weights.horizon_seconds / self.shape.layers
        return (
            (1 + weights.hysteresis)
            * (weights.move_weight / weights.skew_weight)
            * (copy_seconds / unit_seconds)
        )


def _rank_proposal(proposal: Proposal) -> tuple[float, int]:
    return -proposal.net / proposal.changes, proposal.number


def _make_estimator(variant: Variant) -> Estimator:
    match variant:
        case WeighedMoves(Averaged(half_life)):
            return MovingAverage(half_life)
        case WeighedMoves(Recurring() as recurring):
            return RecurringRegimes(
                most=recurring.most,
                half_life=recurring.half_life,
                inertia=recurring.inertia,
                smoothing=recurring.smoothing,
            )
        case _:
            return LatestReport()
