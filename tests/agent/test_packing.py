"""Tests of packed answers."""

from __future__ import annotations

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.agent.execution import Execution
from ospreyford.ports.fleet import LoadReport
from ospreyford.wire.frame import Failed, Fate
from tests.agent.frames import make_start

LOAD = LoadReport(incarnation='i')
MAX_BYTES = 1_000_000
ANSWERS = st.lists(st.binary(max_size=9), max_size=12)


def run_to_end(pieces: list[bytes]) -> Execution:
    async def main() -> Execution:
        execution = Execution(make_start('x', 'a'), 0, frozenset())
        await execution.add_head(200, ((b'a', b'b'),))
        for piece in pieces:
            await execution.add_piece(piece)
        await execution.finish(LOAD, 1)
        return execution

    execution: Execution = curio.run(main)
    return execution


@settings(max_examples=60, derandomize=True, deadline=None)
@given(ANSWERS, st.integers(0, 15))
def test_a_kept_answer_goes_on_from_any_number(
    pieces: list[bytes], sequence: int
) -> None:
    # Guards against lost or duplicate tokens on resuming a packed answer.
    execution = run_to_end(pieces)
    before = execution.read_frames(sequence)
    for _ in range(2):
        execution.trim_answer(MAX_BYTES)
        assert execution.read_frames(sequence) == before
        assert execution.fate is None


def test_a_kept_answer_of_empty_pieces_is_whole() -> None:
    execution = run_to_end([b''] * 9)
    before = execution.read_frames(0)
    execution.trim_answer(MAX_BYTES)
    assert execution.read_frames(0) == before


@pytest.mark.parametrize('count', [1, 9])
def test_too_long_an_answer_is_dropped(count: int) -> None:
    execution = run_to_end([b'12'] * count)
    execution.trim_answer(2 * count)
    assert len(execution.read_frames(0)) == count + 2
    execution.trim_answer(2 * count - 1)
    dropped = Failed(execution='x', sequence=1, fate=Fate.answer_dropped)
    assert execution.read_frames(1) == [dropped]
