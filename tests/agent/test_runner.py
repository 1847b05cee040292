"""Tests of the runner's cleanup of ended executions."""

from __future__ import annotations

import curio
import pytest

from ospreyford.agent.execution import Execution
from ospreyford.agent.record import ExecutionRecord
from tests.faults.rig import Rig, make_call, send


async def _find_task(record: ExecutionRecord, execution_id: str) -> object:
    execution = record.table.find(execution_id)
    assert isinstance(execution, Execution)
    for _ in range(100):
        if execution.task is None:
            break
        await curio.sleep(0.01)
    return execution.task


@pytest.mark.parametrize('refuse', [False, True])
def test_record_releases_ended_tasks(refuse: bool) -> None:
    # Retained tasks would increase memory use and garbage collection pauses.
    async def run() -> None:
        async with Rig([]) as rig:
            agent = rig.agents[0]
            agent.backend.refuse = refuse
            call = make_call(b'a', idempotent=False)
            await send(rig, rig.make_entry(), call)
            record = agent.record
            assert record is not None
            assert await _find_task(record, call.request_id) is None

    curio.run(run)
