"""All hosts were lost and are back: who waits for the group to open."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio
import pytest

from ospreyford.direct.admission import LATE_CAPACITY_FRACTION, GroupLoad
from ospreyford.direct.gate import REFUSAL_PAUSE_SECONDS, StreamGate
from tests.direct.test_gate import make_call

if TYPE_CHECKING:
    from ospreyford.direct.call import Call

MAX_GAP = 0.12
#: Requests that the ranks run at once, and the entries that share them.
SLOTS = 96
ENTRIES = 3
CLOSED = GroupLoad(0, 0, 0, 0.029, is_open=False, epoch=1, slots=SLOTS)
OPEN = CLOSED._replace(is_open=True, epoch=2)
#: How long ago the callers of the outage have come, in seconds: all of them
#: have missed their objective.
WAITED = 0.9


@dataclass
class Crowd:
    """Callers at one entry, and what they were told."""

    gate: StreamGate
    admitted: int = 0
    refused: int = 0
    tasks: list[curio.Task] = field(default_factory=list)

    async def come(self, count: int, waited: float = WAITED) -> None:
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
    await crowd.come(callers)
    while_closed = crowd.refused
    await crowd.gate.update_load(OPEN, ENTRIES)
    await curio.sleep(0.01)
    return while_closed, crowd.admitted


def test_nobody_is_refused_whom_the_opening_group_can_serve() -> None:
    """88 callers were refused within a second with no stream running.

    Sequence: all hosts lose power and are back; callers with one try left wait
    for the group to open, and all of them are late. Cause: the bound of late
    callers was made from the streams that run, and counted those whose places
    were free.
    """
    while_closed, admitted = curio.run(replay_opening, 45)
    assert while_closed == 0
    assert admitted == int(LATE_CAPACITY_FRACTION * SLOTS / ENTRIES) + 1


def test_what_no_opening_can_serve_is_refused_at_once() -> None:
    while_closed, _ = curio.run(replay_opening, 200)
    assert while_closed > 100


async def replay_arrivals() -> tuple[int, int]:
    outage = Crowd(StreamGate(MAX_GAP, SLOTS, ENTRIES))
    await outage.gate.update_load(CLOSED, ENTRIES)
    await outage.come(45)
    await outage.gate.update_load(OPEN, ENTRIES)
    new = Crowd(outage.gate)
    await new.come(10, 0)
    return outage.admitted, new.admitted


def test_callers_of_an_outage_leave_room_for_new_ones() -> None:
    """Everybody who came in the two seconds after an outage was late.

    Sequence: a group opens, and the callers of the outage, all late already,
    take every place at once; a stream takes one to two seconds. Cause: they
    were admitted as long as there was room, and a new caller in time found
    none.
    """
    outage, new = curio.run(replay_arrivals)
    assert new == 10
    assert outage < SLOTS / ENTRIES


async def wait_for_news(epochs: list[tuple[bool, int]]) -> int:
    crowd = Crowd(StreamGate(MAX_GAP, SLOTS, ENTRIES))
    crowd.gate.record_refusal()
    await crowd.come(5)
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
def test_news_of_an_open_group_end_the_wait(
    epochs: list[tuple[bool, int]], admitted: int
) -> None:
    """Callers of an outage waited for up to 0.6 s at an open group.

    Sequence: ranks refuse while the group forms; single requests find out
    whether it is open again, each of them after a pause. Cause: what the
    coordinator told of the opening was not used.
    """
    assert curio.run(wait_for_news, epochs) == admitted


async def close_again() -> int:
    gate = StreamGate(MAX_GAP, SLOTS, ENTRIES)
    await gate.update_load(OPEN, ENTRIES)
    gate.record_refusal()
    crowd = Crowd(gate)
    await crowd.come(5)
    await gate.update_load(OPEN, ENTRIES)
    await curio.sleep(0.01)
    return crowd.admitted


def test_old_news_do_not_open_a_group_that_has_just_refused() -> None:
    assert curio.run(close_again) == 0
