from __future__ import annotations

from itertools import accumulate

from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.routing.counts import KEPT, Counts

STEPS = st.lists(st.integers(0, 3), max_size=2 * KEPT)


@settings(derandomize=True, deadline=None)
@given(steps=STEPS, asked=st.integers(0, KEPT - 1))
def test_counts_are_those_of_the_moment(steps: list[int], asked: int) -> None:
    """Load that others sent was hidden or counted twice.

    Symptom: a back end's load by its report is off by this entry's own
    requests. Sequence: many changes of the count, then a report measured
    before some of them. Cause: the count of another moment is taken off.
    """
    counts = Counts()
    moments = list(accumulate(steps))
    for place, moment in enumerate(moments):
        counts.note(place, moment)
    moment = [*reversed(moments), *[-1] * KEPT][asked]
    known = [place for place, at in enumerate(moments) if at <= moment]
    assert counts.count_at(moment) == max(known, default=0)
