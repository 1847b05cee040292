from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.rebalance.group import ExpertMap
from ospreyford.rebalance.mapdelta import build_initial_map
from ospreyford.rebalance.planner import Plan, PlanLimits, Planner
from ospreyford.rebalance.settings import RebalanceSettings

RANKS = 12
EXPERTS = 72
SETS = 4
PLACES = 8
FIRST: ExpertMap = tuple(
    tuple(tuple(range(rank, EXPERTS, RANKS)) for rank in range(RANKS))
    for _ in range(SETS)
)
LIMITS = PlanLimits(
    places=PLACES, spare=3, copies=2, least_gain=0.03, copy_cost=0.005
)


def draw_loads(seed: int) -> list[list[float]]:
    """Draw loads in which a few experts take most of a set's tokens."""
    random = Random(seed)
    return [
        [random.paretovariate(1.3) for _ in range(EXPERTS)] for _ in range(SETS)
    ]


def plan_repeatedly(loads: list[list[float]], times: int) -> list[Plan]:
    experts = FIRST
    plans = []
    for _ in range(times):
        plan = Planner(loads, experts, LIMITS).plan()
        if plan is None:
            break
        plans.append(plan)
        experts = plan.experts
    return plans


@pytest.mark.parametrize('seed', range(5))
def test_plans_balance_a_steady_load(seed: int) -> None:
    """A steady load is balanced within three changes, and planning ends."""
    plans = plan_repeatedly(draw_loads(seed), 20)
    assert plans[0].before > 2
    assert 100 * plans[min(2, len(plans) - 1)].after < 135
    assert len(plans) < 20


@pytest.mark.parametrize('seed', range(5))
def test_a_change_of_demand_is_followed(seed: int) -> None:
    """Two changes adapt the map to a shifted load."""
    settled = plan_repeatedly(draw_loads(seed), 20)[-1].experts
    shifted = draw_loads(seed + 100)
    first = Planner(shifted, settled, LIMITS).plan()
    assert first is not None
    second = Planner(shifted, first.experts, LIMITS).plan() or first
    assert 10 * second.after < 7 * first.before


def count_new(held: Sequence[int], before: Sequence[int]) -> int:
    return len(set(held) - set(before))


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    loads=st.lists(
        st.lists(st.floats(0, 1000), min_size=12, max_size=12),
        min_size=2,
        max_size=2,
    ),
    copies=st.integers(0, 3),
    spare=st.integers(0, 2),
)
def test_a_plan_keeps_to_its_limits(
    loads: list[list[float]], copies: int, spare: int
) -> None:
    one_set = tuple(tuple(range(rank, 12, 4)) for rank in range(4))
    experts: ExpertMap = (one_set, one_set)
    limits = PlanLimits(4, spare, copies, 0.01, 0.001)
    plan = Planner(loads, experts, limits).plan()
    if plan is None:
        return
    added = [
        [count_new(*both) for both in zip(new, old, strict=True)]
        for new, old in zip(plan.experts, experts, strict=True)
    ]
    assert max(map(max, added)) <= spare
    assert max(map(sum, zip(*added, strict=True))) <= copies
    assert sum(map(sum, added)) == plan.copies
    for held in plan.experts:
        assert set().union(*held) == set(range(12))
        assert max(map(len, held)) <= 4
    assert plan.after < plan.before


def test_copies_with_little_gain_are_not_planned() -> None:
    """Guards against copies that pay only for one of several loaded ranks."""
    even = [float(100 + expert % RANKS) for expert in range(EXPERTS)]
    loads = [even]
    plan = Planner(loads, FIRST[:1], LIMITS).plan()
    assert plan is None or plan.before - plan.after >= 0.005 * plan.copies


@pytest.mark.parametrize(
    'loads', [[[0.0] * EXPERTS] * SETS, [[1.0] * EXPERTS] * SETS]
)
def test_balanced_load_needs_no_plan(loads: list[list[float]]) -> None:
    assert Planner(loads, FIRST, LIMITS).plan() is None


def test_slow_rank_gets_less_load() -> None:
    """A slow rank must give up load, since all ranks wait for it."""
    loads = draw_loads(3)
    experts = plan_repeatedly(loads, 20)[-1].experts
    paces = [12.0] + [1.0] * (RANKS - 1)
    slow = Planner(loads, experts, LIMITS, paces).plan()
    assert slow is not None
    first = slow.before
    for _ in range(12):
        plan = Planner(loads, experts, LIMITS, paces).plan()
        if plan is None:
            break
        experts = plan.experts
        last = plan.after
    assert 3 * last < first


def test_slow_rank_drops_replicated_experts() -> None:
    """A slow rank drops replicated experts, which costs no copy."""
    experts: ExpertMap = (((0, 1), (0, 1), (2, 3), (3, 2)),)
    loads = [[1.0, 1.0, 1.0, 1.0]]
    limits = PlanLimits(4, 0, 0, 0.01, 0.001)
    plan = Planner(loads, experts, limits, [9, 1, 1, 1]).plan()
    assert plan is not None
    assert plan.copies == 0
    assert plan.experts[0][0] == ()


class Shape(NamedTuple):
    """Ranks, sets, experts of a set, and slots of a rank."""

    ranks: int
    sets: int
    experts: int
    places: int


SHAPES = (
    Shape(12, 4, 72, 8),
    Shape(72, 12, 144, 3),
    Shape(129, 16, 258, 3),
)
PLANS = 6


def draw_skewed_loads(shape: Shape) -> list[list[float]]:
    random = Random(7)
    sets, experts = range(shape.sets), range(shape.experts)
    return [[random.paretovariate(2) for _ in experts] for _ in sets]


def compute_final_skew(shape: Shape, copy_cost: float) -> float:
    """Plan until no move pays, and return the skew."""
    loads = draw_skewed_loads(shape)
    in_force = build_initial_map(shape.sets, shape.experts, shape.ranks)
    limits = PlanLimits(shape.places, 2, 2, 0.03, copy_cost)
    skew: float = 0
    for _ in range(PLANS):
        plan = Planner(loads, in_force, limits).plan()
        if plan is None:
            break
        in_force, skew = plan.experts, plan.after
    return skew


@pytest.mark.parametrize('shape', SHAPES, ids=str)
def test_maps_fit_the_load_in_groups_of_any_size(shape: Shape) -> None:
    """Guards against a copy cost that is prohibitive in large groups."""
    copy_cost = RebalanceSettings().copy_cost / shape.ranks
    assert compute_final_skew(shape, copy_cost) < 1.1 * compute_final_skew(
        shape, 0
    )
