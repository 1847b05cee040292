"""Execution records of an agent, filled by the code that runs."""

from __future__ import annotations

import time

import curio

from ospreyford.agent.execution import Execution
from ospreyford.agent.executiontable import ExecutionTable
from ospreyford.agent.settings import RecordSettings
from ospreyford.measure.capacity_samples import answer, make_start
from ospreyford.measure.capacity_size import REPLICA_REQUESTS
from ospreyford.ports.clock import SystemClock

RECORD = RecordSettings()
AGE_SECONDS = 10
#: How long an agent remembers an idempotent execution that has ended.
HELD_SECONDS = RECORD.tombstone_seconds + 2 * RECORD.skew_seconds
#: Non-idempotent executions that an agent remembers.
RETAINED = round(
    REPLICA_REQUESTS * (RECORD.retention_seconds + 2 * RECORD.skew_seconds)
)


def make_executions(
    count: int, pieces: tuple[int, int], *, whole: bool
) -> ExecutionTable:
    """Make a record with executions and their answers.

    :param count: how many.
    :param pieces: pieces of each answer, and bytes of each.
    :param whole: whether they have ended.
    :returns: the record.
    """
    memory = ExecutionTable(RECORD, SystemClock())
    for _ in range(count):
        memory.add(_make_execution(pieces, whole=whole))
    return memory


def make_bare(count: int) -> ExecutionTable:
    """Make a record of executions whose answers were let go.

    :param count: how many.
    :returns: the record.
    """
    memory = ExecutionTable(RECORD, SystemClock())
    for _ in range(count):
        execution = _make_execution((1, 1), whole=True)
        execution.trim_answer(0)
        memory.add(execution)
    return memory


def make_tombstones(count: int) -> ExecutionTable:
    """Make a record of voided attempts.

    :param count: how many.
    :returns: the record.
    """
    memory = ExecutionTable(RECORD, SystemClock())
    for _ in range(count):
        start = make_start(idempotent=False)
        memory.add_tombstone(start.execution, start.attempt, moved=False)
    return memory


def _make_execution(pieces: tuple[int, int], *, whole: bool) -> Execution:
    # Old enough that answers no longer linger, young enough to be kept.
    begun = time.monotonic() - AGE_SECONDS
    start = make_start(idempotent=False)
    execution = Execution(start, begun, frozenset())
    curio.run(answer, execution, pieces, begun if whole else None)
    return execution
