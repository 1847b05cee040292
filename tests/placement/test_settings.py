from __future__ import annotations

import msgspec
import pytest

from ospreyford.documents.capacity import PlacementWeights
from ospreyford.placement.settings import PlacementSettings, apply_weights
from ospreyford.placement.variants import (
    Averaged,
    CostAware,
    Recurring,
    select_variant,
)


def test_published_document_overrides_settings_file() -> None:
    published = PlacementWeights(
        team='quotations',
        title='Weights of the drafting service',
        service='drafting',
        skew_weight=4,
        move_weight=0.5,
        weight_store_bytes_per_second=2_000_000,
        hysteresis=0.1,
    )
    file = PlacementSettings(slots_per_rank=10, recurring=True)
    assert apply_weights(file, published) == PlacementSettings(
        slots_per_rank=10,
        recurring=True,
        skew_weight=4,
        move_weight=0.5,
        store_bytes_per_second=2_000_000,
        hysteresis=0.1,
    )


@pytest.mark.parametrize(
    'wrong',
    [
        {'slots_per_rank': 0},
        {'slots_per_rank': 2, 'skew_weight': -1},
        {'slots_per_rank': 2, 'store_bytes_per_second': 0},
        {'slots_per_rank': 2, 'horizon_seconds': 0},
        {'slots_per_rank': 2, 'max_moves': 0},
        {'slots_per_rank': 2, 'horizon': 60},
    ],
)
def test_wrong_setting_is_refused(wrong: dict[str, float]) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(wrong, PlacementSettings)


@pytest.mark.parametrize(
    ('settings', 'estimate'),
    [
        (PlacementSettings(slots_per_rank=2), Averaged(600)),
        (
            PlacementSettings(slots_per_rank=2, averaging_seconds=60),
            Averaged(60),
        ),
        (PlacementSettings(slots_per_rank=2, recurring=True), Recurring()),
    ],
)
def test_settings_choose_the_estimate(
    settings: PlacementSettings, estimate: Averaged | Recurring
) -> None:
    assert select_variant(settings) == CostAware(estimate)
