from __future__ import annotations

from itertools import accumulate

from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.routing.history import MIN_CHANGES_KEPT, InFlightHistory

STEPS = st.lists(st.integers(0, 3), max_size=2 * MIN_CHANGES_KEPT)


@settings(derandomize=True, deadline=None)
@given(steps=STEPS, asked=st.integers(0, MIN_CHANGES_KEPT - 1))
def test_counts_are_those_of_the_moment(steps: list[int], asked: int) -> None:
    """Load that others sent was hidden or counted twice.

    Symptom: a backend's load by its report is off by this entry's own
    requests. Sequence: many changes of the count, then a report measured
    before some of them. Cause: the count of another moment is taken off.
    """
    counts = InFlightHistory()
    moments = list(accumulate(steps))
    for place, moment in enumerate(moments):
        counts.record(place, moment)
    moment = [*reversed(moments), *[-1] * MIN_CHANGES_KEPT][asked]
    known = [place for place, at in enumerate(moments) if at <= moment]
    assert counts.get_count(moment) == max(known, default=0)
