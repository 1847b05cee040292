"""Tests that responses of racing attempts are never mixed."""

from __future__ import annotations

from typing import Any

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.entry.outcome import Abandoned
from ospreyford.entry.race import Race, RacingAttempt
from ospreyford.entry.sink import CallerDisconnected
from tests.faults.rig import CollectingSink

PIECES = 3
#: Head, chunks and end.
STEPS = PIECES + 2
#: Index of the attempt that relays at each step.
ORDERS = st.lists(st.sampled_from((0, 1)), max_size=2 * STEPS)
NAMES = (b'a', b'b')
#: Any use of it fails.
UNUSED: Any = None


async def relay_part(attempt: RacingAttempt, name: bytes, number: int) -> None:
    """Make an attempt relay the given part of its response."""
    match number:
        case 0:
            await attempt.begin(200 + NAMES.index(name), ())
        case _ if number <= PIECES:
            await attempt.relay(name)
        case _:
            await attempt.finish()


async def play_order(order: list[int]) -> CollectingSink:
    """Interleave two responses; each stops when it is told to."""
    sink = CollectingSink()
    race = Race(sink)
    attempts = [race.add_attempt(), race.add_attempt()]
    numbers = [0, 0]
    for turn in order:
        if numbers[turn] < STEPS:
            try:
                await relay_part(attempts[turn], NAMES[turn], numbers[turn])
            except CallerDisconnected:
                assert race.winner is attempts[1 - turn]
                assert attempts[turn].is_abandoned()
            numbers[turn] += 1
    return sink


@settings(max_examples=150, derandomize=True, deadline=None)
@given(order=ORDERS)
def test_caller_receives_one_response(order: list[int]) -> None:
    """Frames of the losing attempt must not reach the caller."""
    sink = curio.run(play_order, order)
    turns = [order.count(turn) for turn in order[:1]]
    if not turns:
        assert (sink.status, sink.body, sink.whole) == (0, b'', False)
        return
    winner = order[0]
    assert sink.status == 200 + winner
    assert sink.body == NAMES[winner] * min(turns[0] - 1, PIECES)
    assert sink.whole is (turns[0] >= STEPS)


async def skip_head(part: int) -> None:
    race = Race(CollectingSink())
    await relay_part(race.add_attempt(), NAMES[0], part)


@pytest.mark.parametrize('part', [1, STEPS - 1])
def test_response_without_head_is_not_relayed(part: int) -> None:
    """A broken agent may send a chunk or an end before the head."""
    with pytest.raises(CallerDisconnected):
        curio.run(skip_head, part)


async def start_late() -> None:
    race = Race(CollectingSink())
    first, second = race.add_attempt(), race.add_attempt()
    await first.begin(200, ())
    task = await curio.spawn(second.run, UNUSED, UNUSED, UNUSED)
    await task.join()
    assert second.outcome == Abandoned()


def test_attempt_started_after_the_win_sends_nothing() -> None:
    """A hedge task scheduled after the win must not send its request."""
    curio.run(start_late)


class FlushedSink(CollectingSink):
    """Counts flushes."""

    flushed = 0

    async def flush(self, timeout_seconds: float) -> bool:
        self.flushed += 1
        return True


async def flush_both(wins: int) -> list[int]:
    sink = FlushedSink()
    race = Race(sink)
    attempts = [race.add_attempt(), race.add_attempt()]
    await attempts[wins].begin(200, ())
    counts = []
    for attempt in attempts:
        sink.flushed = 0
        await attempt.flush(1)
        counts.append(sink.flushed)
    return counts


@pytest.mark.parametrize('wins', [0, 1])
def test_only_the_winner_flushes_the_caller(wins: int) -> None:
    """Two tasks must not write to one connection."""
    counts = curio.run(flush_both, wins)
    assert counts.pop(wins) == 1
    assert counts == [0]
