"""Admission while a group is closed and when it reopens."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio
import pytest

from ospreyford.direct.admission import LATE_CAPACITY_FRACTION, GroupLoad
from ospreyford.direct.gate import StreamGate
from ospreyford.direct.grouproom import REFUSAL_PAUSE_SECONDS
from tests.direct.backends import get_room
from tests.direct.test_gate import make_call

if TYPE_CHECKING:
    from ospreyford.direct.call import Call

MAX_GAP = 0.12
#: Slots of all ranks, and the entries that share them.
SLOTS = 96
ENTRIES = 3
CLOSED = GroupLoad(0, 0, 0, 0.029, is_open=False, epoch=1, slots=SLOTS)
OPEN = CLOSED._replace(is_open=True, epoch=2)
#: Time in seconds that callers have waited: all missed their objective.
WAITED = 0.9


@dataclass
class Crowd:
    """Callers of one entry and the decisions on them."""

    gate: StreamGate
    admitted: int = 0
    refused: int = 0
    tasks: list[curio.Task] = field(default_factory=list)

    async def add_callers(self, count: int, waited: float = WAITED) -> None:
        for _ in range(count):
            call = make_call()
            call.started_at -= waited
            self.tasks.append(await curio.spawn(self._enter, call, daemon=True))
        await curio.sleep(0.01)

    async def _enter(self, call: Call) -> None:
        if await self.gate.acquire(call):
            self.admitted += 1
        else:
            self.refused += 1


async def replay_opening(callers: int) -> tuple[int, int]:
    crowd = Crowd(StreamGate(MAX_GAP, SLOTS, ENTRIES))
    await crowd.gate.update_load(CLOSED, ENTRIES)
    await crowd.add_callers(callers)
    while_closed = crowd.refused
    await crowd.gate.update_load(OPEN, ENTRIES)
    await curio.sleep(0.01)
    return while_closed, crowd.admitted


def test_requests_that_fit_the_reopened_group_are_not_refused() -> None:
    """Free slots of a reopened group must go to late callers."""
    while_closed, admitted = curio.run(replay_opening, 45)
    assert while_closed == 0
    assert admitted == int(LATE_CAPACITY_FRACTION * SLOTS / ENTRIES) + 1


def test_requests_beyond_the_capacity_are_refused_at_once() -> None:
    while_closed, _ = curio.run(replay_opening, 200)
    assert while_closed > 100


async def replay_arrivals() -> tuple[int, int]:
    outage = Crowd(StreamGate(MAX_GAP, SLOTS, ENTRIES))
    await outage.gate.update_load(CLOSED, ENTRIES)
    await outage.add_callers(45)
    await outage.gate.update_load(OPEN, ENTRIES)
    new = Crowd(outage.gate)
    await new.add_callers(10, 0)
    return outage.admitted, new.admitted


def test_late_callers_leave_capacity_for_new_ones() -> None:
    """Late callers of an outage must not take every slot on reopening."""
    outage, new = curio.run(replay_arrivals)
    assert new == 10
    assert outage < SLOTS / ENTRIES


async def wait_for_report(epochs: list[tuple[bool, int]]) -> int:
    crowd = Crowd(StreamGate(MAX_GAP, SLOTS, ENTRIES))
    get_room(crowd.gate).record_refusal()
    await crowd.add_callers(5)
    for is_open, epoch in epochs:
        reported = OPEN._replace(is_open=is_open, epoch=epoch)
        await crowd.gate.update_load(reported, ENTRIES)
    await curio.sleep(REFUSAL_PAUSE_SECONDS / 4)
    return crowd.admitted


@pytest.mark.parametrize(
    ('epochs', 'admitted'),
    [
        ([(True, 2)], 5),
        ([(False, 1), (True, 2)], 5),
        ([(False, 1)], 0),
        ([(False, 1), (False, 1)], 0),
    ],
)
def test_a_report_of_an_open_group_ends_the_wait(
    epochs: list[tuple[bool, int]], admitted: int
) -> None:
    """A report of the reopened group must end the wait at once."""
    assert curio.run(wait_for_report, epochs) == admitted


async def close_again() -> int:
    gate = StreamGate(MAX_GAP, SLOTS, ENTRIES)
    await gate.update_load(OPEN, ENTRIES)
    get_room(gate).record_refusal()
    crowd = Crowd(gate)
    await crowd.add_callers(5)
    await gate.update_load(OPEN, ENTRIES)
    await curio.sleep(0.01)
    return crowd.admitted


def test_a_stale_report_does_not_reopen_a_group() -> None:
    assert curio.run(close_again) == 0
