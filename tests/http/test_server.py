"""The server's side of HTTP connections, over real sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from socket import SO_RCVBUF, SOL_SOCKET
from typing import Any

import curio
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.http.client import ClientConnection
from ospreyford.http.connections import OpenConnections
from ospreyford.http.errors import (
    BadMessage,
    ConnectionLost,
    HttpError,
    TooSlow,
)
from ospreyford.http.message import Limits, Request, find_header
from ospreyford.http.server import (
    Exchange,
    ServerConnection,
    listen,
    port_of,
    serve_connection,
)

LIMITS = Limits(head_seconds=0.3, idle_seconds=1, body_seconds=0.3)
GET = Request('GET', '/', ((b'host', b'x'),))


class Server:
    """One server whose handler the test gives."""

    def __init__(
        self,
        handler: Callable[[Exchange], Awaitable[None]],
        limits: Limits = LIMITS,
    ) -> None:
        self._limits = limits
        self.errors: list[HttpError] = []
        self.siblings = OpenConnections(10)
        self.port = 0
        self._handler = handler
        self._task: Any = None

    async def __aenter__(self) -> Server:
        sock = listen('127.0.0.1', 0)
        self.port = port_of(sock)
        self._task = await curio.spawn(self._accept, sock)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._task.cancel()

    async def open(self) -> ClientConnection:
        return await ClientConnection.open('127.0.0.1', self.port, 1)

    async def send_raw(self, raw: bytes) -> bytes:
        """Send bytes and read all that comes back."""
        sock = await curio.open_connection('127.0.0.1', self.port)
        async with sock:
            await sock.sendall(raw)
            received = b''
            while piece := await sock.recv(65_536):
                received += piece
        return received

    async def _accept(self, sock: Any) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Any) -> None:
        await serve_connection(
            client, self._limits, self._handler, self._note, self.siblings
        )

    async def _note(
        self, error: HttpError, connection: ServerConnection
    ) -> None:
        self.errors.append(error)
        await connection.refuse(400, b'refused', ())


async def ignore_body(exchange: Exchange) -> None:
    await exchange.respond(200, b'ok')


async def echo(exchange: Exchange) -> None:
    await exchange.respond(200, await exchange.read_body())


def test_unread_end_does_not_cost_the_connection() -> None:
    """A reused connection must carry the next request.

    Symptom: every second request on a kept connection is lost.
    Sequence: a handler answers a GET without reading its body; the caller
    sends another request on the connection.
    Cause: the request's end mark was left unread, so it looked unfinished.
    """

    async def main() -> list[bytes]:
        async with Server(ignore_body) as server:
            connection = await server.open()
            bodies = []
            for _ in range(3):
                await connection.send(GET)
                await connection.read_head()
                bodies.append(await connection.read_body())
                connection.start_next_cycle()
            await connection.close()
            return bodies

    assert curio.run(main) == [b'ok'] * 3


@pytest.mark.parametrize(
    ('raw', 'kind'),
    [
        (b'nonsense\r\n\r\n', BadMessage),
        (b'GET / HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n', BadMessage),
        (b'GET / HTTP/1.1\r\nx: %b' % bytes(20_000), BadMessage),
        (b'GET / HTTP/1.1\r\nhos', TooSlow),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab',
            TooSlow,
        ),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n',
            BadMessage,
        ),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
            b'zz\r\n',
            BadMessage,
        ),
    ],
)
def test_bad_messages_end_their_connection_only(
    raw: bytes, kind: type[HttpError]
) -> None:
    async def main() -> tuple[bytes, list[HttpError], bytes]:
        async with Server(echo) as server:
            answer = await server.send_raw(raw)
            connection = await server.open()
            await connection.send(GET._replace(method='POST'), b'still here')
            await connection.read_head()
            body = await connection.read_body()
            await connection.close()
            return answer, server.errors, body

    answer, errors, body = curio.run(main)
    assert [type(error) for error in errors] == [kind]
    assert b' 400 ' in answer
    assert body == b'still here'


def test_cut_answer_is_seen_as_cut() -> None:
    """A broken stream must not look like a whole one.

    Symptom: a plan without its last trays is taken for the whole plan.
    Sequence: the back end dies in the middle of a streamed answer.
    Cause: a server that ends the chunked body in good order all the same.
    """

    async def begin_only(exchange: Exchange) -> None:
        await exchange.read_body()
        await exchange.start(200)
        await exchange.write(b'half of it')

    async def main() -> bytes:
        async with Server(begin_only) as server:
            connection = await server.open()
            await connection.send(GET)
            await connection.read_head()
            return await connection.read_body()

    with pytest.raises(ConnectionLost):
        curio.run(main)


def test_closing_server_tells_its_callers() -> None:
    async def main() -> tuple[bytes | None, int]:
        async with Server(ignore_body) as server:
            connection = await server.open()
            server.siblings.start_closing()
            await connection.send(GET)
            head = await connection.read_head()
            await connection.read_body()
            await curio.sleep(0.05)
            return find_header(head.headers, b'connection'), len(
                server.siblings
            )

    assert curio.run(main) == (b'close', 0)


ASKS = (
    b'GET / HTTP/1.0\r\n\r\n',
    b'GET / HTTP/1.1\r\nhost: x\r\n\r\n' * 2,
)


@pytest.mark.parametrize('asked', ASKS)
def test_answer_that_was_not_taken_in_is_seen_as_cut(asked: bytes) -> None:
    """What a caller did not take in must not look like the whole.

    Symptom: a part of an answer is taken for the whole, or the next answer
    of the connection for the rest of it.
    Sequence: a caller takes nothing in until the server gives it up, while
    the last part of its answer is written; then it reads.
    Cause: the protocol's state said that the answer had ended.
    """
    given_up = curio.Event()

    async def answer(exchange: Exchange) -> None:
        await exchange.read_body()
        await exchange.start(200)
        whole = (h11.Data(data=bytes(20_000_000)), h11.EndOfMessage())
        try:
            await exchange.send(whole)
        except ConnectionLost:
            await given_up.set()

    async def main() -> None:
        limits = LIMITS._replace(stall_seconds=0.1)
        async with Server(answer, limits) as server:
            sock = await curio.open_connection('127.0.0.1', server.port)
            async with sock:
                await sock.sendall(asked)
                await given_up.wait()
                await curio.timeout_after(5, read_all, sock)

    with pytest.raises(ConnectionResetError):
        curio.run(main)


async def read_all(sock: Any) -> None:
    while await sock.recv(1_000_000):
        """Only the end counts."""


#: More than a caller that does not read receives at once.
CUT_BYTES = 400_000
ASK = b'GET / HTTP/%b\r\nhost: x\r\n\r\n'


@pytest.mark.parametrize(
    ('version', 'expected'),
    [(b'1.1', (CUT_BYTES, 'closed')), (b'1.0', (None, 'reset'))],
)
def test_cut_answer_reaches_its_caller_as_far_as_it_was_sent(
    version: bytes, expected: tuple[int | None, str]
) -> None:
    """The last events of a cut stream were discarded on their way."""

    async def cut(exchange: Exchange) -> None:
        await exchange.read_body()
        await exchange.start(200)
        await exchange.write(b'x' * CUT_BYTES)
        raise ConnectionLost

    async def main() -> tuple[int, str]:
        async with Server(cut) as server:
            sock = curio.socket.socket()
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 8192)
            await sock.connect(('127.0.0.1', server.port))
            async with sock:
                await sock.sendall(
                    b'GET / HTTP/%b\r\nhost: x\r\n\r\n' % version
                )
                await curio.sleep(0.2)
                return await read_until_end(sock)

    received, ending = curio.run(main)
    assert (expected[0] and received, ending) == expected


async def read_until_end(sock: Any) -> tuple[int, str]:
    """Count the bytes of a body, and tell how the connection ended."""
    received = 0
    try:
        while piece := await sock.recv(1_000_000):
            assert not piece.endswith(b'\r\n0\r\n\r\n')
            received += piece.count(b'x')
    except ConnectionResetError:
        return received, 'reset'
    return received, 'closed'


def wrap_noise(noise: bytes) -> bytes:
    return b'POST / HTTP/1.1\r\nhost: x\r\n%b\r\n\r\n' % noise


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=300),
        st.binary(max_size=60).map(wrap_noise),
    )
)
def test_any_bytes_leave_the_server_serving(raw: bytes) -> None:
    async def main() -> bytes:
        async with Server(echo) as server:
            sock = await curio.open_connection('127.0.0.1', server.port)
            async with sock:
                await sock.sendall(raw)
                connection = await server.open()
                await connection.send(GET._replace(method='POST'), b'alive')
                await connection.read_head()
                body = await connection.read_body()
                await connection.close()
                return body

    assert curio.run(main) == b'alive'
