"""Tests of malformed requests and unusual callers over real sockets."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import curio
import h11
import pytest

from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.limits.limit import Refused
from ospreyford.wire.ids import create_id
from tests.entry.harness import (
    OK_RESPONSE,
    VALID_FIELDS,
    EntryServer,
    make_request,
    read_problem,
    read_to_end,
    reset_on_close,
)

KEY = b'01900000-0000-7000-8000-00000000000a'
CLOSE_FIELDS = b'%bconnection: close\r\n' % VALID_FIELDS
OTHER_CUSTOMER_FIELDS = b'ospreyford-service: svc\r\nospreyford-customer: '
CUT_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'
CUT_CHUNKED_RESPONSE = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf'
)
LENGTH_AND_CHUNKED_RESPONSE = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked'
    b'\r\n\r\n4\r\n"ok"\r\n0\r\n\r\n'
)


def make_request_with(field: bytes, content: bytes) -> bytes:
    return make_request(b'%b%b: %b\r\n' % (VALID_FIELDS, field, content))


def make_request_for(customer: bytes, service: bytes) -> bytes:
    fields = b'ospreyford-customer: %b\r\nospreyford-service: %b\r\n'
    return make_request(fields % (customer, service))


CHUNKED_REQUEST = (
    b'POST / HTTP/1.1\r\nhost: x\r\nospreyford-customer: c\r\n'
    b'ospreyford-service: svc\r\ntransfer-encoding: chunked\r\n\r\n%b'
)
INVALID_REQUESTS = (
    (b'nonsense\r\n\r\n', 400, 'bad-request'),
    (b'GET / HTTP/1.1\r\nbad header\r\n\r\n', 400, 'bad-request'),
    (b'GET / HTTP/1.1\r\nx: %b' % bytes(3000), 400, 'bad-request'),
    (b'GET / HTTP/1.1\r\nx: %b' % (b'a' * 3000), 400, 'bad-request'),
    (b'GET / HTTP/1.1\r\nhos', 408, 'too-slow'),
    (make_request(CLOSE_FIELDS, b'a' * 2000), 413, 'body-too-large'),
    (make_request(body=b'a' * 900)[:-1], 408, 'too-slow'),
    (CHUNKED_REQUEST % (b'3e9\r\n%b' % bytes(1001)), 413, 'body-too-large'),
    (CHUNKED_REQUEST % b'zz\r\n', 400, 'bad-request'),
    (make_request(line=b'POST / HTTP/9'), 400, 'bad-request'),
    (make_request(line=b'POST /\xff HTTP/1.1'), 400, 'bad-request'),
    (make_request(b'ospreyford-customer: c\r\n'), 404, 'unknown-service'),
    (make_request_for(b'c', b'none'), 404, 'unknown-service'),
    (make_request_for(b'c', b'\xc3\x28'), 400, 'bad-request'),
    (make_request_for(b'', b'svc'), 400, 'missing-customer'),
    (make_request(b'ospreyford-service: s\r\n'), 400, 'missing-customer'),
    (make_request(b'%bx\r\n' % OTHER_CUSTOMER_FIELDS), 404, 'unknown-customer'),
    (make_request(b'%b\xff\r\n' % OTHER_CUSTOMER_FIELDS), 400, 'bad-request'),
    (make_request_with(b'ospreyford-deadline-ms', b'-1'), 400, 'bad-deadline'),
    (make_request_with(b'ospreyford-deadline-ms', b'nan'), 400, 'bad-deadline'),
    (make_request_with(b'ospreyford-deadline-ms', b'0.001'), 504, 'deadline'),
    (make_request_with(b'idempotency-key', b'7'), 400, 'bad-key'),
    (make_request_with(b'idempotency-key', b'f' * 8 + KEY[8:]), 400, 'bad-key'),
    (make_request_with(b'ospreyford-idempotent', b'yes'), 400, 'bad-request'),
)


@pytest.mark.parametrize(('raw', 'status', 'cause'), INVALID_REQUESTS)
def test_invalid_request_gets_a_problem_and_disturbs_no_other(
    raw: bytes, status: int, cause: str
) -> None:
    async def main() -> Any:
        async with EntryServer(delay=0.05) as server:
            good = await curio.spawn(server.call, make_request(CLOSE_FIELDS))
            response = await server.call(raw, 0.3)
            assert (await good.join()).endswith(b'\r\n\r\nok')
            assert await server.wait_idle()
            return (
                response,
                server.count_refused(),
                len(server.backend_requests),
            )

    received, counted, runs = curio.run(main)
    answered, headers, problem = read_problem(received)
    assert (answered, problem['cause']) == (status, cause)
    assert headers['content-type'] == 'application/problem+json'
    assert headers['ospreyford-outcome'] == problem['outcome'] == 'not-run'
    assert problem['type'] == f'urn:ospreyford:problem:{cause}'
    assert (problem['status'], counted, runs) == (status, 1, 1)
    assert ('retry-after' in headers) is (status >= 500)
    assert headers.get('retry-after') != '0'


@pytest.mark.parametrize(
    'begun',
    [
        b'GET / HTTP/1.1\r\nx: ',
        make_request(body=b'a' * 900)[:-900],
        CHUNKED_REQUEST % b'3e8\r\n',
    ],
)
def test_slow_sender_times_out(begun: bytes) -> None:
    """Timeouts cover the whole head or body, not the gap between bytes."""

    async def send_slowly(server: EntryServer) -> bytes:
        async with await server.connect() as sock:
            reading = await curio.spawn(read_to_end, sock, 5)
            await sock.sendall(begun)
            while not reading.terminated:
                await curio.sleep(0.02)
                with suppress(OSError):
                    await sock.sendall(b'a')
            received: bytes = await reading.join()
            return received

    async def main() -> tuple[bytes, float]:
        async with EntryServer(delay=0.05) as server:
            good = await curio.spawn(server.call, make_request(CLOSE_FIELDS))
            response = await curio.timeout_after(5, send_slowly(server))
            assert (await good.join()).endswith(b'\r\n\r\nok')
            assert await server.wait_idle()
            return response, server.count_refused()

    received, counted = curio.run(main)
    assert read_problem(received)[0] == 408
    assert read_problem(received)[2]['cause'] == 'too-slow'
    assert counted == 1


def test_key_reused_with_another_body_is_refused() -> None:
    async def main() -> tuple[bytes, int]:
        async with EntryServer() as server:
            clear = b'%bidempotency-key: %%b\r\n' % CLOSE_FIELDS
            fields = clear % create_id().encode()
            await server.call(make_request(fields, b'one'))
            second = await server.call(make_request(fields, b'two'))
            return second, len(server.backend_requests)

    received, runs = curio.run(main)
    assert read_problem(received)[2]['cause'] == 'key-reused'
    assert runs == 1


@pytest.mark.parametrize('fields', [b'', VALID_FIELDS])
def test_response_to_head_has_no_body(fields: bytes) -> None:
    """A response body to HEAD would break the connection."""

    async def main() -> bytes:
        async with EntryServer() as server:
            raw = make_request(fields, line=b'HEAD / HTTP/1.1')
            return await server.call(raw + make_request(CLOSE_FIELDS), 0.2)

    head, _, following = curio.run(main).partition(b'\r\n\r\n')
    status, headers, _ = read_problem(head)
    assert (status, bool(fields)) in {(200, True), (400, False)}
    assert headers['content-length']
    assert following.startswith(b'HTTP/1.1 200 ')
    assert following.endswith(b'ok')


@pytest.mark.parametrize(
    ('response', 'status'),
    [
        (b'HTTP/1.1 204 No Content\r\n\r\n', 204),
        (b'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n', 304),
        (LENGTH_AND_CHUNKED_RESPONSE, 200),
        (b'HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\n{}', 500),
    ],
)
def test_backend_responses_are_relayed(response: bytes, status: int) -> None:
    """Errors, empty responses and double framing are relayed correctly."""

    async def main() -> bytes:
        async with EntryServer(response) as server:
            return await server.call(make_request(CLOSE_FIELDS))

    received = curio.run(main)
    assert received.endswith((b'0\r\n\r\n', b'{}', b'close\r\n\r\n'))
    answered, headers, _ = read_problem(received.partition(b'\r\n\r\n')[0])
    assert answered == status
    assert headers['ospreyford-outcome'] == 'answered'


@pytest.mark.parametrize('line', [b'POST / HTTP/1.1', b'POST / HTTP/1.0'])
@pytest.mark.parametrize('response', [CUT_RESPONSE, CUT_CHUNKED_RESPONSE])
def test_truncated_response_closes_the_connection(
    response: bytes, line: bytes
) -> None:
    """An orderly close would mark a truncated HTTP/1.0 response as complete."""

    async def main() -> Any:
        async with EntryServer(response) as server:
            sock = await server.connect()
            async with sock:
                await sock.sendall(make_request(CLOSE_FIELDS, line=line))
                received = await receive_until_end(sock)
            assert await server.wait_idle()
            assert count_running(server) == 0
            return received, server.metrics.render()

    received, counted = curio.run(main)
    if line.endswith(b'1.0'):
        assert received is None
    else:
        assert received is not None
        assert parse_truncated(received) == b'half'
    assert b'outcome="cut"' in counted


async def receive_until_end(sock: Any) -> bytes | None:
    """Receive until the connection is closed; ``None`` if it is reset."""
    received = b''
    try:
        while piece := await curio.timeout_after(5, sock.recv(1000)):
            received += piece
    except ConnectionResetError:
        return None
    return received


def parse_truncated(received: bytes) -> bytes:
    """Parse a response as a client does, to the end of its connection.

    :returns: the body of a response that lacks its end.
    """
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method='POST', target='/', headers=[('host', 'x')]))
    client.send(h11.EndOfMessage())
    client.receive_data(received)
    client.receive_data(b'')
    response = client.next_event()
    body = client.next_event()
    assert isinstance(response, h11.Response)
    assert isinstance(body, h11.Data)
    with pytest.raises(h11.RemoteProtocolError):
        client.next_event()
    return bytes(body.data)


def count_running(server: EntryServer) -> int:
    for number in range(4):
        limit = server.directory.plan.limit
        verdict = server.gate.admit('c', limit, 1, 1e9)
        if isinstance(verdict, Refused):
            return 4 - number
    return 0


async def hang_up_early(server: EntryServer, sock: Any) -> None:
    reset_on_close(sock)


async def hang_up_in_response(server: EntryServer, sock: Any) -> None:
    await sock.recv(100)
    reset_on_close(sock)


async def stop_reading(server: EntryServer, sock: Any) -> None:
    assert await server.wait_idle()


async def hang_up_in_body(server: EntryServer, sock: Any) -> None:
    await sock.sendall(make_request(VALID_FIELDS, b'a' * 100)[:-50])


@pytest.mark.parametrize(
    'leave', [hang_up_early, hang_up_in_response, stop_reading, hang_up_in_body]
)
def test_disconnected_caller_releases_its_limits(leave: Any) -> None:
    """Callers that leave or stop reading must not hold concurrency forever."""
    size = 20_000_000
    long = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b'

    async def main() -> tuple[bool, int]:
        async with EntryServer(
            long % (size, bytes(size)), delay=0.05
        ) as server:
            sock = await server.connect()
            async with sock:
                await sock.sendall(make_request())
                await curio.sleep(0.02)
                await leave(server, sock)
            idle = await server.wait_idle()
            server.response = OK_RESPONSE
            again = await server.call(make_request(CLOSE_FIELDS))
            assert again.endswith(b'ok')
            return idle, count_running(server)

    assert curio.run(main) == (True, 0)


def test_pipelined_http10_and_expecting_requests() -> None:
    expecting = make_request(
        b'%bexpect: 100-continue\r\n' % CLOSE_FIELDS, b'ab'
    )
    forms = {
        make_request() + make_request(CLOSE_FIELDS): (2, 0),
        make_request(line=b'GET / HTTP/1.0'): (1, 0),
        expecting[:-2]: (1, 1),
    }

    async def main() -> None:
        async with EntryServer() as server:
            for raw, (answers, going_on) in forms.items():
                received = await send_in_parts(server, raw, b'ab' * going_on)
                assert received.count(b' 200 ') == answers
                assert received.count(b' 100 ') == going_on

    curio.run(main)


async def send_in_parts(server: EntryServer, raw: bytes, more: bytes) -> bytes:
    async with await server.connect() as sock:
        await sock.sendall(raw)
        await curio.sleep(0.05)
        await sock.sendall(more)
        return await read_to_end(sock)


def test_internal_fields_are_not_forwarded() -> None:
    response = OK_RESPONSE.replace(
        b'\r\n\r\n',
        b'\r\nconnection: x-hop\r\nx-hop: forged\r\ntraceparent: forged'
        b'\r\nospreyford-outcome: forged\r\nx-own: 1\r\n\r\n',
    )
    fields = b'%bx-priority: forged\r\nx-request-id: forged\r\n' % CLOSE_FIELDS

    async def main() -> tuple[bytes, bytes]:
        async with EntryServer(response) as server:
            return await server.call(
                make_request(fields)
            ), server.backend_requests[0]

    received, seen = curio.run(main)
    assert b'forged' not in received
    assert b'x-own: 1' in received
    assert b'forged' not in seen
    assert b'x-priority: 5' in seen


def test_unknown_service_names_are_not_labels() -> None:
    """Names that callers choose must not increase label cardinality."""

    async def main() -> bytes:
        async with EntryServer() as server:
            server.directory.find_plan = lambda *_: NotRun(  # type: ignore
                Cause.not_ready, 1
            )
            await server.call(make_request(CLOSE_FIELDS))
            return server.metrics.render()

    assert b'service="svc"' not in curio.run(main)


def test_draining_entry_refuses_pipelined_requests() -> None:
    """Requests on open connections are refused once a drain has begun."""

    async def main() -> tuple[bytes, int]:
        async with EntryServer(delay=0.3) as server:
            sock = await server.connect()
            async with sock:
                await curio.sleep(0.02)
                await sock.sendall(make_request() * 2)
                await curio.sleep(0.1)
                server.connections.stop_taking()
                received = await read_to_end(sock, 1)
            return received, len(server.backend_requests)

    response, runs = curio.run(main)
    assert runs == 1
    assert b'HTTP/1.1 503' in response
    assert b'"draining"' in response
