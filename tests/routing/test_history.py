from __future__ import annotations

from itertools import accumulate

from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.routing.history import MIN_CHANGES_KEPT, InFlightHistory

STEPS = st.lists(st.integers(0, 3), max_size=2 * MIN_CHANGES_KEPT)


@settings(derandomize=True, deadline=None)
@given(steps=STEPS, asked=st.integers(0, MIN_CHANGES_KEPT - 1))
def test_counts_are_those_of_the_moment(steps: list[int], asked: int) -> None:
    """Guards against subtracting the in-flight count of another time."""
    history = InFlightHistory()
    times = list(accumulate(steps))
    for index, moment in enumerate(times):
        history.record(index, moment)
    moment = [*reversed(times), *[-1] * MIN_CHANGES_KEPT][asked]
    known = [index for index, at in enumerate(times) if at <= moment]
    assert history.get_count(moment) == max(known, default=0)
