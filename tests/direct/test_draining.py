"""A stopping entry: late requests and final responses."""

from __future__ import annotations

from typing import Any, NamedTuple

import curio
import pytest

from ospreyford.direct.catalog import Engine, RetryMode, Service
from ospreyford.direct.program import ACCEPT_FRACTION
from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import HttpError
from ospreyford.http.message import find_header
from tests.direct import backends as be
from tests.direct.test_program import ASKED, GRACE, Entry

STREAM = be.make_route(
    RetryMode.resumable, streams=True, max_gap=0.12, timeout=8.0
)
ONCE = be.make_route(RetryMode.once)
ENGINE = Engine(6, 1, 4, 4, 1, 0.1, 0.02)
#: Streams outlast the time in which new requests are accepted.
STREAM_SECONDS = GRACE * ACCEPT_FRACTION + 0.2
RAW = (
    b'POST /a/x HTTP/1.1\r\nhost: host\r\nx-id: mine\r\n'
    b'x-key: good-key\r\ncontent-length: 0\r\n\r\n'
)
#: Prefixes of the compared response lines.
NAMED = (b'HTTP/1.1', b'retry-after', b'connection')
#: Time to receive what was sent before the end.
FLUSH_SECONDS = 0.1
#: Status recorded for a connection without a response.
NO_RESPONSE = 0


async def stream_for_long(exchange: Any) -> None:
    await exchange.start(200, be.sign(exchange))
    await exchange.write(be.make_event(1))
    await curio.sleep(STREAM_SECONDS)
    await exchange.write(be.make_event(2))
    await exchange.finish()


async def stream_for_ever(exchange: Any) -> None:
    await exchange.start(200, be.sign(exchange))
    await exchange.write(be.make_event(1))
    await curio.sleep(60)


async def ask_after_a_long_stream() -> tuple[int, int]:
    entry = Entry(await be.open_site(STREAM, stream_for_long))
    await entry.start()
    connection = await entry.ask()
    await connection.read_head()
    await entry.stop.requested.set()
    await connection.read_body()
    connection.start_next_cycle()
    status = await ask_again(connection)
    await connection.close()
    return status, entry.site.count_runs()[0]


async def ask_again(connection: ClientConnection) -> int:
    try:
        await connection.send(ASKED)
        head = await connection.read_head()
    except HttpError:
        return NO_RESPONSE
    return head.status


def test_a_busy_connection_takes_no_request_after_the_accept_period() -> None:
    """A connection busy at the deadline must not take another request."""
    status, runs = curio.run(ask_after_a_long_stream)
    assert runs == 1
    assert status in {NO_RESPONSE, 503}


async def ask_twice_at_once() -> tuple[list[bytes], int]:
    entry = Entry(await be.open_site(STREAM, stream_for_long))
    await entry.start()
    caller = await curio.open_connection(*entry.front)
    await caller.sendall(RAW * 2)
    received: bytes = await caller.recv(65_536)
    await entry.stop.requested.set()
    async with caller:
        while piece := await caller.recv(65_536):
            received += piece
    # A reset would have raised: no data was left unread.
    lines = received.split(b'\r\n')
    fields = [line for line in lines if line.startswith(NAMED)]
    return fields, entry.site.count_runs()[0]


def test_a_pipelined_request_is_refused_after_the_accept_period() -> None:
    """A pipelined request must be refused with a response.

    Left unread, it would reset the connection under the response before it.
    """
    answers, runs = curio.run(ask_twice_at_once)
    assert answers == [
        b'HTTP/1.1 200 ',
        b'HTTP/1.1 503 ',
        b'retry-after: 0.05',
        b'connection: close',
    ]
    assert runs == 1


class FinalResponse(NamedTuple):
    """Final response to a caller.

    :param status: status, or ``NO_RESPONSE``.
    :param retry_after: value of the ``Retry-After`` field.
    """

    status: int
    retry_after: bytes | None


async def wait_for_shutdown(
    route: Any, script: be.Script, *, is_full: bool
) -> FinalResponse:
    entry = Entry(await be.open_site(route, script))
    entry.context.catalog = be.make_catalog(route)._replace(
        services={'service': Service('service', 10, ENGINE)}
    )
    running = await entry.start()
    if is_full:
        entry.fill_gate()
    caller = await entry.ask()
    await entry.stop.requested.set()
    await running.join()
    # Only data written before the end is received.
    try:
        head = await curio.timeout_after(FLUSH_SECONDS, caller.read_head())
    except (HttpError, curio.TaskTimeout):
        return FinalResponse(NO_RESPONSE, None)
    finally:
        await caller.close()
    return FinalResponse(head.status, find_header(head.headers, b'retry-after'))


ENDINGS = (
    # Sent, so the outcome is unknown.
    (ONCE, be.never_answer, False, FinalResponse(502, None)),
    # Queued at the gate: not run, and other entries can serve it.
    (STREAM, stream_for_ever, True, FinalResponse(503, b'0.05')),
)


@pytest.mark.parametrize(('route', 'script', 'is_full', 'expected'), ENDINGS)
def test_shutdown_answers_requests_in_flight(
    route: Any, script: be.Script, is_full: bool, expected: FinalResponse
) -> None:
    """Requests without a response must get one before the process ends."""
    ran = curio.run(lambda: wait_for_shutdown(route, script, is_full=is_full))
    assert ran == expected


async def end_body_after_taking(route: Any) -> tuple[bytes, int]:
    entry = Entry(await be.open_site(route, stream_for_ever))
    running = await entry.start()
    caller = await curio.open_connection(*entry.front)
    received = b''
    async with caller:
        await caller.sendall(RAW.replace(b'length: 0', b'length: 4'))
        await curio.sleep(0.05)
        await entry.stop.requested.set()
        await curio.sleep(STREAM_SECONDS)
        await caller.sendall(b'body')
        async with curio.ignore_after(FLUSH_SECONDS):
            received = await caller.recv(65_536)
        await running.join()
    return received, entry.site.count_runs()[0]


@pytest.mark.parametrize('route', [ONCE, STREAM])
def test_a_body_completed_after_the_accept_period_is_refused(
    route: Any,
) -> None:
    """A request completed late must not be sent to a backend."""
    received, runs = curio.run(end_body_after_taking, route)
    assert received.startswith(b'HTTP/1.1 503')
    assert runs == 0
