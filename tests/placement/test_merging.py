from __future__ import annotations

import math

import pytest

from ospreyford.placement.loads import ExpertLoads
from ospreyford.placement.merging import RankLoads, merge_loads

Layers = tuple[tuple[float, ...], ...]


def rank_loads(rank: int, age: float, tokens: Layers) -> RankLoads:
    return RankLoads(rank=rank, age_seconds=age, tokens=tokens)


@pytest.mark.parametrize(
    ('reports', 'merged'),
    [
        ([], None),
        (
            [
                rank_loads(0, 2, ((4, 1), (0, 3))),
                rank_loads(1, 9, ((0, 1), (5, 0))),
            ],
            ExpertLoads(
                received_at=50,
                age_seconds=9,
                ranks=2,
                tokens=[[4, 2], [5, 3]],
            ),
        ),
        (
            [
                rank_loads(0, 9, ((4, 1),)),
                rank_loads(0, 2, ((5, 1),)),
            ],
            ExpertLoads(
                received_at=50, age_seconds=2, ranks=1, tokens=[[5, 1]]
            ),
        ),
        (
            [
                rank_loads(0, 2, ((4, 1),)),
                rank_loads(1, 2, ((4, 1, 1),)),
            ],
            ExpertLoads(received_at=50, age_seconds=2, ranks=2, tokens=()),
        ),
    ],
    ids=['none', 'sum', 'sent twice', 'different shapes'],
)
def test_counters_are_summed_once_for_each_rank(
    reports: list[RankLoads], merged: ExpertLoads | None
) -> None:
    """Guards against duplicate or mismatched counters in the sum."""
    assert merge_loads(reports, 50) == merged


@pytest.mark.parametrize('age', [math.nan, math.inf, -1.0])
@pytest.mark.parametrize('bad_rank', [0, 1])
def test_one_invalid_age_invalidates_the_report(
    age: float, bad_rank: int
) -> None:
    """Guards against reports of unknown age passing for fresh ones."""
    counters = ((4.0, 1.0),)
    reports = [
        rank_loads(rank, age if rank == bad_rank else 2, counters)
        for rank in range(2)
    ]
    merged = merge_loads(reports, 50)
    assert merged
    assert math.isnan(merged.age_seconds)
