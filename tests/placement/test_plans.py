from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.placement.budget import TokenBucket
from ospreyford.placement.map import GroupShape, is_valid_map, make_initial_map
from ospreyford.placement.outcomes import NoChange, Plan
from ospreyford.placement.policy import Planner
from ospreyford.placement.reasons import BudgetSpent, PlacementStatic
from ospreyford.placement.settings import PlacementSettings
from ospreyford.placement.transition import Transition
from ospreyford.placement.variants import (
    Averaged,
    BalanceAlways,
    CostAware,
    LastReport,
    Recurring,
    Static,
    Variant,
)
from tests.placement.factories import (
    SHAPE,
    SKEWED,
    WEIGHTS,
    check_plan,
    make_planner,
    make_report,
)

VARIANTS: tuple[Variant, ...] = (
    BalanceAlways(),
    BalanceAlways(replicas=False),
    CostAware(LastReport()),
    CostAware(LastReport(), replicas=False),
    CostAware(Averaged()),
    CostAware(Recurring()),
)
LAYER = st.lists(st.floats(0, 1000), min_size=8, max_size=8).filter(
    lambda layer: sum(layer) > 10
)


class Placement(RuleBasedStateMachine):
    """Plans are valid under any sequence of good, bad and late reports."""

    @initialize(
        variant=st.sampled_from(VARIANTS),
        slots=st.integers(2, 5),
        max_moves=st.integers(1, 12),
        rate=st.sampled_from([1, 5, 100]),
    )
    def start(
        self, variant: Variant, slots: int, max_moves: int, rate: int
    ) -> None:
        self.weights = PlacementSettings(
            skew_weight=4,
            move_weight=0.1,
            store_bytes_per_second=rate,
            slots_per_rank=slots,
            max_moves=max_moves,
            min_reports=1,
            min_tokens=10,
            plan_interval_seconds=0,
        )
        self.planner = make_planner(variant, self.weights, burst=500)
        self.twin = make_planner(variant, self.weights, burst=500)
        self.current = make_initial_map(SHAPE)
        self.now = 0.0
        self.copied_bytes = 0

    @rule(seconds=st.sampled_from([0.5, 20, 60, 1000]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(
        tokens=st.lists(LAYER, min_size=2, max_size=2),
        age=st.sampled_from([0, 30, 200]),
    )
    def report(self, tokens: list[list[float]], age: float) -> None:
        report = make_report(self.now, tokens=tokens, age_seconds=age)
        outcome = self.planner.plan(report, self.current, self.now)
        assert outcome == self.twin.plan(report, self.current, self.now)
        if isinstance(outcome, Plan):
            assert age < 200
            check_plan(outcome, self.current, self.weights)
            self.current = outcome.target
            self.copied_bytes += outcome.copy_bytes

    @rule(
        bad=st.sampled_from([float('nan'), float('inf'), -1.0]),
        layer=LAYER,
        place=st.integers(0, 7),
    )
    def report_badly(self, bad: float, layer: list[float], place: int) -> None:
        layer = [*layer[:place], bad, *layer[place + 1 :]]
        report = make_report(self.now, layer)
        outcome = self.planner.plan(report, self.current, self.now)
        assert isinstance(outcome, NoChange)

    @invariant()
    def budget_is_kept(self) -> None:
        if hasattr(self, 'weights'):
            rate = self.weights.store_bytes_per_second
            assert self.copied_bytes <= rate * self.now


TestPlacement = Placement.TestCase
TestPlacement.settings = settings(
    max_examples=120, stateful_step_count=25, deadline=None, derandomize=True
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    layer=LAYER,
    variant=st.sampled_from(VARIANTS[2:]),
    move_weight=st.sampled_from([0.01, 0.5, 5]),
    slots=st.integers(2, 4),
)
def test_constant_load_settles(
    layer: list[float], variant: Variant, move_weight: float, slots: int
) -> None:
    """Guards against oscillation under a constant load."""
    weights = PlacementSettings(
        skew_weight=4,
        move_weight=move_weight,
        store_bytes_per_second=100,
        slots_per_rank=slots,
        min_reports=1,
        min_tokens=10,
        plan_interval_seconds=0,
    )
    planner = make_planner(variant, weights)
    current = make_initial_map(SHAPE)
    last_change = 0
    for index in range(1, 200):
        now = index * 60
        outcome = planner.plan(make_report(now, layer), current, now)
        if isinstance(outcome, Plan):
            last_change = index
            current = outcome.target
    assert last_change < 100


@pytest.mark.parametrize('seed', range(5))
def test_noise_moves_little_once_settled(seed: int) -> None:
    """Guards against moves caused by 10 % noise under a steady load."""
    generator = random.Random(seed)
    planner = make_planner(weights=_weigh_moves(8))
    current = make_initial_map(SHAPE)
    copies = 0
    for index in range(1, 400):
        noisy = [load * generator.uniform(0.9, 1.1) for load in SKEWED]
        now = index * 60
        outcome = planner.plan(make_report(now, noisy), current, now)
        if isinstance(outcome, Plan):
            current = outcome.target
            copies += len(outcome.copies) if index > 50 else 0
    assert copies <= 4


def _weigh_moves(weight: float) -> PlacementSettings:
    return PlacementSettings(
        skew_weight=1,
        move_weight=weight,
        store_bytes_per_second=10,
        slots_per_rank=4,
        min_reports=1,
        min_tokens=10,
        plan_interval_seconds=0,
    )


def test_recurring_demand_causes_no_new_moves() -> None:
    """Guards against moving experts back and forth for recurring demand."""
    quiet = (8.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 6.0)
    bank = (1.0, 1.0, 6.0, 1.0, 8.0, 1.0, 1.0, 1.0)
    copies = {'recurring': 0, 'averaged': 0}
    for name, variant in (
        ('recurring', CostAware(Recurring(max_regimes=2))),
        ('averaged', CostAware(Averaged())),
    ):
        planner = make_planner(variant, _weigh_moves(0.5))
        current = make_initial_map(SHAPE)
        for index in range(1, 800):
            now = index * 60
            layer = bank if index // 40 % 2 else quiet
            outcome = planner.plan(make_report(now, layer), current, now)
            if isinstance(outcome, Plan):
                current = outcome.target
                copies[name] += len(outcome.copies) if index > 160 else 0
    assert copies['recurring'] <= 2 < copies['averaged']


@pytest.mark.parametrize('variant', [Static(), *VARIANTS], ids=str)
def test_skew_falls_unless_static(variant: Variant) -> None:
    planner = make_planner(variant)
    current = make_initial_map(SHAPE)
    outcome = planner.plan(make_report(1000), current, 1000)
    if variant == Static():
        assert outcome == NoChange(PlacementStatic())
    else:
        assert isinstance(outcome, Plan)
        assert _find_peak(outcome.target) < _find_peak(current)


def _find_peak(current: ExpertMap) -> float:
    ranks = [0.0] * SHAPE.ranks
    for expert, holders in enumerate(current.layers[0]):
        for rank in holders:
            ranks[rank] += SKEWED[expert] / len(holders)
    return max(ranks)


def test_new_coordinator_has_no_burst() -> None:
    """Guards against a full burst at each coordinator restart."""
    planner = make_planner()
    current = make_initial_map(SHAPE)
    outcome = planner.plan(make_report(0), current, 0)
    assert outcome == NoChange(BudgetSpent(0))


def test_unreservable_budget_yields_no_plan() -> None:
    """Guards against plans whose bytes could not be reserved."""

    class Contended(TokenBucket):
        def take(self, amount: float, now: float) -> bool:
            return False

    planner = Planner(CostAware(), SHAPE, WEIGHTS, Contended(100, 10_000, 0))
    outcome = planner.plan(make_report(1000), make_initial_map(SHAPE), 1000)
    assert outcome == NoChange(BudgetSpent(10_000))


def test_plan_is_cut_to_the_budget() -> None:
    """Guards against rejecting a whole plan when the budget covers a part."""
    planner = make_planner(BalanceAlways())
    outcome = planner.plan(make_report(2.5), make_initial_map(SHAPE), 2.5)
    assert isinstance(outcome, Plan)
    assert len(outcome.copies) == 2


@pytest.mark.parametrize(
    ('max_moves', 'max_bytes'), [(2, 1000), (5, 1000), (9, 200)]
)
def test_layer_is_changed_fully_or_not_at_all(
    max_moves: int, max_bytes: float
) -> None:
    """Guards against partial changes that cost without lowering the peak."""
    current = make_initial_map(SHAPE)
    moved = ((2,), (3,), (2,))
    target = moved + current.layers[0][3:]
    small = Transition(current, SHAPE, 6, max_moves, max_bytes)
    assert not small.apply_fully(0, target)
    assert small.build_plan() is None
    enough = Transition(current, SHAPE, 6, 6, 300)
    assert enough.apply_fully(0, target)


@settings(max_examples=15, deadline=None, derandomize=True)
@given(
    ranks=st.integers(1, 9),
    experts=st.integers(1, 20),
    layers=st.integers(1, 3),
    spare=st.integers(0, 3),
    seed=st.integers(0, 99),
    variant=st.sampled_from(VARIANTS),
)
def test_any_group_size_gets_valid_plans(
    ranks: int,
    experts: int,
    layers: int,
    spare: int,
    seed: int,
    variant: Variant,
) -> None:
    shape = GroupShape(
        ranks=ranks, layers=layers, experts=experts, expert_bytes=1
    )
    weights = PlacementSettings(
        skew_weight=1,
        move_weight=0.01,
        store_bytes_per_second=1,
        slots_per_rank=-(-experts // ranks) + spare,
        min_reports=1,
        min_tokens=1e-9,
        plan_interval_seconds=0,
    )
    generator = random.Random(seed)
    planner = make_planner(variant, weights, shape)
    current = make_initial_map(shape)
    assert is_valid_map(current, shape, weights.slots_per_rank)
    for now in range(60, 600, 60):
        layer = [generator.expovariate(1) for _ in range(experts)]
        report = make_report(now, layer, shape)
        outcome = planner.plan(report, current, now)
        if isinstance(outcome, Plan):
            check_plan(outcome, current, weights, shape)
            current = outcome.target
