"""An entry that stops: what it still takes, and what its end leaves."""

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
#: A stream lasts so long that it ends after the time for new work.
STREAM_SECONDS = GRACE * ACCEPT_FRACTION + 0.2
RAW = (
    b'POST /a/x HTTP/1.1\r\nhost: host\r\nx-id: mine\r\n'
    b'x-key: good-key\r\ncontent-length: 0\r\n\r\n'
)
#: How the lines begin by which answers are told apart.
NAMED = (b'HTTP/1.1', b'retry-after', b'connection')
#: Time for what was written before the end, in seconds.
FLUSH_SECONDS = 0.1
#: What a request that was cut leaves its caller.
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


def test_a_busy_connection_takes_nothing_after_the_time_for_new_work() -> None:
    """A request was taken 4.3 s after SIGTERM, of eight, and cut at 7.5 s.

    Connections at rest were ended once, 2.8 s after the signal. One that then
    carried an answer which had begun before the signal was left out, and that
    answer had not said that it is the connection's last: when it ended, the
    connection rested, and its caller used it. The line of such a request,
    {'number': 3, 'open_ms': 6216, 'rest_ms': 40, 'closing_ms': 2951}, shows an
    answer that ended 2,911 ms after the signal and a request 40 ms later.
    """
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
    # A reset would have raised: what was left unread was nothing.
    lines = received.split(b'\r\n')
    fields = [line for line in lines if line.startswith(NAMED)]
    return fields, entry.site.count_runs()[0]


def test_what_was_read_after_the_time_for_new_work_is_refused() -> None:
    """A request that is here already must have an answer.

    Its caller sent it behind the one whose answer outlasts the time for new
    work. Unread, it would reset the connection under the answer before it.
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
    """What the end of an entry leaves a caller.

    :param status: of the answer.
    :param retry_after: when the caller was told to come back.
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
    # The process would be gone by now, and with it what it had not written.
    try:
        head = await curio.timeout_after(FLUSH_SECONDS, caller.read_head())
    except (HttpError, curio.TaskTimeout):
        return FinalResponse(NO_RESPONSE, None)
    finally:
        await caller.close()
    return FinalResponse(head.status, find_header(head.headers, b'retry-after'))


ENDINGS = (
    # It was sent, so nobody knows whether it ran.
    (ONCE, be.never_answer, False, FinalResponse(502, None)),
    # It waited at the gate: not run, and another entry serves at once.
    (STREAM, stream_for_ever, True, FinalResponse(503, b'0.05')),
)


@pytest.mark.parametrize(('route', 'script', 'is_full', 'expected'), ENDINGS)
def test_the_end_of_an_entry_answers_what_it_leaves(
    route: Any, script: be.Script, is_full: bool, expected: FinalResponse
) -> None:
    """Callers whose answers had not begun saw their connections reset.

    An entry that had waited as long as it may ended without a word: neither a
    request that waited for a place nor one whose backend was silent was told
    whether it had run. Their connections closed with status 0 in this test, in
    place of the 503 and the 502.
    """
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
def test_a_body_that_is_whole_after_the_time_for_new_work_is_refused(
    route: Any,
) -> None:
    """A request was sent to a backend, and cut at the entry's end.

    Its head had come in time and its body had not; whether it was too late had
    been asked with the head.
    """
    received, runs = curio.run(end_body_after_taking, route)
    assert received.startswith(b'HTTP/1.1 503')
    assert runs == 0
