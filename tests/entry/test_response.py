"""Tests of response frames, refusals, failures and problem documents."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest

from ospreyford.entry.classification import (
    AttemptProgress,
    classify_failure,
    classify_refusal,
)
from ospreyford.entry.outcome import (
    Answered,
    Cause,
    Cut,
    Moved,
    NotRun,
    Unknown,
)
from ospreyford.entry.problem import (
    CALLER_ERROR_STATUSES,
    make_problem_response,
)
from ospreyford.entry.response import IncomingResponse, Interrupted
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import LoadReport
from ospreyford.wire.frame import (
    Beat,
    Cancel,
    End,
    Failed,
    Fate,
    Frame,
    Head,
    Opened,
    Piece,
    Refusal,
    Refused,
)
from tests.faults.rig import CollectingSink

NOT_OPENED = AttemptProgress(opened=False, response_started=False)
OPENED = AttemptProgress(opened=True, response_started=False)
STARTED = AttemptProgress(opened=True, response_started=True)
LOAD = LoadReport(incarnation='i')
NOT_RUN_REASONS = frozenset(
    'draining record-full expired key-from-future key-reused voided'.split()
)


def make_refused(reason: Refusal) -> Refused:
    return Refused(
        execution='e', incarnation='i', reason=reason, retry_after=3, load=LOAD
    )


@pytest.mark.parametrize('reason', Refusal)
@pytest.mark.parametrize('progress', [NOT_OPENED, OPENED, STARTED])
def test_refusal_is_classified_conservatively(
    reason: Refusal, progress: AttemptProgress
) -> None:
    """A refusal after Opened must not be classified as "not run"."""
    outcome = classify_refusal(make_refused(reason), progress)
    if reason is Refusal.moved:
        assert outcome == Moved()
    elif progress.response_started:
        assert isinstance(outcome, Cut)
    elif reason in NOT_RUN_REASONS and not progress.opened:
        assert isinstance(outcome, NotRun)
    else:
        assert isinstance(outcome, Unknown)


@pytest.mark.parametrize(
    ('fate', 'progress', 'kind'),
    [
        (Fate.not_run, NOT_OPENED, NotRun),
        (Fate.not_run, OPENED, NotRun),
        (Fate.unknown, OPENED, Unknown),
        (Fate.unknown, STARTED, Cut),
        (Fate.answer_dropped, OPENED, Unknown),
        (Fate.answer_dropped, STARTED, Cut),
    ],
)
def test_failure_is_classified_conservatively(
    fate: Fate, progress: AttemptProgress, kind: type[Any]
) -> None:
    failed = Failed(execution='e', sequence=0, fate=fate)
    assert isinstance(classify_failure(failed, progress), kind)


@pytest.mark.parametrize('cause', Cause)
@pytest.mark.parametrize('wait', [0, 0.2, 7])
def test_each_cause_has_a_problem(cause: Cause, wait: float) -> None:
    for outcome in (NotRun(cause, wait), Unknown(cause, wait)):
        problem = make_problem_response(outcome, 'id')
        members = msgspec.json.decode(problem.body)
        headers = dict(problem.headers)
        assert members['status'] == problem.status
        assert 400 <= problem.status <= 504
        assert (problem.status < 429) is (cause in CALLER_ERROR_STATUSES)
        told = headers.get(b'retry-after')
        if cause in CALLER_ERROR_STATUSES:
            assert (told, members['retry_after']) == (None, None)
        else:
            assert members['retry_after'] == max(1, int(wait))
            assert told == str(members['retry_after']).encode()


def make_head(sequence: int = 0, execution: str = 'e') -> Frame:
    return Head(execution=execution, sequence=sequence, status=200, headers=())


def make_piece(
    sequence: int, content: bytes = b'p', execution: str = 'e'
) -> Frame:
    return Piece(execution=execution, sequence=sequence, content=content)


def make_end(sequence: int) -> Frame:
    return End(execution='e', sequence=sequence, load=LOAD)


OPEN = Opened(execution='e', incarnation='i', load=LOAD)
COMPLETE = (OPEN, make_head(), make_piece(1), make_end(2))
WITH_DUPLICATE = (*COMPLETE[:3], make_piece(1, b'q'), make_end(2))


@pytest.mark.parametrize(
    ('frames', 'last', 'body'),
    [
        (COMPLETE, Answered(), b'p'),
        (WITH_DUPLICATE, Answered(), b'p'),
        (
            [make_head(), make_head(), Beat(execution='x'), make_piece(1)],
            None,
            b'p',
        ),
        ([make_head(), make_piece(2)], Interrupted(), b''),
        ([make_head(), make_end(2)], Interrupted(), b''),
        ([make_head(), make_piece(1, b'q', 'other')], Interrupted(), b''),
        ([make_head(0, 'other')], Interrupted(), b''),
        ([OPEN, Cancel(execution='e')], Interrupted(), b''),
    ],
)
def test_frames_are_relayed_in_order(
    frames: Any, last: object, body: bytes
) -> None:
    """Duplicated, missing and foreign frames must not be relayed."""
    sink = CollectingSink()

    async def main() -> object:
        response = IncomingResponse('e', sink, SystemClock())
        step = None
        for frame in frames:
            step = await response.handle_frame(frame)
        return step

    assert curio.run(main) == last
    assert sink.body == body
    assert sink.whole is (last == Answered())
