from __future__ import annotations

import pytest

from ospreyford.rebalance.loads import (
    Incarnation,
    QuantizedLoad,
    ShareTracker,
    sum_loads_by_set,
)

#: Expert picks of one decoding request in one pass.
DECODE_PICKS = (80, 40, 40, 0)
SHIFTED_DECODE_PICKS = (0, 40, 40, 80)
#: Expert picks of a prefill.
PREFILL_PICKS = (0, 0, 0, 4000)


class Rank:
    """A rank's cumulative counts and their tracker."""

    def __init__(self) -> None:
        self.counts = [0, 0, 0, 0]
        self.step = 0
        self.tracker = ShareTracker()
        self.tracker.record_counts(tuple(self.counts), Incarnation(1, 5), 0, 0)

    def run_pass(
        self, *picks: tuple[int, ...], decoding_requests: int = 1
    ) -> None:
        for one in picks:
            self.counts = [
                old + new for old, new in zip(self.counts, one, strict=True)
            ]
        self.step += 1
        self.tracker.record_counts(
            tuple(self.counts), Incarnation(1, 5), self.step, decoding_requests
        )


def test_prefill_is_weighted_as_one_request() -> None:
    """Guards against maps that fit prefill rather than decoding."""
    rank = Rank()
    for _ in range(5):
        rank.run_pass(*[DECODE_PICKS] * 4, decoding_requests=4)
    rank.run_pass(*[DECODE_PICKS] * 4, PREFILL_PICKS, decoding_requests=4)
    shares = rank.tracker.quantize(4)
    assert shares is not None
    loads = [shares.scale * count for count in shares.levels]
    assert 20 * loads[3] <= 21
    assert loads[0] > loads[3]


def test_demand_shift_is_visible_within_three_passes() -> None:
    rank = Rank()
    for _ in range(10):
        rank.run_pass(DECODE_PICKS)
    for _ in range(3):
        rank.run_pass(SHIFTED_DECODE_PICKS)
    shares = rank.tracker.quantize(1)
    assert shares is not None
    first, *_, last = shares.levels
    assert last > 2 * first


#: Counts, incarnation and step.
INCOMPARABLE_COUNTS = (
    ((1, 2, 3, 4), Incarnation(2, 5), 20),
    ((0, 0, 0, 1), Incarnation(1, 5), 20),
    ((1, 2), Incarnation(1, 5), 20),
    # The restarted rank has already exceeded its previous counts.
    ((81, 41, 41, 900), Incarnation(1, 6), 20),
)


@pytest.mark.parametrize(
    ('counts', 'incarnation', 'step'),
    INCOMPARABLE_COUNTS,
    ids=('new-epoch', 'counts-went-back', 'other-size', 'other-start'),
)
def test_counts_of_another_incarnation_are_discarded(
    counts: tuple[int, ...], incarnation: Incarnation, step: int
) -> None:
    rank = Rank()
    rank.run_pass(DECODE_PICKS)
    before = rank.tracker.quantize(1)
    rank.tracker.record_counts(counts, incarnation, step, 1)
    assert rank.tracker.quantize(1) == before


def test_loads_are_summed_by_set() -> None:
    parts = (
        QuantizedLoad(1, bytes((1, 2, 3, 4))),
        QuantizedLoad(0.5, bytes((2, 2, 2, 2))),
    )
    assert sum_loads_by_set(parts, 2) == [[2, 3], [4, 5]]
    assert not sum_loads_by_set((), 2)
