"""Tests of admission after a pause and during a partition."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from ospreyford.node.pauses import (
    CONFIRMATION_TIMEOUT_SECONDS,
    MIN_PAUSE_SECONDS,
    PauseGuard,
)
from tests.fakes.clock import FakeClock
from tests.fakes.stepping import Stepper


@dataclass
class State:
    stale: bool = True

    def is_stale(self) -> bool:
        return self.stale


@pytest.mark.parametrize('ticks_first', [False, True])
@pytest.mark.parametrize(
    ('slept', 'confirmed', 'later', 'unconfirmed'),
    [
        (MIN_PAUSE_SECONDS + 0.1, False, 0, True),
        (3600, False, CONFIRMATION_TIMEOUT_SECONDS - 1, True),
        (3600, True, 0, False),
        (3600, False, CONFIRMATION_TIMEOUT_SECONDS, False),
        (MIN_PAUSE_SECONDS - 0.1, False, 0, False),
    ],
)
def test_late_wake_holds_work_off_until_confirmed(
    ticks_first: bool,
    slept: float,
    confirmed: bool,
    later: float,
    unconfirmed: bool,
) -> None:
    """Guards against work admitted under an outdated configuration."""
    clock = FakeClock()
    state = State()
    guard = PauseGuard(clock, state)
    stepper = Stepper()
    ticking = stepper.spawn('tick', guard.run())
    clock.advance(slept)
    if ticks_first:
        stepper.resume(ticking)
    assert guard.is_unconfirmed() is (slept > MIN_PAUSE_SECONDS)
    state.stale = not confirmed
    for _ in range(int(later)):
        clock.advance(1)
        stepper.resume(ticking)
    assert guard.is_unconfirmed() is unconfirmed
    assert guard.pause_count == (slept > MIN_PAUSE_SECONDS)


def test_fresh_process_is_not_held_off_by_this_guard() -> None:
    assert not PauseGuard(FakeClock(), State()).is_unconfirmed()
