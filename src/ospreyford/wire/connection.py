"""Encoding of frames and the TCP connections that carry them."""

from __future__ import annotations

import socket as plain_socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Generic, TypeVar

import curio
import msgspec

from ospreyford.http.outlet import Outlet
from ospreyford.http.polling import has_news
from ospreyford.security.errors import HandshakeFailed
from ospreyford.security.handshake import Secured
from ospreyford.wire.errors import Malformed, Severed, Unreachable
from ospreyford.wire.frame import AgentFrame, EntryFrame, Frame

if TYPE_CHECKING:
    from curio.io import Socket

#: Performs a handshake on a connected socket, if one is required.
Handshake = Callable[['Socket'], Awaitable[Secured]]

READ_BYTES = 65_536
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4_194_304

Received = TypeVar('Received')

_encoder = msgspec.msgpack.Encoder()
entry_decoder = msgspec.msgpack.Decoder(EntryFrame)
agent_decoder = msgspec.msgpack.Decoder(AgentFrame)


def encode_frames(*frames: Frame) -> bytes:
    """Encode frames with their length prefixes.

    :param frames: any number of frames.
    :returns: each frame after its length, 4 bytes, big-endian.
    """
    encoded = bytearray()
    for frame in frames:
        body = _encoder.encode(frame)
        encoded += len(body).to_bytes(LENGTH_BYTES, 'big')
        encoded += body
    return bytes(encoded)


class FrameReader(Generic[Received]):
    """Splits received bytes into frames.

    :param decoder: the decoder of the frames that this side may receive.
    """

    def __init__(self, decoder: msgspec.msgpack.Decoder[Received]) -> None:
        self._decoder = decoder
        self._buffer = bytearray()

    def feed(self, received: bytes) -> None:
        """Append received bytes to the buffer.

        :param received: bytes in order of arrival.
        """
        self._buffer += received

    def is_empty(self) -> bool:
        """Check whether the buffer is empty.

        :returns: whether no unread bytes are left.
        """
        return not self._buffer

    def next_frame(self) -> Received | None:
        """Remove the next frame from the buffer.

        :returns: the frame, or ``None`` if it is incomplete.
        :raises Malformed: the bytes are not a valid frame.
        """
        if len(self._buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[:LENGTH_BYTES], 'big')
        if size > MAX_FRAME_BYTES:
            raise Malformed(
                f'frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}'
            )
        end = LENGTH_BYTES + size
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]  # noqa: WPS420 -- avoids a copy
        try:
            return self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as error:
            # Deeply nested input raises RecursionError.
            raise Malformed(str(error)) from None


class FrameConnection(Generic[Received]):
    """Sends and receives frames on one socket.

    :param sock: a connected curio socket.
    :param decoder: the decoder of the frames that this side may receive.
    :param names: names in the peer's certificate; ``None`` without one.
    """

    def __init__(
        self,
        sock: Socket,
        decoder: msgspec.msgpack.Decoder[Received],
        names: frozenset[str] | None = None,
    ) -> None:
        self._closed = False
        self._sock = sock
        self._names = names
        self._outlet = Outlet(sock)
        self._reader = FrameReader(decoder)
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)

    async def send(self, *frames: Frame) -> None:
        """Send frames in one write.

        :param frames: the frames, in order.
        :raises Severed: the connection was lost.
        """
        if self._outlet.push(encode_frames(*frames)):
            return
        try:
            await self._outlet.drain()
        except OSError:
            raise Severed from None

    def certificate_allows(self, name: str) -> bool:
        """Check a claimed name, so that a host cannot impersonate a backend.

        :param name: the name that the peer claims.
        :returns: whether the certificate has the name, or there is none.
        """
        return self._names is None or name in self._names

    def send_nowait(self, frame: Frame) -> bool:
        """Send a frame without blocking.

        :param frame: the frame.
        :returns: whether it was sent completely. If not, :meth:`send` must
            follow to send the rest or raise the error.
        """
        return self._outlet.push(encode_frames(frame))

    def is_flushed(self) -> bool:
        """Check whether the output buffer is empty.

        :returns: whether all data was passed to the kernel.
        """
        return self._outlet.is_clear()

    def receive_nowait(self) -> Received | None:
        """Return the next buffered frame without blocking.

        :returns: the frame, or ``None`` if it is incomplete.
        :raises Malformed: the peer sent an invalid frame.
        """
        return self._reader.next_frame()

    async def receive(self) -> Received:
        """Wait for the next frame.

        :returns: the frame.
        :raises Severed: the connection was lost.
        :raises Malformed: the peer sent an invalid frame.
        """
        while True:
            frame = self._reader.next_frame()
            if frame is not None:
                return frame
            try:
                received = await self._sock.recv(READ_BYTES)
            except OSError:
                raise Severed from None
            if not received:
                raise Severed
            self._reader.feed(received)
            if len(received) == READ_BYTES:
                # More is there: the next read would return at once.
                await curio.sleep(0)

    def is_reusable(self) -> bool:
        """Check whether the connection is open without unread data.

        :returns: whether a request may be sent on it.
        """
        return self._reader.is_empty() and not has_news(self._sock)

    async def close(self) -> None:
        """Close the socket."""
        self._closed = True
        await self._sock.close()

    def is_closed(self) -> bool:
        """Check whether this side has closed the connection.

        :returns: whether :meth:`close` was called.
        """
        return self._closed


def wrap_entry_connection(sock: Socket) -> FrameConnection[EntryFrame]:
    """Wrap a socket accepted by an agent.

    :param sock: the accepted socket.
    :returns: a connection that receives frames of entries.
    """
    return FrameConnection(sock, entry_decoder)


async def skip_handshake(sock: Socket) -> Secured:
    """Use a connection without a handshake.

    :param sock: a connected socket.
    :returns: the connection, without peer authentication.
    """
    return Secured(sock)


async def connect_to_agent(
    address: str,
    timeout: float,
    handshake: Handshake = skip_handshake,
) -> FrameConnection[AgentFrame]:
    """Connect to an agent.

    :param address: the agent's data address, as ``ip:port``.
    :param timeout: connect timeout in seconds.
    :param handshake: performs the handshake.
    :returns: a connection that receives frames of agents.
    :raises Unreachable: the connection could not be opened.
    """
    host, _, port = address.rpartition(':')
    try:
        sock = await curio.timeout_after(
            timeout,
            curio.open_connection(host, int(port)),
        )
    except (OSError, curio.TaskTimeout):
        raise Unreachable from None
    try:
        secured = await handshake(sock)
    except HandshakeFailed:
        raise Unreachable from None
    return FrameConnection(secured.sock, agent_decoder, secured.names)
