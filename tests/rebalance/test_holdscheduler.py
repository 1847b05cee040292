"""Selection of the held pass under lost orders."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import curio
import pytest

from ospreyford.rebalance.group import RankState
from ospreyford.rebalance.holdscheduler import (
    HOLD_MARGIN_SECONDS,
    MAX_PASSES_AHEAD,
    HoldScheduler,
)
from ospreyford.rebalance.participant import RankParticipant
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import make_state

PASS_SECONDS = 0.055
MAX_GAP_SECONDS = 0.12


@pytest.mark.parametrize(
    ('pass_seconds', 'armings', 'ahead'),
    [
        (0, (0.02,), 1),
        (PASS_SECONDS, (), 1),
        (PASS_SECONDS, (0.02,), 1),
        (PASS_SECONDS, (0.02, 0.15, 0.02), 3),
        # Older armings are forgotten.
        (PASS_SECONDS, (0.15, 0.02, 0.02, 0.02, 0.02), 1),
        (0.02, (0.02,), 2),
        (0.001, (5,), MAX_PASSES_AHEAD),
    ],
)
def test_arming_ends_before_the_held_pass(
    pass_seconds: float, armings: tuple[float, ...], ahead: int
) -> None:
    scheduler = HoldScheduler()
    scheduler.pass_seconds = pass_seconds
    for one in armings:
        scheduler.record_arming(one)
    assert scheduler.select_passes_ahead() == ahead


def draw_arming_seconds(random: Random, lost: float) -> float:
    """Draw the time to arm fourteen ranks, then one, then the coordinator's.

    An unanswered order is sent again after 25 ms.
    """
    seconds = 0.0
    for ranks in (14, 1, 1):
        tries = [0 for _ in range(ranks)]
        for rank in range(ranks):
            while random.random() < lost:
                tries[rank] += 1
        seconds += 0.006 + 0.025 * max(tries)
    return seconds


def count_late_changes(scheduler: HoldScheduler | None, lost: float) -> int:
    """Count the changes, of 200, whose held pass exceeds the longest gap."""
    random = Random(3)
    late = 0
    for _ in range(200):
        arming = draw_arming_seconds(random, lost)
        if scheduler is None:
            ahead, offset = 1, random.random() * PASS_SECONDS
        else:
            scheduler.pass_seconds = PASS_SECONDS
            ahead, offset = scheduler.select_passes_ahead(), HOLD_MARGIN_SECONDS
            scheduler.record_arming(arming)
        stall = max(offset + arming - ahead * PASS_SECONDS, 0)
        late += PASS_SECONDS + stall > MAX_GAP_SECONDS
    return late


def test_changes_do_not_stall_passes_while_orders_are_lost() -> None:
    """Guards against holds that stall all streams while arming is slow."""
    assert 10 * count_late_changes(HoldScheduler(), 0.35) < count_late_changes(
        None, 0.35
    )
    assert count_late_changes(HoldScheduler(), 0) == 0


@dataclass
class MovingClock(FakeClock):
    """Clock that advances while sleeping."""

    async def sleep(self, seconds: float) -> None:
        self.advance(seconds)


class FakeEngine:
    """Rank in which a pass begins at the fourth poll."""

    def __init__(self, *, is_idle: bool) -> None:
        self.polls = 0
        self._is_idle = is_idle

    async def read_state(self) -> RankState | None:
        self.polls += 1
        begun = self.polls > 3 and not self._is_idle
        return make_state(0)._replace(step=8 if begun else 7)


@pytest.mark.parametrize(
    ('is_idle', 'step', 'looks'), [(False, 8, 4), (True, 7, 20)]
)
def test_a_hold_is_ordered_as_a_pass_begins(
    step: int, looks: int, *, is_idle: bool
) -> None:
    """Guards against holds that are rejected since their pass has begun."""
    engine = FakeEngine(is_idle=is_idle)
    member = RankParticipant(engine, MovingClock())  # type: ignore[arg-type]
    state = curio.run(member.wait_for_pass, 0.05)
    assert state is not None
    assert state.step == step
    assert engine.polls <= looks
