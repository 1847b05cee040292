"""Runs of placement policies over the drift models."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import repeat
from typing import NamedTuple

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.measure.drift import (
    HOUR,
    INTERVAL,
    DepartureBanks,
    Drift,
    Moment,
    PensionSeason,
    Tokens,
)
from ospreyford.placement.balance import apportion_replicas, balance_layer
from ospreyford.placement.budget import TokenBucket
from ospreyford.placement.estimate import normalize_loads
from ospreyford.placement.layer import LayerState, LoadScenario
from ospreyford.placement.loads import ExpertLoads
from ospreyford.placement.map import GroupShape, make_initial_map
from ospreyford.placement.outcomes import Plan
from ospreyford.placement.policy import Planner
from ospreyford.placement.settings import PlacementSettings
from ospreyford.placement.variants import BalanceAlways, Variant

#: A step of a balanced group, in seconds; the users say five milliseconds.
STEP_SECONDS = 0.005
#: One expert of one layer: three matrices of 7168 x 2048 with one byte each.
EXPERT_BYTES = 44_040_192
#: A group's share of the weight store.
STORE_RATE = 50_000_000
#: More than any run asks for.
NO_LIMIT = 1_000_000
GIGABYTE = 1_000_000_000
EXPERTS = 64


class Deployment(NamedTuple):
    """One user's drift and settings."""

    name: str
    drift: Drift
    shape: GroupShape
    settings: PlacementSettings


class Entrant(NamedTuple):
    """One policy of a comparison.

    :param name: what the tables call it.
    :param variant: the policy.
    :param limited: whether memory, bound and budget hold it.
    """

    name: str
    variant: Variant
    limited: bool = True


@dataclass
class Totals:
    """What one policy did in one run."""

    name: str
    skews: list[float] = field(default_factory=list)
    moved: list[int] = field(default_factory=list)
    plans: int = 0
    disturbed_steps: float = 0

    def find_lost_seconds(self) -> float:
        """Add up the step time lost to skew.

        :returns: seconds beyond those of a balanced group.
        """
        return sum(self.skews) * INTERVAL

    def find_gigabytes(self) -> float:
        """Add up what was read from the weight store.

        :returns: gigabytes.
        """
        return sum(self.moved) * EXPERT_BYTES / GIGABYTE

    def find_store_seconds(self) -> float:
        """Add up the weight store's work.

        :returns: seconds of the group's whole share.
        """
        return sum(self.moved) * EXPERT_BYTES / STORE_RATE


OFFICE = Deployment(
    'pension office',
    PensionSeason(),
    GroupShape(ranks=8, layers=4, experts=EXPERTS, expert_bytes=EXPERT_BYTES),
    PlacementSettings(
        skew_weight=4,
        move_weight=1,
        store_bytes_per_second=STORE_RATE,
        slots_per_rank=10,
    ),
)
CATERER = Deployment(
    'caterer',
    DepartureBanks(),
    OFFICE.shape,
    PlacementSettings(
        skew_weight=1,
        move_weight=8,
        horizon_seconds=HOUR,
        recurring=True,
        store_bytes_per_second=STORE_RATE,
        slots_per_rank=10,
    ),
)


#: The size that the users plan for: one expert to a rank, one replica.
LARGE_GROUP = Deployment(
    'large group',
    PensionSeason(),
    GroupShape(
        ranks=EXPERTS, layers=4, experts=EXPERTS, expert_bytes=EXPERT_BYTES
    ),
    PlacementSettings(
        skew_weight=4,
        move_weight=1,
        store_bytes_per_second=STORE_RATE,
        slots_per_rank=3,
    ),
)
BALANCE_UNLIMITED = Entrant(
    'balance-always, without limits', BalanceAlways(), limited=False
)


def weigh_totals(totals: Totals, settings: PlacementSettings) -> float:
    """Add both measures by a deployment's weights.

    :param totals: what a policy did.
    :param settings: the deployment's settings.
    :returns: weighted seconds.
    """
    return (
        settings.skew_weight * totals.find_lost_seconds()
        + settings.move_weight * totals.find_store_seconds()
    )


def run_policy(
    deployment: Deployment, entrant: Entrant, moments: Iterable[Moment]
) -> Totals:
    """Run one policy over a drift.

    :param deployment: sizes and settings.
    :param entrant: the policy.
    :param moments: the popularity over time.
    :returns: skew and moves.
    """
    run = Run(deployment, entrant)
    for moment in moments:
        run.advance(moment)
    return run.totals


class Run:
    """A rank group that follows its policy's plans.

    :param deployment: sizes and settings.
    :param entrant: the policy.
    """

    def __init__(self, deployment: Deployment, entrant: Entrant) -> None:
        self.totals = Totals(entrant.name)
        self.current = make_initial_map(deployment.shape)
        self._shape = deployment.shape
        self._limited = entrant.limited
        self._planner = _make_planner(deployment, entrant)
        self._coming: ExpertMap | None = None
        self._comes_at: float = 0

    def advance(self, moment: Moment) -> None:
        """Live through one moment: count, report, plan.

        :param moment: the popularity now.
        """
        if self._coming and moment.at >= self._comes_at:
            self.current = self._coming
            self._coming = None
        skew = measure_skew(self.current, moment.truth, self._shape.ranks)
        self.totals.skews.append(skew)
        self.totals.moved.append(0)
        report = ExpertLoads(
            received_at=moment.at,
            age_seconds=0,
            ranks=self._shape.ranks,
            tokens=moment.report,
        )
        if self._coming:
            self._planner.observe(report, moment.at)
            return
        outcome = self._planner.plan(report, self.current, moment.at)
        if isinstance(outcome, Plan):
            self._follow(outcome, moment.at, skew)

    def _follow(self, made: Plan, at: float, skew: float) -> None:
        seconds = made.copy_bytes / STORE_RATE
        self._coming = made.target
        self._comes_at = at + seconds if self._limited else at
        self.totals.plans += 1
        self.totals.moved[-1] = len(made.copies)
        self.totals.disturbed_steps += seconds / STEP_SECONDS / (1 + skew)


def _make_planner(deployment: Deployment, entrant: Entrant) -> Planner:
    settings = deployment.settings
    variant = entrant.variant
    if not entrant.limited:
        variant = BalanceAlways(experts_per_rank=settings.slots_per_rank - 1)
        settings = PlacementSettings(
            skew_weight=1,
            move_weight=0,
            store_bytes_per_second=NO_LIMIT * EXPERT_BYTES,
            slots_per_rank=NO_LIMIT,
            max_moves=NO_LIMIT,
            plan_interval_seconds=0,
        )
    rate = settings.store_bytes_per_second
    burst = min(settings.max_moves, NO_LIMIT) * EXPERT_BYTES
    budget = TokenBucket(rate, burst, -INTERVAL)
    return Planner(variant, deployment.shape, settings, budget)


def measure_skew(current: ExpertMap, truth: Tokens, ranks: int) -> float:
    """Measure the step-time skew: slowest rank over mean rank, less one.

    All ranks wait for the slowest in each layer, so the layers' peaks add up.

    :param current: the map in force.
    :param truth: for each layer, for each expert, its tokens.
    :param ranks: ranks in the group.
    :returns: 0 for a balanced group.
    """
    peaks = [
        LayerState(layer, [LoadScenario(1, loads)], ranks).compute_peak()
        for layer, loads in zip(
            current.layers, normalize_loads(truth, ranks), strict=True
        )
    ]
    return sum(peaks) / len(peaks) - 1


def bound_skew(truth: Tokens, ranks: int, slots: int) -> float:
    """Bound the skew of any map from below.

    A rank has at least the mean load, and some rank at least the largest
    share of one replica.

    :param truth: for each layer, for each expert, its tokens.
    :param ranks: ranks in the group.
    :param slots: experts of one layer that a rank's memory takes.
    :returns: the least skew that replicas evenly split could reach.
    """
    peaks = [
        max(1, _find_largest_share(loads, ranks, slots))
        for loads in normalize_loads(truth, ranks)
    ]
    return sum(peaks) / len(peaks) - 1


def _find_largest_share(
    loads: Sequence[float], ranks: int, slots: int
) -> float:
    total = max(ranks * slots, len(loads))
    counts = apportion_replicas(loads, total, ranks)
    return max(load / count for load, count in zip(loads, counts, strict=True))


def level_run(
    moments: Iterable[Moment], shape: GroupShape, slots: int, name: str
) -> Totals:
    """Place by the true popularity at each moment, at no cost.

    This is what a group could reach that knew everything and moved freely.

    :param moments: the popularity over time.
    :param shape: the group's size.
    :param slots: experts of one layer that a rank's memory takes.
    :param name: what the tables call it.
    :returns: the skews; the moves are not counted.
    """
    skews = [
        measure_skew(
            _level(moment.truth, shape.ranks, slots),
            moment.truth,
            shape.ranks,
        )
        for moment in moments
    ]
    return Totals(name, skews, list(repeat(0, len(skews))))


def _level(truth: Tokens, ranks: int, slots: int) -> ExpertMap:
    layers = []
    for loads in normalize_loads(truth, ranks):
        counts = apportion_replicas(loads, ranks * slots, ranks)
        layers.append(balance_layer(loads, ranks, slots, counts))
    return ExpertMap(revision=0, layers=tuple(layers))


def bound_run(
    moments: Iterable[Moment], ranks: int, slots: int, name: str
) -> Totals:
    """Bound a whole run from below, moment by moment.

    :param moments: the popularity over time.
    :param ranks: ranks in the group.
    :param slots: experts of one layer that a rank's memory takes.
    :param name: what the tables call it.
    :returns: the bound's skews; nothing moves.
    """
    skews = [bound_skew(moment.truth, ranks, slots) for moment in moments]
    return Totals(name, skews, list(repeat(0, len(skews))))
