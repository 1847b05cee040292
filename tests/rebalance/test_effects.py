"""State of a rank after an order that it has answered."""

from __future__ import annotations

import pytest

from ospreyford.rebalance.effects import compute_state_after
from ospreyford.rebalance.group import (
    Arm,
    Armed,
    Disarm,
    Go,
    Hold,
    Order,
    RankState,
)
from tests.rebalance.test_ranks import make_state

ARMED = make_state()._replace(armed=Armed(9, 50))
HELD = make_state()._replace(held=50)


@pytest.mark.parametrize(
    ('before', 'order', 'armed', 'held'),
    [
        (make_state(), Hold(50), None, 50),
        (make_state(), Arm(9, 50), Armed(9, 50), None),
        (HELD, Go(50), None, None),
        (ARMED, Disarm(9, None), None, None),
        # Orders of another change have no effect.
        (HELD, Go(49), None, 50),
        (ARMED, Disarm(8, None), Armed(9, 50), None),
    ],
)
def test_order_changes_only_its_fields(
    before: RankState, order: Order, armed: Armed | None, held: int | None
) -> None:
    after = compute_state_after(before, order, is_accepted=True)
    assert (after.armed, after.held) == (armed, held)
    assert after.sequence == before.sequence + 1
    assert (
        compute_state_after(before, order, is_accepted=False).sequence
        == before.sequence
    )
