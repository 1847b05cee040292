"""Shutdown of an entry: requests in flight get correct final responses."""

from __future__ import annotations

from typing import Any, NamedTuple

import curio
import pytest

from ospreyford.direct.catalog import RetryMode, Service
from ospreyford.direct.gate import StreamGate
from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from tests.direct import backends as be
from tests.direct.backends import get_room
from tests.direct.test_draining import ENGINE
from tests.direct.test_program import Entry

#: Running and queued streams when the entry ends.
RUNNING = 4
WAITING = 8
#: Idle connections to the backend at that time.
IDLE_CONNECTIONS = 8
SLOTS = 40
#: The order in which tasks are cancelled is not deterministic.
ROUNDS = 4
RAW = (
    b'POST /a/x HTTP/1.1\r\nhost: host\r\nx-id: mine\r\n'
    b'x-key: good-key\r\ncontent-length: 4\r\n\r\n'
)
BODY = b'body'


class Crowd(NamedTuple):
    """Requests that ran, and those reported as not run."""

    ran: list[bytes]
    reported_not_run: list[bytes]


def set_limits(gate: StreamGate, capacity: int) -> None:
    limit = get_room(gate).limit
    limit.regular = capacity
    limit.urgent = capacity
    limit.late = capacity


async def ask(entry: Entry, name: bytes) -> ClientConnection:
    connection = await ClientConnection.open(*entry.front, 1)
    fields = ((b'host', b'host'), (b'x-id', name), (b'x-key', b'good-key'))
    await connection.send(Request('POST', '/a/x', fields))
    return connection


async def read_status(caller: ClientConnection) -> int:
    try:
        return (await curio.timeout_after(0.3, caller.read_head())).status  # type: ignore[no-any-return]
    except (HttpError, curio.TaskTimeout):
        return 0


async def shut_down_with_queue(retry_mode: RetryMode) -> Crowd:
    ran: list[bytes] = []

    async def stream(exchange: Any) -> None:
        name = be.read_field(exchange.request.headers, b'x-id')
        ran.append(name)
        await exchange.start(200, be.sign(exchange))
        for number in range(1, 3 if name.startswith(b'early') else 99):
            await exchange.write(be.make_event(number))
            await curio.sleep(0.1)
        await exchange.finish()

    route = be.make_route(
        retry_mode,
        streams=True,
        max_gap=0.12,
        timeout=8.0,
        objective=5.0,
        attempts=1,
    )
    entry = Entry(await be.open_site(route, stream))
    entry.context.catalog = be.make_catalog(route)._replace(
        services={'service': Service('service', SLOTS, ENGINE)}
    )
    await entry.start()
    gate = StreamGate(max_gap=0.12)
    entry.context.gates['service'] = gate
    set_limits(gate, IDLE_CONNECTIONS)
    early = [
        await ask(entry, b'early%d' % number)
        for number in range(IDLE_CONNECTIONS)
    ]
    await curio.sleep(0.3)
    set_limits(gate, RUNNING)
    names = [b'%d' % number for number in range(RUNNING + WAITING)]
    callers = {name: await ask(entry, name) for name in names}
    await curio.sleep(0.2)
    await entry.server.finish_requests()
    reported = {name: await read_status(one) for name, one in callers.items()}
    for one in (*early, *callers.values()):
        await one.close()
    return Crowd(ran, [name for name in names if reported[name] == 503])


@pytest.mark.parametrize('retry_mode', [RetryMode.once, RetryMode.resumable])
def test_shutdown_admits_no_queued_requests(
    retry_mode: RetryMode,
) -> None:
    """Slots released by the shutdown must not go to queued requests."""
    for _ in range(ROUNDS):
        crowd = curio.run(shut_down_with_queue, retry_mode)
        assert set(crowd.ran).isdisjoint(crowd.reported_not_run)
        assert len(crowd.reported_not_run) == WAITING


async def shut_down_during_response() -> bytes:
    entries: list[Entry] = []

    async def answer_and_end(exchange: Any) -> None:
        await curio.sleep(0.1)
        await be.answer(exchange)
        await entries[0].server.finish_requests()

    route = be.make_route(RetryMode.once)
    entry = Entry(await be.open_site(route, answer_and_end))
    entries.append(entry)
    await entry.start()
    caller = await curio.open_connection(*entry.front)
    received = b''
    async with caller:
        await caller.sendall(RAW + BODY)
        async with curio.ignore_after(0.5):
            while piece := await caller.recv(65_536):
                received += piece
    return received


def test_a_response_during_the_shutdown_is_the_only_one() -> None:
    """A shutdown during a response must not append a second one."""
    received = curio.run(shut_down_during_response)
    assert received.startswith(b'HTTP/1.1 200')
    assert received.endswith(b'whole')


async def shut_down_during_body() -> tuple[bytes, int]:
    route = be.make_route(RetryMode.once)
    entry = Entry(await be.open_site(route, be.never_answer))
    await entry.start()
    caller = await curio.open_connection(*entry.front)
    received = b''
    async with caller:
        await caller.sendall(RAW + BODY[:2])
        await curio.sleep(0.1)
        await entry.server.finish_requests()
        await caller.sendall(BODY[2:])
        async with curio.ignore_after(0.5):
            received = await caller.recv(65_536)
    return received, entry.site.count_runs()[0]


def test_a_body_completed_after_the_shutdown_is_not_sent() -> None:
    """A body completed after the shutdown must not reach a backend."""
    received, runs = curio.run(shut_down_during_body)
    assert received.startswith(b'HTTP/1.1 503')
    assert runs == 0
