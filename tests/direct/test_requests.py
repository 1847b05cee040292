"""Requests to working and failing backends."""

from __future__ import annotations

import errno
from typing import Any

import curio
import pytest
from curio import socket

from ospreyford.direct.catalog import RetryMode, Route
from ospreyford.direct.decisions import RequestDenied, RequestEnded
from ospreyford.direct.handler import parse_number
from ospreyford.direct.registry import BackendServer
from ospreyford.http.errors import ConnectionLost
from ospreyford.http.message import Headers
from ospreyford.http.server import listen, port_of
from tests.direct import backends as be
from tests.fakes.loopback import next_address

#: Nothing listens there on the backends' addresses.
CLOSED_PORT = 9
ONCE = be.make_route(RetryMode.once)
IDEMPOTENT = be.make_route(RetryMode.idempotent)
RESUMABLE = be.make_route(RetryMode.resumable, streams=True)
STREAM = be.make_route(RetryMode.once, streams=True)


def run(coroutine: Any, *arguments: Any) -> Any:
    return curio.run(coroutine, *arguments)


async def ask(
    route: Route, scripts: tuple[be.Script | None, ...], headers: Headers = ()
) -> tuple[int, bytes, dict[bytes, bytes], be.Site]:
    site = await be.open_site(
        route, *(script or be.answer for script in scripts)
    )
    # Make the first backend the least loaded one.
    for number, backend in enumerate(site.backends):
        state = site.context.backends.find(backend.name)
        assert state is not None
        state.remote_in_flight = number
        if scripts[number] is None:
            state.server = state.server._replace(port=CLOSED_PORT)
    head, body = await site.ask(headers=headers)
    return head.status, body, dict(head.headers), site


#: Route, backend scripts, status, body, and requests received by each backend.
OUTCOMES = (
    (ONCE, (be.answer,), 200, b'whole', [1]),
    (ONCE, (be.fail,), 500, b'broken', [1]),
    # A refused request may run on the second backend.
    (ONCE, (be.refuse, be.answer), 200, b'whole', [1, 1]),
    (ONCE, (be.misdirect, be.answer), 200, b'whole', [1, 1]),
    (ONCE, (be.refuse, be.refuse), 503, None, [1, 1]),
    # A lost response leaves the outcome unknown.
    (ONCE, (be.hang_up, be.answer), 502, None, [1, 0]),
    (ONCE, (be.answer_another, be.answer), 502, None, [1, 0]),
    (ONCE, (be.answer_unsigned, be.answer), 502, None, [1, 0]),
    (ONCE, (be.answer_encoded, be.answer), 502, None, [1, 0]),
    (IDEMPOTENT, (be.hang_up, be.answer), 200, b'whole', [1, 1]),
    (IDEMPOTENT, (be.fail, be.answer), 200, b'whole', [1, 1]),
    (IDEMPOTENT, (be.fail, be.fail), 500, b'broken', [1, 1]),
    (IDEMPOTENT, (be.answer_another, be.answer), 200, b'whole', [1, 1]),
    # At most two backends, and no 503 after one that may have run it.
    (IDEMPOTENT, (be.hang_up, be.hang_up, be.answer), 502, None, [1, 1, 0]),
    (IDEMPOTENT, (be.hang_up, be.refuse), 502, None, [1, 1]),
)


@pytest.mark.parametrize(
    ('route', 'scripts', 'status', 'body', 'runs'), OUTCOMES
)
def test_outcomes(
    route: Route,
    scripts: tuple[be.Script, ...],
    status: int,
    body: bytes | None,
    runs: list[int],
) -> None:
    got_status, got_body, headers, site = run(ask, route, scripts)
    assert got_status == status
    assert body is None or got_body == body
    assert site.count_runs() == runs
    assert (b'retry-after' in headers) == (status == 503)
    line = site.log.find(RequestEnded)[0]
    assert line.request_id == 'mine'
    assert len(line.attempts) == sum(runs)


#: Route, backend scripts (``None``: accepts no connection), status, requests
#: received by each backend, and attempts.
UNREACHABLE = (
    (ONCE, (None, None, None, be.answer), 200, [0, 0, 0, 1], 4),
    (IDEMPOTENT, (None, be.hang_up, be.answer), 200, [0, 1, 1], 3),
    (
        IDEMPOTENT,
        (None, be.hang_up, be.hang_up, be.answer),
        502,
        [0, 1, 1, 0],
        3,
    ),
    (ONCE, (None, None, None), 503, [0, 0, 0], 3),
)


@pytest.mark.parametrize(
    ('route', 'scripts', 'status', 'runs', 'attempts'), UNREACHABLE
)
def test_unreachable_backends_do_not_count_against_the_limit(
    route: Route,
    scripts: tuple[be.Script | None, ...],
    status: int,
    runs: list[int],
    attempts: int,
) -> None:
    """While some backends are down, those that are up must get the request."""
    got, _, _, site = run(ask, route, scripts)
    assert got == status
    assert site.count_runs() == runs
    assert len(site.log.find(RequestEnded)[0].attempts) == attempts


#: Backend scripts (``None``: accepts no connection), status and retries taken.
UNCHARGED = (
    ((None, be.answer), 200, 0),
    ((be.hang_up, be.answer), 200, 1),
    ((None, be.hang_up, be.answer), 200, 1),
    ((None, None), 503, 0),
)


@pytest.mark.parametrize(('scripts', 'status', 'spent'), UNCHARGED)
def test_unreachable_backends_do_not_spend_the_retry_budget(
    scripts: tuple[be.Script | None, ...], status: int, spent: int
) -> None:
    """A crash of backends must not use up retries that no backend sees."""
    got, _, _, site = run(ask, IDEMPOTENT, scripts)
    assert got == status
    assert site.context.retries.spent_count == spent


def test_header_fields_sent_to_a_backend() -> None:
    forged = (
        (b'x-customer', b'forged'),
        (b'x-instance', b'forged'),
        (b'connection', b'x-hop'),
        (b'x-hop', b'1'),
        (b'x-other', b'kept'),
    )
    site = run(ask, ONCE, (be.answer,), forged)[-1]
    seen = site.backends[0].seen[0]
    headers = dict(seen.headers)
    assert seen.target == '/a/x?y=1'
    assert site.backends[0].bodies == [b'body']
    assert headers[b'x-customer'] == b'customer'
    assert headers[b'x-instance'] == b'b0'
    assert headers[b'x-other'] == b'kept'
    assert headers[b'x-id'] == b'mine'
    assert 0 < int(headers[b'x-deadline']) <= 2000
    assert b'x-key' not in headers
    assert b'x-hop' not in headers


async def deny(headers: Headers, target: str, age: float) -> tuple[int, Any]:
    site = await be.open_site(ONCE, be.answer)
    if age:
        site.context.freshness = type(site.context.freshness)(
            be.SETTINGS.bounds
        )
    head, _ = await site.ask(headers=headers, target=target)
    return head.status, site


@pytest.mark.parametrize(
    ('headers', 'target', 'age', 'status'),
    [
        (((b'x-key', b'bad-key'),), '/a/x', 0, 401),
        (((b'host', b'other'),), '/a/x', 0, 404),
        ((), '/b/x', 0, 404),
        ((), '/a', 0, 404),
        ((), '/a/x', 10, 503),
    ],
    ids=('key', 'host', 'path', 'no-slash', 'unknown-age'),
)
def test_denials(
    headers: Headers, target: str, age: float, status: int
) -> None:
    got, site = run(deny, headers, target, age)
    assert got == status
    assert site.count_runs() == [0]
    line = site.log.find(RequestDenied)[0]
    assert line.status == status


async def ask_with_stale_state() -> float:
    site = await be.open_site(ONCE, be.answer)
    site.context.freshness = type(site.context.freshness)(be.SETTINGS.bounds)
    head, _ = await site.ask()
    return float(dict(head.headers)[b'retry-after'])


def test_an_entry_with_stale_state_asks_for_an_immediate_retry() -> None:
    """Other entries can serve, so the retry time must be short."""
    assert 10 * run(ask_with_stale_state) <= 1


async def withdraw_on_the_way() -> tuple[int, list[int]]:
    async def withdraw(exchange: Any) -> None:
        catalog = site.context.catalog
        assert catalog is not None
        site.context.catalog = catalog._replace(customers={})
        await be.refuse(exchange)

    site = await be.open_site(ONCE, withdraw, withdraw)
    head, _ = await site.ask()
    return head.status, sorted(site.count_runs())


def test_a_key_is_checked_for_each_attempt() -> None:
    """A key may be revoked between two attempts."""
    assert run(withdraw_on_the_way) == (503, [0, 1])


async def ask_without_catalog() -> int:
    site = await be.open_site(ONCE, be.answer)
    site.context.catalog = None
    head, _ = await site.ask()
    return head.status


def test_requests_are_refused_without_a_catalog() -> None:
    assert run(ask_without_catalog) == 503


WHOLE = b''.join(map(be.make_event, range(1, 6)))


@pytest.mark.parametrize(
    ('scripts', 'runs'),
    [
        ((be.stream(5),), [1]),
        ((be.refuse, be.stream(5)), [1, 1]),
        ((be.hang_up, be.stream(5)), [1, 1]),
        ((be.stream(5, breaks_after=0), be.stream(5)), [1, 1]),
        ((be.stream(5, breaks_after=3), be.stream(5)), [1, 1]),
    ],
)
def test_streams_are_forwarded_completely(
    scripts: tuple[be.Script, ...], runs: list[int]
) -> None:
    """A stream that breaks within an event must resume without loss."""
    status, body, _, site = run(ask, RESUMABLE, scripts)
    assert status == 200
    assert body == WHOLE
    assert site.count_runs() == runs


def test_a_stream_resumes_after_the_callers_last_event() -> None:
    asked = ((b'last-event-id', b'2'),)
    _, body, _, _ = run(ask, RESUMABLE, (be.stream(5),), asked)
    assert body == b''.join(map(be.make_event, range(3, 6)))


@pytest.mark.parametrize('route', [STREAM, RESUMABLE])
def test_a_cut_stream_does_not_look_complete(route: Route) -> None:
    """A cut stream must not be terminated like a complete one."""
    broken = be.stream(5, breaks_after=2)
    with pytest.raises(ConnectionLost):
        run(ask, route, (broken, broken))


async def leave(script_done: list[str]) -> int:
    async def work(exchange: Any) -> None:
        await exchange.wait_for_hangup()
        script_done.append('stopped')

    site = await be.open_site(IDEMPOTENT, work)
    connection = await site.send()
    await curio.sleep(0.1)
    await connection.close()
    await curio.sleep(0.3)
    return len(site.log.find(RequestEnded))


def test_a_caller_that_disconnects_stops_the_backend() -> None:
    """Backends must not work on for callers that disconnected."""
    stopped: list[str] = []
    assert run(leave, stopped) == 1
    assert stopped == ['stopped']


async def leave_before_a_host_wakes() -> int:
    host = next_address()
    backend = listen(host, 0)
    site = await be.open_site(IDEMPOTENT)
    address = (host, port_of(backend))
    site.context.backends.put(
        BackendServer('frozen', 'service', *address, 'a', 6, False, 1)
    )
    connection = await site.send()
    accepted, _ = await backend.accept()
    await curio.sleep(0.1)
    await connection.close()
    await curio.sleep(0.3)
    async with accepted, backend:
        error: int = accepted.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error


def test_a_request_that_is_given_up_resets_its_connection() -> None:
    """A host that froze must not receive it once it wakes."""
    assert run(leave_before_a_host_wakes) == errno.ECONNRESET


async def wait_for_timeout(route: Route) -> tuple[int, int]:
    async def be_silent(exchange: Any) -> None:
        await exchange.wait_for_hangup()

    site = await be.open_site(route._replace(timeout=0.3), be_silent)
    head, _ = await site.ask()
    return head.status, sum(site.count_runs())


@pytest.mark.parametrize('route', [ONCE, IDEMPOTENT, RESUMABLE])
def test_a_routes_timeout_ends_the_wait(route: Route) -> None:
    assert run(wait_for_timeout, route) == (504, 1)


EXTRA = (
    b'HTTP/1.1 200 OK\r\nx-id: old\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nold'
)


async def meet_extra_answer() -> list[bytes]:
    async def answer_twice(exchange: Any) -> None:
        await be.answer(exchange)
        await exchange._connection._sock.sendall(EXTRA)  # noqa: SLF001

    site = await be.open_site(ONCE, answer_twice)
    bodies = []
    for _ in range(3):
        _, body = await site.ask()
        bodies.append(body)
        await curio.sleep(0.02)
    return bodies


def test_a_duplicate_response_is_dropped() -> None:
    """A duplicate response must not answer the next request."""
    assert run(meet_extra_answer) == [b'whole'] * 3


@pytest.mark.parametrize(
    ('text', 'number'),
    [(b'8000', 8000), (b'', None), (b'-1', None), (b'9' * 400, None)],
)
def test_numbers_of_header_fields(text: bytes, number: int | None) -> None:
    """An oversized deadline must not fail the connection."""
    assert parse_number(text) == number
