"""One TCP connection that carries frames."""

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

#: Carries out a handshake, or leaves the connection as it is.
Handshake = Callable[['Socket'], Awaitable[Secured]]

READ_BYTES = 65_536
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 4_194_304

Received = TypeVar('Received')

_encoder = msgspec.msgpack.Encoder()
entry_decoder = msgspec.msgpack.Decoder(EntryFrame)
agent_decoder = msgspec.msgpack.Decoder(AgentFrame)


def encode_frames(*frames: Frame) -> bytes:
    """Encode frames for the wire.

    :param frames: any number of frames.
    :returns: each frame behind its length, 4 bytes, big-endian.
    """
    encoded = bytearray()
    for frame in frames:
        body = _encoder.encode(frame)
        encoded += len(body).to_bytes(LENGTH_BYTES, 'big')
        encoded += body
    return bytes(encoded)


class FrameReader(Generic[Received]):
    """Cuts received bytes into frames.

    :param decoder: the decoder of the frames that this side may receive.
    """

    def __init__(self, decoder: msgspec.msgpack.Decoder[Received]) -> None:
        self._decoder = decoder
        self._buffer = bytearray()

    def feed(self, received: bytes) -> None:
        """Take bytes from the connection.

        :param received: bytes in order of arrival.
        """
        self._buffer += received

    def is_empty(self) -> bool:
        """Tell whether every received byte was cut off as a frame.

        :returns: whether nothing is left.
        """
        return not self._buffer

    def next_frame(self) -> Received | None:
        """Cut off one frame.

        :returns: the frame, or ``None`` if it has not wholly arrived.
        :raises Malformed: the bytes are no frame of this protocol.
        """
        if len(self._buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[:LENGTH_BYTES], 'big')
        if size > MAX_FRAME_BYTES:
            raise Malformed(f'frame of {size} bytes')
        end = LENGTH_BYTES + size
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]  # noqa: WPS420 -- cut in place, not copied
        try:
            return self._decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as error:
            # Nested deeply enough, bytes exhaust the decoder's stack.
            raise Malformed(str(error)) from None


class FrameConnection(Generic[Received]):
    """Frames over one socket.

    :param sock: a connected curio socket.
    :param decoder: the decoder of the frames that this side may receive.
    :param names: names that the peer's certificate proves; ``None`` where
        nothing does.
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
        :raises Severed: the connection is gone.
        """
        if self._outlet.push(encode_frames(*frames)):
            return
        try:
            await self._outlet.drain()
        except OSError:
            raise Severed from None

    def certificate_allows(self, name: str) -> bool:
        """Tell whether the peer may call itself by a name.

        Symptom without this check: a process on a host that was replaced, or
        a stolen certificate of any host, answers for every back end.

        :param name: the name that it gave.
        :returns: whether its certificate has the name, or there is none.
        """
        return self._names is None or name in self._names

    def send_nowait(self, frame: Frame) -> bool:
        """Send a frame without waiting, as far as the kernel takes it.

        :param frame: the frame.
        :returns: whether nothing is left. If not, :meth:`send` must follow:
            it sends the rest first, or finds the connection broken.
        """
        return self._outlet.push(encode_frames(frame))

    def is_flushed(self) -> bool:
        """Tell whether the kernel has taken all that was sent.

        :returns: whether nothing is left.
        """
        return self._outlet.is_clear()

    def receive_nowait(self) -> Received | None:
        """Take the next frame without waiting.

        :returns: the frame, or ``None`` if it has not wholly arrived.
        :raises Malformed: the peer broke the protocol.
        """
        return self._reader.next_frame()

    async def receive(self) -> Received:
        """Wait for the next frame.

        :returns: the frame.
        :raises Severed: the connection is gone.
        :raises Malformed: the peer broke the protocol.
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

    def is_reusable(self) -> bool:
        """Tell whether the connection is open with nothing unread on it.

        :returns: whether a request may be sent on it.
        """
        return self._reader.is_empty() and not has_news(self._sock)

    async def close(self) -> None:
        """Close the socket."""
        self._closed = True
        await self._sock.close()

    def is_closed(self) -> bool:
        """Tell whether this side has closed the connection.

        :returns: whether :meth:`close` was called.
        """
        return self._closed


def wrap_entry_connection(sock: Socket) -> FrameConnection[EntryFrame]:
    """Wrap a socket that an agent accepted.

    :param sock: the accepted curio socket.
    :returns: a connection that receives an entry's frames.
    """
    return FrameConnection(sock, entry_decoder)


async def skip_handshake(sock: Socket) -> Secured:
    """Use a connection as it is.

    :param sock: a connected socket.
    :returns: the connection, without a proof of who is there.
    """
    return Secured(sock)


async def connect_to_agent(
    address: str,
    timeout: float,
    secure: Handshake = skip_handshake,
) -> FrameConnection[AgentFrame]:
    """Connect to an agent.

    :param address: the agent's data address, as ``ip:port``.
    :param timeout: seconds to wait for the connection.
    :param secure: carries out the handshake, if there is one.
    :returns: a connection that receives an agent's frames.
    :raises Unreachable: no connection; nothing was sent.
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
        secured = await secure(sock)
    except HandshakeFailed:
        raise Unreachable from None
    return FrameConnection(secured.sock, agent_decoder, secured.names)
