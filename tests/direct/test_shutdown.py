"""The end of an entry: what it says of each request is true."""

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
from tests.direct.test_draining import ENGINE
from tests.direct.test_program import Entry

#: Streams that run as the entry ends, and those that wait for their places.
RUNNING = 4
WAITING = 8
#: Connections to the backend that rest by then.
IDLE_CONNECTIONS = 8
SLOTS = 40
#: The order in which tasks are ended is not settled.
ROUNDS = 4
RAW = (
    b'POST /a/x HTTP/1.1\r\nhost: host\r\nx-id: mine\r\n'
    b'x-key: good-key\r\ncontent-length: 4\r\n\r\n'
)
BODY = b'body'


class Crowd(NamedTuple):
    """Requests that ran, and those that were told that they had not."""

    ran: list[bytes]
    told_not_run: list[bytes]


def set_limits(gate: StreamGate, places: int) -> None:
    gate.limit.regular = places
    gate.limit.urgent = places
    gate.limit.late = places


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


async def shut_down_with_queue(repetition: RetryMode) -> Crowd:
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
        repetition,
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


@pytest.mark.parametrize('repetition', [RetryMode.once, RetryMode.resumable])
def test_the_end_gives_no_place_to_those_who_wait(
    repetition: RetryMode,
) -> None:
    """Requests ran whose callers were told that they had not.

    At an entry's end the streams that it cut gave back their places, and those
    who waited were sent on them over kept connections, after it had been
    settled that they had not run.
    """
    for _ in range(ROUNDS):
        crowd = curio.run(shut_down_with_queue, repetition)
        assert set(crowd.ran).isdisjoint(crowd.told_not_run)
        assert len(crowd.told_not_run) == WAITING


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


def test_an_answer_that_comes_with_the_end_is_the_only_one() -> None:
    """A caller had its whole answer, and then its connection was reset.

    The entry ended as the answer came: a second answer, of unknown outcome, was
    begun behind the first.
    """
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


def test_a_body_that_is_whole_after_the_end_is_not_sent() -> None:
    """A request was sent by an entry that was about to end.

    Its body became whole after all others had had their last answers.
    """
    received, runs = curio.run(shut_down_during_body)
    assert received.startswith(b'HTTP/1.1 503')
    assert runs == 0
