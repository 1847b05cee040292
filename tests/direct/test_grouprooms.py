"""Streams of a service with several groups of unequal size."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from types import MappingProxyType
from typing import NamedTuple

import curio
import pytest

from ospreyford.direct.admission import GroupLoad
from ospreyford.direct.gate import (
    BUSY_RETRY_AFTER_SECONDS,
    CLOSED_RETRY_AFTER_SECONDS,
    StreamGate,
)
from ospreyford.direct.grouproom import GroupBackends, GroupRoom
from ospreyford.direct.grouprooms import GroupRooms
from tests.direct.test_gate import MAX_GAP, make_call

BIG, SMALL, LEAST = (
    GroupBackends(8, 40),
    GroupBackends(4, 20),
    GroupBackends(1, 5),
)
OPEN = GroupLoad(0, 0, 0, 0.018, epoch=1)
BROKEN = OPEN._replace(is_open=False)
FORMED = OPEN._replace(epoch=2)
#: More than all groups have room for.
CROWD = 80


class Case(NamedTuple):
    """Groups with their reports in turn, and the streams admitted to each."""

    groups: Mapping[str, GroupBackends]
    reports: tuple[tuple[str, GroupLoad], ...]
    admitted: dict[str, int]
    retry_after: float = BUSY_RETRY_AFTER_SECONDS


TWO = MappingProxyType({'big': BIG, 'small': SMALL})
CASES = MappingProxyType(
    {
        'one': Case({'big': BIG}, (('big', OPEN),), {'big': 40}),
        'two': Case(
            TWO, (('big', OPEN), ('small', OPEN)), {'big': 40, 'small': 20}
        ),
        'three': Case(
            {**TWO, 'least': LEAST},
            (('big', OPEN), ('least', OPEN)),
            {'big': 40, 'small': 20, 'least': 5},
        ),
        'unassigned': Case(
            {**TWO, '': LEAST}, (), {'big': 40, 'small': 20, '': 5}
        ),
        'broken': Case(TWO, (('small', OPEN), ('big', BROKEN)), {'small': 20}),
        'formed': Case(
            TWO, (('big', BROKEN), ('big', FORMED)), {'big': 40, 'small': 20}
        ),
        'stale': Case(TWO, (('big', BROKEN), ('big', OPEN)), {'small': 20}),
        'both': Case(
            TWO,
            (('small', BROKEN), ('big', BROKEN)),
            {},
            CLOSED_RETRY_AFTER_SECONDS,
        ),
        'away': Case(
            {'small': SMALL}, (('big', OPEN), ('small', OPEN)), {'small': 20}
        ),
        'unknown': Case(TWO, (('other', BROKEN),), {'big': 40, 'small': 20}),
    }
)


async def make_gate(
    groups: Mapping[str, GroupBackends],
    reports: tuple[tuple[str, GroupLoad], ...] = (),
) -> StreamGate:
    gate = StreamGate(MAX_GAP, random=Random(1))
    gate.rooms.update_backends(groups, 1)
    for name, load in reports:
        slots = groups.get(name, BIG).slots
        await gate.update_load(load._replace(slots=slots), 1, name)
    return gate


async def crowd_groups(case: Case) -> tuple[dict[str, int], float]:
    gate = await make_gate(case.groups, case.reports)
    for _ in range(CROWD):
        await curio.spawn(gate.acquire, make_call(), daemon=True)
    await curio.sleep(0.01)
    rooms = gate.rooms.list_all()
    running = {room.name: room.running for room in rooms if room.running}
    return running, gate.compute_retry_after()


@pytest.mark.parametrize('name', CASES)
def test_each_group_is_filled_to_its_own_limit(name: str) -> None:
    """A broken group must not keep the others from taking streams."""
    case = CASES[name]
    admitted, retry_after = curio.run(crowd_groups, case)
    assert admitted == case.admitted
    assert retry_after == case.retry_after


async def restrict(allowed: frozenset[str]) -> list[str]:
    gate = await make_gate(TWO, (('big', BROKEN),))
    calls = [make_call(), make_call()]
    await curio.spawn(gate.acquire, calls[0], allowed, daemon=True)
    await curio.sleep(0.01)
    await curio.spawn(gate.acquire, calls[1], daemon=True)
    await curio.sleep(0.01)
    return [call.room.name if call.room else '' for call in calls]


#: Groups that may run the first of two streams while the big one is broken,
#: and where both run; names of groups that are gone restrict nothing.
RESTRICTED = (
    (frozenset(('big',)), ['', 'small']),
    (frozenset(('small',)), ['small', 'small']),
    (frozenset(('big', 'small')), ['small', 'small']),
    (frozenset(('gone',)), ['small', 'small']),
)


@pytest.mark.parametrize(('allowed', 'rooms'), RESTRICTED)
def test_a_stream_bound_to_a_group_holds_up_no_other(
    allowed: frozenset[str], rooms: list[str]
) -> None:
    """With its attempts used up, it must not take a place elsewhere."""
    assert curio.run(restrict, allowed) == rooms


async def learn_groups(
    *steps: Mapping[str, GroupBackends],
) -> tuple[StreamGate, GroupRoom]:
    """Run a stream, learn groups in turn, and return its room."""
    gate = await make_gate({'': BIG})
    call = make_call()
    await gate.acquire(call)
    assert call.room is not None
    for groups in steps:
        gate.rooms.update_backends(groups, 1)
    return gate, call.room


def test_the_only_group_takes_over_what_runs() -> None:
    """Streams that aren't counted would be admitted twice."""
    gate, room = curio.run(learn_groups, {'g': BIG})
    assert (room.name, room.running, gate.running) == ('g', 1, 1)
    assert gate.rooms.list_all() == [room]


async def end_unassigned() -> list[list[str]]:
    gate, room = await learn_groups(TWO)
    names = [sorted(one.name for one in gate.rooms.list_all())]
    room.leave(make_call().get_priority())
    gate.rooms.update_backends(TWO, 1)
    return [*names, sorted(one.name for one in gate.rooms.list_all())]


def test_a_room_without_backends_lasts_for_its_streams() -> None:
    assert curio.run(end_unassigned) == [
        ['', 'big', 'small'],
        ['big', 'small'],
    ]


async def fill_in_turn() -> int:
    gate = await make_gate(TWO)
    for _ in range(30):
        await gate.acquire(make_call())
    big = gate.rooms.find('big')
    return big.running if big else 0


def test_groups_fill_evenly() -> None:
    """A group that is given more than its part makes its streams late."""
    assert curio.run(fill_in_turn) == pytest.approx(20, abs=4)


def test_a_group_that_is_not_known_any_more_keeps_its_room() -> None:
    """Backends that all come back would get every waiting stream at once."""
    rooms = GroupRooms(0.12, 60, 1)
    rooms.update_backends({'g': BIG}, 1)
    room = rooms.find('g')
    assert room is not None
    room.record_refusal()
    rooms.update_backends({'': BIG}, 1)
    assert rooms.list_all() == [room]
    assert room.is_closed
    rooms.update_backends({'g': BIG}, 1)
    assert rooms.find('g') is room
