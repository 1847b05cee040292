"""Answers of backends that never end, at an agent."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Any

import curio
import pytest

from ospreyford.agent.execution import Execution
from ospreyford.agent.load import LoadMeter
from ospreyford.agent.record import Begun, ExecutionRecord
from ospreyford.agent.runner import Runner
from ospreyford.agent.settings import RecordSettings, ServiceSettings
from ospreyford.http.message import Request, Response
from ospreyford.ports.clock import SystemClock
from ospreyford.wire.frame import End, Failed, Fate, Head, Piece
from tests.agent.frames import INCARNATION, make_start
from tests.faults.rig import TRACER

LIMIT = 100_000


class Backend:
    """Sends as many pieces as the request's target says.

    Stands for one call and for its backend.
    """

    def __init__(self) -> None:
        self.whole: list[bool] = []
        self._target = ''

    async def open(self, *, reuse: bool) -> Backend:
        opened = Backend()
        opened.whole = self.whole
        return opened

    async def send(self, request: Request, body: bytes) -> None:
        self._target = request.target

    async def read_head(self) -> Response:
        return Response(200, ())

    async def read_pieces(self) -> AsyncGenerator[bytes, None]:
        for _ in range(int(self._target)):
            await curio.sleep(0.001)
            yield bytes(1000)

    async def finish(self, *, whole: bool) -> None:
        self.whole.append(whole)


Ran = tuple[list[Execution], ExecutionRecord, Backend]


async def run(*targets: str) -> Ran:
    """Run executions until all of them have ended."""
    clock = SystemClock()
    settings = RecordSettings(max_running_bytes=LIMIT)
    record = ExecutionRecord(settings, INCARNATION, clock)
    backend = Backend()
    fake: Any = backend
    meter = LoadMeter(record, fake, clock)
    runner = Runner(ServiceSettings(), record, fake, meter, clock, TRACER)
    executions = []
    for number, target in enumerate(targets):
        start = make_start(
            f'e{number}',
            'a',
            target=target,
            idempotent=True,
            expires=int((clock.wall() + 30) * 1000),
        )
        begun = record.start(start)
        assert isinstance(begun, Begun)
        executions.append(begun.execution)
        await runner.launch(begun.execution, start)
    for execution in executions:
        task = execution.task
        if task is not None:
            await task.wait()
    return executions, record, backend


@pytest.mark.parametrize('others', [0, 3])
def test_answer_without_end_leaves_the_others_their_memory(
    others: int,
) -> None:
    """An answer without end took all memory of an agent."""
    targets = ['1000000', *(['10'] * others)]
    executions, record, backend = curio.run(run, *targets)
    endless, *sound = executions
    failed = endless.read_frames(3)
    assert [type(frame) for frame in failed] == [Failed]
    assert endless.fate is Fate.answer_dropped
    for execution in sound:
        frames = [type(frame) for frame in execution.read_frames(0)]
        assert frames == [Head, *([Piece] * 10), End]
    assert sorted(backend.whole) == [False, *([True] * others)]
    assert not record.memory.size


def test_largest_answer_is_dropped_for_another() -> None:
    """Answers that each had room exceeded the memory together."""
    executions, record, backend = curio.run(run, '75', '60')
    fates = [execution.fate for execution in executions]
    assert fates == [Fate.answer_dropped, None]
    assert sorted(backend.whole) == [False, True]
    assert not record.memory.size
