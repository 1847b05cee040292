"""The client's side of an HTTP/1.1 connection."""

from __future__ import annotations

import socket
import time
from collections.abc import AsyncGenerator
from typing import TYPE_CHECKING, Any

import curio
import h11

from ospreyford.http.errors import (
    BadMessage,
    ConnectionLost,
    ConnectionRefused,
    Unsendable,
)
from ospreyford.http.message import Request, Response
from ospreyford.http.pacing import ReadingAllowance
from ospreyford.http.polling import has_news
from ospreyford.http.reading import DEFAULT_RESOURCES, ReadingResources
from ospreyford.http.resets import reset_on_close

if TYPE_CHECKING:
    from curio.io import Socket

#: What a server has sent beyond the current event stays in memory meanwhile.
READ_BYTES = 8192


class ClientConnection:
    """One connection to a server; one request at a time.

    :param sock: a connected curio socket.
    :param resources: shared with other connections.
    """

    def __init__(
        self, sock: Socket, resources: ReadingResources = DEFAULT_RESOURCES
    ) -> None:
        self._sock = sock
        self._buffers = resources.buffers
        #: Limits the work that the current answer causes.
        self.allowance = ReadingAllowance(resources.pacer)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._parser = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        timeout: float,
        resources: ReadingResources = DEFAULT_RESOURCES,
    ) -> ClientConnection:
        """Connect.

        :param host: the server's IP number.
        :param port: the server's port.
        :param timeout: seconds to wait for the connection.
        :param resources: shared with other connections.
        :returns: the open connection.
        :raises ConnectionRefused: no connection; nothing was sent.
        """
        try:
            sock = await curio.timeout_after(
                timeout, curio.open_connection(host, port)
            )
        except (OSError, curio.TaskTimeout):
            raise ConnectionRefused from None
        return cls(sock, resources)

    async def send(self, request: Request, body: bytes = b'') -> None:
        """Send a whole request.

        :param request: the head; ``host`` must be among its fields.
        :param body: the body's bytes; its length is announced.
        :raises Unsendable: not a valid request; nothing was sent.
        :raises ConnectionLost: the request may or may not have arrived.
        """
        encoded = self._encode(request, body)
        try:
            await self._sock.sendall(encoded)
        except OSError:
            raise ConnectionLost from None

    async def read_head(self) -> Response:
        """Wait for the answer's head.

        :returns: status and header fields.
        :raises ConnectionLost: the server went away before it.
        :raises BadMessage: the server broke the protocol.
        """
        event = await self._read_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._read_event()
        if not isinstance(event, h11.Response):
            raise ConnectionLost
        return Response(event.status_code, tuple(event.headers))

    async def read_pieces(self) -> AsyncGenerator[bytes, None]:
        """Read the answer's body as it comes.

        :returns: an iterator of pieces that ends with the answer.
        :raises ConnectionLost: the body was cut.
        :raises BadMessage: the server broke the protocol.
        """
        piece = await self.read_piece()
        while piece is not None:
            yield piece
            piece = await self.read_piece()

    async def read_piece(self) -> bytes | None:
        """Read the next piece of the answer's body.

        A call that is cancelled loses nothing; the next one goes on.

        :returns: the piece; ``None`` at the end of the answer.
        :raises ConnectionLost: the body was cut.
        :raises BadMessage: the server broke the protocol.
        """
        event = await self._read_event()
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise ConnectionLost
        return bytes(event.data)

    async def read_body(self) -> bytes:
        """Read the answer's whole body.

        :returns: the body's bytes.
        :raises ConnectionLost: the body was cut.
        :raises BufferFull: unfinished answers need too much memory.
        """
        with self._buffers.open() as buffer:
            piece = await self.read_piece()
            while piece is not None:
                buffer.add(piece)
                piece = await self.read_piece()
            return buffer.take_all()

    def start_next_cycle(self) -> bool:
        """Make ready for another request.

        :returns: whether the connection can carry one. One with an unread
            answer never can: the next caller would be given that answer.
        """
        reusable = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        if reusable:
            self._parser.start_next_cycle()
            self.allowance.renew()
        return reusable

    def is_quiet(self) -> bool:
        """Tell whether the connection is open with nothing unread on it.

        :returns: whether a request may be sent on it.
        """
        return not (self._parser.trailing_data[0] or has_news(self._sock))

    async def close(self, *, resets: bool = False) -> None:
        """Close the connection.

        :param resets: whether to reset it, and to drop what the server has not
            received.
        """
        if resets:
            reset_on_close(self._sock)
        await self._sock.close()

    def _encode(self, request: Request, body: bytes) -> bytes:
        length = (b'content-length', str(len(body)).encode())
        fields = [*request.headers, length]
        try:
            head = h11.Request(
                method=request.method,
                target=request.target,
                headers=fields,
            )
            encoded = self._parser.send(head) or b''
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise Unsendable(str(error)) from None
        encoded += self._parser.send(h11.Data(data=body)) or b''
        return encoded + (self._parser.send(h11.EndOfMessage()) or b'')

    async def _read_event(self) -> Any:
        while True:
            if self.allowance.units <= 0:
                await self.allowance.settle()
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise self._explain(error) from None
            if event is not h11.NEED_DATA:
                self.allowance.charge(len(getattr(event, 'data', b'')))
                return event
            await self._feed()

    async def _feed(self) -> None:
        asked_at = time.monotonic()
        try:
            received = await self._sock.recv(READ_BYTES)
        except OSError:
            raise ConnectionLost from None
        self.allowance.refill(time.monotonic() - asked_at)
        self._parser.receive_data(received)

    def _explain(
        self, error: h11.RemoteProtocolError
    ) -> BadMessage | ConnectionLost:
        # h11 reports a body that ends early as a protocol error; for the
        # caller that is a cut answer, not a malformed one.
        if self._parser.trailing_data[1]:
            return ConnectionLost()
        return BadMessage(error.error_status_hint, str(error))


async def fetch(
    address: tuple[str, int],
    request: Request,
    body: bytes = b'',
    timeout: float = 2.0,
) -> tuple[Response, bytes]:
    """Send one request on a fresh connection and read the whole answer.

    :param address: the server's IP number and port.
    :param request: the head; ``host`` is added.
    :param body: the body's bytes.
    :param timeout: seconds for everything.
    :returns: the answer's head and body.
    :raises ConnectionRefused: nothing was sent.
    :raises ConnectionLost: cut, or not whole in time.
    :raises BadMessage: the server broke the protocol.
    """
    try:
        answer: tuple[Response, bytes] = await curio.timeout_after(
            timeout, _fetch(address, request, body, timeout)
        )
    except curio.TaskTimeout:
        raise ConnectionLost from None
    return answer


async def _fetch(
    address: tuple[str, int],
    request: Request,
    body: bytes,
    timeout: float,
) -> tuple[Response, bytes]:
    connection = await ClientConnection.open(*address, timeout)
    host = (b'host', ':'.join(map(str, address)).encode())
    framed = request._replace(headers=(host, *request.headers))
    try:
        await connection.send(framed, body)
        head = await connection.read_head()
        return head, await connection.read_body()
    finally:
        await connection.close()
