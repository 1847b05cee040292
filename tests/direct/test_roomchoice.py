"""Choice of the group that takes a stream."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from ospreyford.direct.roomchoice import (
    LATE_WEIGHT,
    LOCAL_WEIGHT,
    PROBE_PLACES,
    UNLIMITED_PLACES,
    RoomOption,
    choose_option,
    compute_weights,
)

DRAWS = 3000
BIG = RoomOption('big', 40)
SMALL = RoomOption('small', 20)
LATE = BIG._replace(is_late=True)
CLOSED = BIG._replace(is_closed=True)

#: Groups with room, and their weights.
WEIGHTS = (
    ((BIG, SMALL), (40, 20)),
    ((BIG, SMALL, RoomOption('least', 0.5)), (40, 20, 0.5)),
    ((LATE, SMALL), (40 * LATE_WEIGHT, 20)),
    ((LATE, SMALL._replace(is_late=True)), (40, 20)),
    ((BIG, SMALL._replace(is_local=True)), (40, 20 * LOCAL_WEIGHT)),
    ((CLOSED, SMALL), (PROBE_PLACES, 20)),
    ((RoomOption('new', float('inf')), SMALL), (UNLIMITED_PLACES, 20)),
)


@pytest.mark.parametrize(('options', 'weights'), WEIGHTS)
def test_groups_are_weighed(
    options: tuple[RoomOption, ...], weights: tuple[float, ...]
) -> None:
    assert compute_weights(options) == pytest.approx(list(weights))


def test_streams_follow_the_free_room() -> None:
    """Entries that took the freest group would crowd it until it reports."""
    random = Random(1)
    drawn = Counter(choose_option((BIG, SMALL), random) for _ in range(DRAWS))
    assert drawn[BIG] / DRAWS == pytest.approx(2 / 3, abs=0.04)


@pytest.mark.parametrize('options', [(), (BIG,)])
def test_a_single_group_costs_no_draw(options: tuple[RoomOption, ...]) -> None:
    random = Random(1)
    before = random.getstate()
    assert choose_option(options, random) == next(iter(options), None)
    assert random.getstate() == before
