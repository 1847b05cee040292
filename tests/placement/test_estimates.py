from __future__ import annotations

from itertools import repeat

import pytest

from ospreyford.measure.drift import (
    DepartureBanks,
    PensionSeason,
    generate_moments,
    share_traffic,
)
from ospreyford.measure.placement_runs import bound_skew, measure_skew
from ospreyford.placement.balance import apportion_replicas
from ospreyford.placement.map import GroupShape, make_initial_map
from ospreyford.placement.variants import (
    Averaged,
    CostAware,
    LastReport,
    Recurring,
    make_estimator,
)

QUIET = (8.0, 1.0, 1.0, 2.0)
BANK = (1.0, 8.0, 2.0, 1.0)


@pytest.mark.parametrize(
    ('estimate', 'largest'),
    [
        (LastReport(), 1.0),
        (Averaged(), 7.6),
        (Recurring(smoothing_half_life_seconds=1), 7.6),
    ],
)
def test_outlier_report_has_little_weight(
    estimate: LastReport | Averaged | Recurring, largest: float
) -> None:
    """Guards against estimates that follow the noise of a single report."""
    estimator = make_estimator(CostAware(estimate))
    for loads in (*repeat(QUIET, 100), BANK):
        estimator.observe([loads], 60)
    heaviest = max(estimator.estimate_layer(0), key=lambda each: each.weight)
    assert heaviest.loads[0] == pytest.approx(largest, abs=0.5)


def test_two_regimes_are_kept_with_their_weights() -> None:
    estimator = make_estimator(CostAware(Recurring(current_regime_weight=0)))
    for index in range(400):
        bank = index // 40 % 4 == 3
        estimator.observe([BANK if bank else QUIET], 60)
    expected = sorted(estimator.estimate_layer(0))
    assert [round(each.loads[0]) for each in expected] == [1, 8]
    assert sum(each.weight for each in expected) == pytest.approx(1)
    assert expected[0].weight < expected[1].weight / 2


@pytest.mark.parametrize(
    ('loads', 'total', 'most', 'counts'),
    [
        ((8.0, 1.0, 1.0), 3, 4, [1, 1, 1]),
        ((8.0, 1.0, 1.0), 5, 4, [3, 1, 1]),
        ((8.0, 1.0, 1.0), 9, 4, [4, 3, 2]),
        ((8.0, 1.0, 1.0), 99, 4, [4, 4, 4]),
        ((8.0, 1.0, 1.0), 9, 1, [1, 1, 1]),
        ((0.0, 0.0), 2, 2, [1, 1]),
    ],
)
def test_replicas_go_to_the_largest_share(
    loads: tuple[float, ...], total: int, most: int, counts: list[int]
) -> None:
    assert apportion_replicas(loads, total, most) == counts


def test_skew_of_a_known_map() -> None:
    shape = GroupShape(ranks=2, layers=2, experts=4, expert_bytes=1)
    truth = ((6.0, 3.0, 2.0, 1.0), (1.0, 1.0, 1.0, 1.0))
    current = make_initial_map(shape)
    # Layer 0 has 9 of 12 tokens on one rank, 1.5 times the mean.
    assert measure_skew(current, truth, 2) == pytest.approx(0.25)
    assert bound_skew(truth, 2, 2) == 0
    assert bound_skew(((9.0, 1.0, 1.0, 1.0),), 2, 2) == pytest.approx(0.5)


@pytest.mark.parametrize('drift', [PensionSeason(), DepartureBanks()])
def test_drift_is_deterministic(
    drift: PensionSeason | DepartureBanks,
) -> None:
    first = list(generate_moments(drift, 1, 8, 0.2))
    assert first == list(generate_moments(drift, 1, 8, 0.2))
    assert first != list(generate_moments(drift, 1, 8, 0.2, seed=1))


@pytest.mark.parametrize(
    ('drift', 'at', 'shares'),
    [
        (PensionSeason(), 0, (0.9, 0.1, 0)),
        (PensionSeason(), 86_400, (0.2, 0.8, 0)),
        (DepartureBanks(), 0, (0.9, 0.1, 0)),
        (DepartureBanks(), 9000, (0.27, 0.03, 0.7)),
        (DepartureBanks(), 12_000, (0.9, 0.1, 0)),
        (DepartureBanks(), 72_000, (0.5, 0.5, 0)),
    ],
)
def test_banks_come_back_and_drift_stays(
    drift: PensionSeason | DepartureBanks,
    at: float,
    shares: tuple[float, float, float],
) -> None:
    assert share_traffic(drift, at) == pytest.approx(shares)
