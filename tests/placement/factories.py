from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from itertools import product

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.placement.budget import TokenBucket
from ospreyford.placement.loads import ExpertLoads
from ospreyford.placement.map import GroupShape, LayerMap
from ospreyford.placement.outcomes import Plan
from ospreyford.placement.policy import Planner
from ospreyford.placement.settings import PlacementSettings
from ospreyford.placement.variants import CostAware, Variant

SHAPE = GroupShape(ranks=4, layers=2, experts=8, expert_bytes=100)
WEIGHTS = PlacementSettings(
    skew_weight=4,
    move_weight=1,
    store_bytes_per_second=100,
    slots_per_rank=4,
    min_reports=1,
    min_tokens=10,
    plan_interval_seconds=0,
)
#: Rank 0 holds experts 0 and 1, so it has 14 of 20 tokens.
SKEWED = (8.0, 6.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)


def make_report(
    received_at: float,
    layer: Sequence[float] = SKEWED,
    shape: GroupShape = SHAPE,
    **changes: object,
) -> ExpertLoads:
    fields: dict[str, object] = {
        'received_at': received_at,
        'age_seconds': 0,
        'ranks': shape.ranks,
        'tokens': (layer,) * shape.layers,
        **changes,
    }
    return ExpertLoads(**fields)  # type: ignore[arg-type]  # table's fields


def make_planner(
    variant: Variant | None = None,
    weights: PlacementSettings = WEIGHTS,
    shape: GroupShape = SHAPE,
    burst: float = 100_000,
) -> Planner:
    bucket = TokenBucket(weights.store_bytes_per_second, burst, 0)
    return Planner(variant or CostAware(), shape, weights, bucket)


def check_plan(
    plan: Plan,
    current: ExpertMap,
    weights: PlacementSettings,
    shape: GroupShape = SHAPE,
) -> None:
    """Check a plan without using the policy's code."""
    assert plan.target.revision == current.revision + 1
    old, new = _list_placements(current), _list_placements(plan.target)
    assert set(_keys(plan.copies)) == new - old
    assert set(_keys(plan.drops)) == old - new
    assert plan.copies or plan.drops
    assert len(plan.copies) + len(plan.drops) <= weights.max_moves
    assert plan.copy_bytes == len(plan.copies) * shape.expert_bytes
    everywhere = set(product(range(shape.layers), range(shape.experts)))
    assert {(layer, expert) for layer, expert, _ in new} == everywhere
    assert {rank for _, _, rank in new} <= set(range(shape.ranks))
    # Old and new weights coexist in memory until no rank uses the old map.
    held = Counter((layer, rank) for layer, _, rank in old | new)
    assert max(held.values()) <= weights.slots_per_rank


def _keys(moves: Sequence[object]) -> list[tuple[int, int, int]]:
    return [
        (move.layer, move.expert, move.rank)  # type: ignore[attr-defined]
        for move in moves
    ]


def _list_placements(current: ExpertMap) -> set[tuple[int, int, int]]:
    return {
        (number, expert, rank)
        for number, layer in enumerate(current.layers)
        for expert, rank in _list_pairs(layer)
    }


def _list_pairs(layer: LayerMap) -> Iterator[tuple[int, int]]:
    for expert, ranks in enumerate(layer):
        for rank in ranks:
            yield expert, rank
