"""Admission gate: closed groups, cancelled callers and released slots."""

from __future__ import annotations

import operator
import time
from functools import partial

import curio
import pytest

from ospreyford.direct.admission import GroupLoad
from ospreyford.direct.call import Call
from ospreyford.direct.catalog import RetryMode
from ospreyford.direct.gate import StreamGate
from ospreyford.direct.grouproom import REFUSAL_PAUSE_SECONDS
from ospreyford.http.message import Request
from tests.direct import backends as be
from tests.direct.backends import get_room

MAX_GAP = 0.12
ROUTE = be.make_route(RetryMode.resumable, streams=True, max_gap=MAX_GAP)
#: A group whose passes are too long for another stream.
FULL = GroupLoad(40, 0, 0.3, 0.018)
EMPTY = GroupLoad(0, 0, 0, 0.018)


def make_call(seconds: float = 8) -> Call:
    now = time.monotonic()
    return Call(
        id='x',
        request=Request('POST', '/a/x', ()),
        route=ROUTE,
        service='service',
        key=None,
        customer=None,
        started_at=now,
        deadline=now + seconds,
    )


async def enter_closed() -> tuple[int, float]:
    gate = StreamGate(0.12)
    get_room(gate).record_refusal()
    began = time.monotonic()
    entered = []

    async def enter() -> None:
        entered.append(await gate.acquire(make_call()))

    for _ in range(5):
        await curio.spawn(enter, daemon=True)
    await curio.sleep(REFUSAL_PAUSE_SECONDS / 2)
    early = len(entered)
    while not entered:
        await curio.sleep(0.02)
        await gate.process_queue()
    return early, time.monotonic() - began


def test_requests_wait_for_a_closed_group() -> None:
    """Immediate retries would use up all attempts while the group is closed."""
    early, waited = curio.run(enter_closed)
    assert early == 0
    assert waited >= REFUSAL_PAUSE_SECONDS


async def block_while_queued() -> tuple[list[bool], int]:
    gate = StreamGate(0.12)
    get_room(gate).record_refusal()
    blocked, other = make_call(), make_call()
    entered = []

    async def enter(call: Call) -> None:
        entered.append(await gate.acquire(call))

    for call in (blocked, other):
        await curio.spawn(enter, call, daemon=True)
    await curio.sleep(0)
    is_blocked = partial(operator.is_, blocked)
    for _ in range(2):
        await gate.refuse_blocked(is_blocked)
    await curio.sleep(0)
    return entered, gate.running


def test_requests_blocked_while_they_wait_are_refused() -> None:
    """A caller must not wait for what it will not be given."""
    assert curio.run(block_while_queued) == ([False], 0)


async def probe_closed() -> list[int]:
    gate = StreamGate(0.12)
    get_room(gate).record_refusal()
    for _ in range(5):
        await curio.spawn(gate.acquire, make_call(), daemon=True)
    await curio.sleep(REFUSAL_PAUSE_SECONDS + 0.02)
    await gate.process_queue()
    probing = gate.running
    get_room(gate).record_start()
    await gate.process_queue()
    return [probing, gate.running]


def test_a_single_request_probes_a_closed_group() -> None:
    assert curio.run(probe_closed) == [1, 5]


async def give_back() -> int:
    gate = StreamGate(0.12)
    first = make_call()
    await gate.acquire(first)
    await gate.update_load(FULL, 1)
    waiting = await curio.spawn(gate.acquire, make_call())
    await curio.sleep(0.01)
    await waiting.cancel()
    await gate.release(first)
    return gate.running


def test_a_cancelled_caller_takes_no_slot() -> None:
    assert curio.run(give_back) == 0


async def refuse_late() -> list[bool]:
    gate = StreamGate(0.12)
    await gate.update_load(FULL, 1)
    call = make_call(0.3)
    tasks = [await curio.spawn(gate.acquire, call) for _ in range(2)]
    await curio.sleep(0.25)
    await gate.process_queue()
    return [await task.join() for task in tasks]


def test_unservable_requests_are_refused() -> None:
    assert curio.run(refuse_late) == [False, False]


async def stay_open() -> bool:
    gate = StreamGate(0.12)
    get_room(gate).record_refusal()
    await gate.update_load(EMPTY._replace(is_open=True), 1)
    get_room(gate).record_start()
    return await gate.acquire(make_call())


def test_an_open_group_admits_at_once() -> None:
    assert curio.run(stay_open)


async def refuse_when_full() -> Call:
    gate = StreamGate(0.12)
    get_room(gate).running = 12
    await gate.update_load(FULL, 4)
    call = make_call()
    call.started_at -= 3
    assert not await gate.acquire(call)
    return call


def test_a_refusal_logs_its_inputs() -> None:
    """The log of a refusal must contain the inputs of the decision."""
    view = curio.run(refuse_when_full).gate
    assert view is not None
    assert (view.running, view.pass_ms) == (12, 300)
    assert view.full < view.running
    assert view.age_ms >= 0


def test_unlimited_capacity_is_logged() -> None:
    async def admit() -> Call:
        call = make_call()
        assert await StreamGate(0.12).acquire(call)
        return call

    view = curio.run(admit).gate
    assert view is not None
    assert (view.easy, view.full, view.age_ms) == (-1, -1, -1)


async def enter_behind_a_late_one(*, is_retry: bool) -> int:
    gate = StreamGate(0.12)
    get_room(gate).running = 7
    get_room(gate).limit.late = 6
    get_room(gate).limit.regular = 0
    late = make_call()
    late.started_at -= 1
    back = make_call(5)
    back.is_retry = is_retry
    await curio.spawn(gate.acquire, late, daemon=True)
    await curio.sleep(0.02)
    get_room(gate).limit.regular = 10
    await curio.spawn(gate.acquire, back, daemon=True)
    await curio.sleep(0.02)
    return gate.running


@pytest.mark.parametrize('is_retry', [False, True])
def test_a_late_request_does_not_block_others(
    is_retry: bool,
) -> None:
    """A late request at the head must not block others with free slots."""
    ran = curio.run(lambda: enter_behind_a_late_one(is_retry=is_retry))
    assert ran == 8
