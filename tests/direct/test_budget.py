"""The retry budget of all entries while they start, stop, freeze and leave."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.direct.retryfleet import Fleet

#: The day's end, in seconds; each entry has run for long before the faults.
END_SECONDS = 120.0
FAULTS_FROM_SECONDS = 40.0


def restart_all(fleet: Fleet) -> None:
    """Kill all entries at 2, 6 and 10 s of a failure."""
    for at in (2, 6, 10):
        fleet.run_until(FAULTS_FROM_SECONDS + at)
        for name in list(fleet.entries):
            fleet.start(name)


def restart_in_turn(fleet: Fleet) -> None:
    """Restart each entry, one after the other."""
    for number, name in enumerate(list(fleet.entries)):
        fleet.run_until(FAULTS_FROM_SECONDS + 2 + 1.3 * number)
        fleet.start(name)


def restart_one_often(fleet: Fleet) -> None:
    """Restart one entry again and again."""
    for number in range(20):
        fleet.run_until(FAULTS_FROM_SECONDS + number)
        fleet.start('host-0')


def replace_in_turn(fleet: Fleet) -> None:
    """Replace each host by a new one, one after the other."""
    for number, name in enumerate(list(fleet.entries)):
        fleet.run_until(FAULTS_FROM_SECONDS + 2 + 3 * number)
        fleet.entries.pop(name)
        fleet.add(1)


def lose_half(fleet: Fleet) -> None:
    """Lose hosts for good; the others must not take their part at once."""
    fleet.run_until(FAULTS_FROM_SECONDS + 2)
    for name in list(fleet.entries)[::2]:
        fleet.entries.pop(name)


def lose_all_but_one(fleet: Fleet) -> None:
    """Lose one host after the other for good."""
    for name in list(fleet.entries)[1:]:
        fleet.run_until(fleet.now + 0.5)
        fleet.entries.pop(name)


def freeze_half(fleet: Fleet) -> None:
    """Freeze hosts for longer than agents remember them."""
    fleet.run_until(FAULTS_FROM_SECONDS - 6)
    for entry in list(fleet.entries.values())[::2]:
        entry.frozen_until = FAULTS_FROM_SECONDS + 3


def freeze_half_for_long(fleet: Fleet) -> None:
    """Freeze hosts until the others have taken their part over."""
    for entry in list(fleet.entries.values())[::2]:
        entry.frozen_until = END_SECONDS - 10


def cut_off_half(fleet: Fleet) -> None:
    """Cut hosts off from the agents while callers still reach them."""
    fleet.run_until(FAULTS_FROM_SECONDS - 6)
    for entry in list(fleet.entries.values())[::2]:
        entry.cut_until = FAULTS_FROM_SECONDS + 20


def cut_off_one_for_long(fleet: Fleet) -> None:
    """Cut a host off until the others have taken its part over."""
    next(iter(fleet.entries.values())).cut_until = END_SECONDS


def cut_off_half_and_add(fleet: Fleet) -> None:
    """Add as many hosts as there are while half of these hear no agent."""
    fleet.run_until(FAULTS_FROM_SECONDS - 20)
    for entry in list(fleet.entries.values())[::2]:
        entry.cut_until = FAULTS_FROM_SECONDS + 20
    fleet.add(fleet.size)


def add_as_many(fleet: Fleet) -> None:
    """Add as many hosts as there are just after a burst."""
    fleet.run_until(FAULTS_FROM_SECONDS + 2)
    fleet.add(fleet.size)


def miscount(fleet: Fleet) -> None:
    """Let a new coordinator hear of one entry only."""
    fleet.run_until(FAULTS_FROM_SECONDS + 2)
    fleet.miscounts_until = fleet.now + 3


FAULTS = (
    restart_all,
    restart_in_turn,
    restart_one_often,
    replace_in_turn,
    lose_half,
    lose_all_but_one,
    freeze_half,
    freeze_half_for_long,
    cut_off_half,
    cut_off_one_for_long,
    cut_off_half_and_add,
    add_as_many,
    miscount,
)


@pytest.mark.parametrize('cause_fault', FAULTS)
@pytest.mark.parametrize('size', (1, 3, 6, 35))
@pytest.mark.parametrize('rate', (1, 20))
def test_faults_of_entries_do_not_renew_the_retry_budget(
    cause_fault: Callable[[Fleet], None], size: int, rate: float
) -> None:
    """An entry that starts, wakes or miscounts must not spend it anew."""
    fleet = Fleet(size, rate, FAULTS_FROM_SECONDS)
    cause_fault(fleet)
    fleet.run_until(END_SECONDS)
    assert fleet.retries
    assert fleet.compute_excess() <= 0


def restart(fleet: Fleet, name: str, _seconds: float) -> None:
    """Restart an entry."""
    fleet.start(name)


def lose(fleet: Fleet, name: str, _seconds: float) -> None:
    """Lose a host for good."""
    fleet.entries.pop(name)


def freeze(fleet: Fleet, name: str, seconds: float) -> None:
    """Freeze a host."""
    fleet.entries[name].frozen_until = fleet.now + seconds


def cut_off(fleet: Fleet, name: str, seconds: float) -> None:
    """Cut a host off from the agents."""
    fleet.entries[name].cut_until = fleet.now + seconds


def add(fleet: Fleet, _name: str, _seconds: float) -> None:
    """Add a host."""
    fleet.add(1)


def miscount_for(fleet: Fleet, _name: str, seconds: float) -> None:
    """Let a new coordinator hear of one entry only."""
    fleet.miscounts_until = fleet.now + min(seconds, 3)


#: What happens, to which host, after and for how many seconds.
Event = tuple[Callable[[Fleet, str, float], None], int, float, float]
EVENTS = st.lists(
    st.tuples(
        st.sampled_from((restart, lose, freeze, cut_off, add, miscount_for)),
        st.integers(0, 20),
        st.floats(0.2, 12),
        st.floats(1, 30),
    ),
    min_size=1,
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(EVENTS, st.integers(1, 8), st.sampled_from((1, 20)))
def test_no_series_of_faults_renews_the_retry_budget(
    events: list[Event],
    size: int,
    rate: float,
) -> None:
    """Faults that follow each other must not add up their parts."""
    fleet = Fleet(size, rate, FAULTS_FROM_SECONDS)
    fleet.run_until(FAULTS_FROM_SECONDS - 15)
    for cause_fault, index, after, seconds in events:
        fleet.run_until(fleet.now + after)
        names = sorted(fleet.entries)
        if names:
            cause_fault(fleet, names[index % len(names)], seconds)
    fleet.run_until(max(fleet.now, FAULTS_FROM_SECONDS) + 30)
    assert not fleet.retries or fleet.compute_excess() <= 0
