"""The server's side of an HTTP/1.1 connection: one task each."""

from __future__ import annotations

import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import curio
import h11

from ospreyford.http.body import IncomingBody
from ospreyford.http.connections import (
    MILLISECONDS,
    OpenConnections,
    Origin,
)
from ospreyford.http.errors import (
    BadMessage,
    ConnectionLost,
    HttpError,
    TooSlow,
)
from ospreyford.http.hangup import Hangup
from ospreyford.http.head import decode_head
from ospreyford.http.message import Headers, Limits, Request
from ospreyford.http.outgoing import Outgoing
from ospreyford.http.pacing import ReadingAllowance
from ospreyford.http.polling import has_news
from ospreyford.http.resets import reset_on_close

if TYPE_CHECKING:
    from curio.io import Socket

#: What a caller has sent beyond the current event stays in memory meanwhile.
READ_BYTES = 8192
BACKLOG = 512
GO_ON = h11.InformationalResponse(status_code=100, headers=[])
HEAD = b'HEAD'
#: With it an answer has a length or chunks: its end is marked.
HTTP_VERSION = b'1.1'


class Exchange:
    """One request on a connection, and the answer to it.

    :param connection: the connection that the request came on.
    :param request: the request's head.
    """

    def __init__(self, connection: ServerConnection, request: Request) -> None:
        self.request = request
        self.origin = connection.tell_origin()
        self.started = False
        self._connection = connection

    def is_too_late(self) -> bool:
        """Tell whether the server takes no more requests.

        To be asked when the request is whole: its body may come long after its
        head.

        :returns: whether this one is to be refused.
        """
        return not self._connection.siblings.taking

    async def read_body(self) -> bytes:
        """Read the whole body.

        :returns: the body's bytes.
        :raises BodyTooLarge: beyond the limit of the connection.
        :raises BufferFull: unfinished bodies need too much memory.
        :raises TooSlow: the body took longer than the limit.
        :raises ConnectionLost: the caller went away.
        """
        return await self._connection.read_body()

    async def respond(
        self,
        status: int,
        body: bytes,
        headers: Headers = (),
    ) -> None:
        """Send a whole answer.

        :param status: the HTTP status.
        :param body: the body's bytes; its length is announced.
        :param headers: further header fields.
        """
        length = (b'content-length', str(len(body)).encode())
        head = self.make_head(status, (*headers, length))
        content = h11.Data(data=body)
        if self.request.method == 'HEAD':
            content = h11.Data(data=b'')
        await self.send((head, content, h11.EndOfMessage()))

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the head of an answer; its body follows in pieces.

        :param status: the HTTP status.
        :param headers: header fields; without a length the body is chunked.
        """
        await self._connection.send(self.make_head(status, headers))

    def make_head(self, status: int, headers: Headers) -> h11.Response:
        """Make the head of an answer; from now on it counts as started.

        :param status: the HTTP status.
        :param headers: header fields; without a length the body is chunked.
        :returns: the head, to be handed to :meth:`send`.
        """
        self.started = True
        fields = list(headers)
        if self._connection.siblings.closing:
            fields.append((b'connection', b'close'))
        return h11.Response(status_code=status, headers=fields)

    async def send(self, events: Sequence[Any]) -> None:
        """Send parts of an answer in one write.

        :param events: h11 events, in order.
        """
        await self._connection.send(*events)

    def add(self, events: Sequence[Any]) -> None:
        """Add parts of an answer, to be written by :meth:`push`.

        :param events: h11 events, in order.
        """
        self._connection.outgoing.add(*events)

    async def push(self, within: float) -> bool:
        """Write what was added, as far as the caller takes it in.

        :param within: seconds to wait for the caller at most.
        :returns: whether nothing is left.
        :raises ConnectionLost: the caller went away, or does not read.
        """
        return await self._connection.outgoing.push(within)

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body.

        :param piece: the bytes; an empty piece sends nothing.
        """
        if piece:
            await self._connection.send(h11.Data(data=piece))

    async def finish(self) -> None:
        """Send the mark that the answer is whole."""
        await self._connection.send(h11.EndOfMessage())

    def is_abandoned(self) -> bool:
        """Tell whether the caller has closed its side of the connection.

        :returns: whether nobody waits for the answer any more.
        """
        return self._connection.hangup.is_known()

    async def wait_for_hangup(self) -> None:
        """Wait until the caller has closed its side of the connection.

        Only while the request's body is read and no other task reads.
        """
        await self._connection.hangup.wait()


class ServerConnection:
    """One caller's connection.

    :param sock: the accepted curio socket.
    :param limits: what the connection may cost.
    :param siblings: the server's open connections; ``None`` where it keeps
        no count and stops without waiting for them.
    """

    def __init__(
        self,
        sock: Socket,
        limits: Limits,
        siblings: OpenConnections | None = None,
    ) -> None:
        self.busy = False
        self._opened_at = time.monotonic()
        self._resting_since = self._opened_at
        self._requests = 0
        self.siblings = OpenConnections() if siblings is None else siblings
        self._allowance = ReadingAllowance(self.siblings.reading.pacer)
        self._sock = sock
        # A token that waits for the acknowledgement of the one before it
        # comes up to 40 ms late.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._limits = limits
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.head_bytes,
        )
        self.hangup = Hangup(sock)
        self.outgoing = Outgoing(sock, self._parser, limits.stall_seconds)

    async def next_exchange(self) -> Exchange | None:
        """Read the next request's head.

        :returns: the exchange, or ``None`` when the caller is done.
        :raises BadMessage: malformed or oversized head.
        :raises TooSlow: the head did not arrive in time.
        """
        if not await self._wait_for_start():
            return None
        event = await self._next_event('head', self._limits.head_seconds)
        if not isinstance(event, h11.Request):
            return None
        self.outgoing.encoder.may_have_body = event.method != HEAD
        self._requests += 1
        return Exchange(self, decode_head(event, self._limits))

    async def read_body(self) -> bytes:
        """Read the whole body of the current request.

        :returns: the body's bytes.
        :raises BodyTooLarge: beyond the limit.
        :raises BufferFull: unfinished bodies need too much memory.
        :raises TooSlow: the body took longer than the limit.
        :raises ConnectionLost: the caller went away.
        """
        with self.siblings.reading.buffers.open() as buffer:
            body = IncomingBody(self._limits.body_bytes, buffer)
            # Most bodies came with their heads: only one that has not wholly
            # arrived has to be waited for, and needs a time limit.
            while self._allowance.units > 0:
                event = self._parse_event()
                if event is h11.NEED_DATA:
                    break
                if body.add(event):
                    return body.join()
            limit = self._limits.body_seconds
            try:
                async with curio.timeout_after(limit):
                    await body.collect(self._read_event)
            except curio.TaskTimeout:
                raise TooSlow('body', limit) from None
            return body.join()

    async def refuse(self, status: int, body: bytes, headers: Headers) -> None:
        """Answer what is no request, where the protocol still allows it.

        :param status: HTTP status.
        :param body: the body's bytes.
        :param headers: header fields.
        """
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        fields = [
            *headers,
            (b'content-length', str(len(body)).encode()),
            (b'connection', b'close'),
        ]
        try:
            await self.send(
                h11.Response(status_code=status, headers=fields),
                h11.Data(data=body),
                h11.EndOfMessage(),
            )
        except ConnectionLost:
            return

    async def send(self, *events: Any) -> None:
        """Send h11 events in one write.

        :param events: responses, pieces of data or the end mark.
        :raises ConnectionLost: the caller went away, or does not read.
        """
        self.outgoing.add(*events)
        await self.outgoing.push()

    def reset_if_cut(self) -> None:
        """Have the close break the connection under an unfinished answer.

        To a caller of HTTP/1.0 an orderly close is the end mark: it would
        take half an answer for a whole one. To others it is not, and a reset
        would discard what is still on its way to them.
        """
        state = self._parser.our_state
        may_look_whole = (
            state is h11.SEND_BODY
            and self._parser.their_http_version != HTTP_VERSION
        )
        if may_look_whole or state is h11.ERROR or not self.outgoing.is_whole():
            reset_on_close(self._sock)

    def tell_origin(self) -> Origin:
        """Tell what is known of the connection as a request comes on it.

        :returns: the connection's age, rest and requests.
        """
        now = time.monotonic()
        return Origin(
            number=self._requests,
            open_ms=int((now - self._opened_at) * MILLISECONDS),
            rest_ms=int((now - self._resting_since) * MILLISECONDS),
            closing_ms=self.siblings.tell_closing_ms(),
        )

    def start_next_cycle(self) -> bool:
        """Make ready for another request.

        :returns: whether the connection can carry one.
        """
        # A request without a body still has its end mark to be read; left
        # there it would cost the caller its connection.
        if self._parser.their_state is h11.SEND_BODY:
            with suppress(h11.RemoteProtocolError):
                self._parser.next_event()
        # After an end mark that was not written the next answer would be
        # read as the rest of this one.
        reusable = (
            self.outgoing.is_whole()
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        if reusable:
            self._parser.start_next_cycle()
            self._allowance.renew()
            self._resting_since = time.monotonic()
            self.busy = bool(self._parser.trailing_data[0])
        return reusable

    async def _wait_for_start(self) -> bool:
        if self._parser.trailing_data[0]:
            return True
        if not self.siblings.taking and not has_news(self._sock):
            # Only what is arriving already is read, and refused.
            return False
        try:
            async with curio.timeout_after(self._limits.idle_seconds):
                return await self._feed()
        except curio.TaskTimeout:
            return False

    async def _next_event(self, part: str, seconds: float) -> Any:
        event = self._parse_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            async with curio.timeout_after(seconds):
                return await self._read_event()
        except curio.TaskTimeout:
            raise TooSlow(part, seconds) from None

    async def _read_event(self) -> Any:
        if self._allowance.units <= 0:
            await self._allowance.settle()
        event = self._parse_event()
        while event is h11.NEED_DATA:
            if self._parser.they_are_waiting_for_100_continue:
                await self.send(GO_ON)
            await self._feed()
            event = self._parse_event()
        return event

    def _parse_event(self) -> Any:
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise BadMessage(error.error_status_hint, str(error)) from None
        self._allowance.charge(len(getattr(event, 'data', b'')))
        return event

    async def _feed(self) -> bool:
        asked_at = time.monotonic()
        try:
            received = await self._sock.recv(READ_BYTES)
        except OSError:
            received = b''
        self._allowance.refill(time.monotonic() - asked_at)
        self._parser.receive_data(received)
        self.busy = self.busy or bool(received)
        return bool(received)


#: Serves one request; it must answer or raise.
RequestHandler = Callable[[Exchange], Awaitable[None]]

#: Told of each connection that ended in an error, for the counters.
ErrorHandler = Callable[[HttpError, ServerConnection], Awaitable[None]]


async def serve_connection(
    sock: Socket,
    limits: Limits,
    handler: RequestHandler,
    on_error: ErrorHandler | None = None,
    siblings: OpenConnections | None = None,
) -> None:
    """Serve the requests of one connection, one after the other.

    :param sock: the accepted socket; closed at the end.
    :param limits: what the connection may cost.
    :param handler: called once for each request.
    :param on_error: called with a broken message, to count and answer it.
    :param siblings: the server's open connections, if it keeps count.
    """
    connection = ServerConnection(sock, limits, siblings)
    connection.siblings.add(connection)
    async with sock:
        try:
            await _serve_exchanges(connection, handler)
        except HttpError as error:
            if on_error is not None:
                await on_error(error, connection)
        finally:
            connection.reset_if_cut()
            connection.siblings.discard(connection)


async def _serve_exchanges(
    connection: ServerConnection,
    handler: RequestHandler,
) -> None:
    while True:
        exchange = await connection.next_exchange()
        if exchange is None:
            return
        await handler(exchange)
        if not connection.start_next_cycle():
            return
        # The next request may be here already, and need nothing else.
        await curio.sleep(0)


def listen(host: str, port: int) -> Socket:
    """Open a listening socket.

    :param host: the IP number to bind.
    :param port: the port; 0 lets the kernel choose.
    :returns: a curio socket.
    :raises OSError: the address is taken or not ours.
    """
    # With address reuse the kernel may choose a port that another socket
    # has bound but does not listen on yet; listening then fails.
    return curio.tcp_server_socket(
        host,
        port,
        backlog=BACKLOG,
        reuse_address=bool(port),
    )


def port_of(sock: Socket) -> int:
    """Tell the port that a socket is bound to.

    :param sock: a bound socket.
    :returns: the port number.
    """
    return int(sock.getsockname()[1])
