"""Outgoing connections to peers: one DEALER socket and one task each."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Final

import curio
import zmq

from ospreyford.peers.counters import PeerCounters
from ospreyford.peers.expiry import ClockSample
from ospreyford.peers.settings import PeerSettings
from ospreyford.peers.sockets import (
    Frames,
    open_socket,
    read_forever,
    read_ready,
    send_frames,
)

ResponseCallback = Callable[['PeerConnection', Frames], Awaitable[None]]

MAX_CLOCK_SAMPLES: Final = 512


class PeerConnection:
    """A connection to one peer.

    :param address: the peer, ``ip:port``.
    :param socket: a DEALER socket connected to it.
    :param on_message: called with the frames of each response.
    """

    def __init__(
        self,
        address: str,
        socket: zmq.Socket[bytes],
        on_message: ResponseCallback,
    ) -> None:
        self.address = address
        self.pending = 0
        self.used_at = time.monotonic()
        self.received_at = float('-inf')
        self.is_retired = False
        self._socket = socket
        self._on_message = on_message
        self._reader: curio.Task | None = None

    async def start(self) -> None:
        """Start the task that reads responses."""
        reader = read_forever(self._socket, self._handle_frames)
        self._reader = await curio.spawn(reader, daemon=True)

    async def send(self, payload: bytes) -> bool:
        """Send a request.

        :param payload: the envelope.
        :returns: whether it was queued.
        """
        self.used_at = time.monotonic()
        queued = send_frames(self._socket, [payload])
        await read_ready(self._socket, self._handle_frames)
        return queued

    async def close(self) -> None:
        """Cancel the reading task, which closes the socket."""
        if self._reader is not None:
            await self._reader.cancel(blocking=False)

    async def _handle_frames(self, frames: Frames) -> None:
        await self._on_message(self, frames)


class PeerConnections:
    """Open connections and the last clock sample of each peer.

    :param context: the node's ZeroMQ context.
    :param settings: connection limits.
    :param counters: the node's counters.
    """

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        settings: PeerSettings,
        counters: PeerCounters,
    ) -> None:
        self._counters = counters
        self._context = context
        self._settings = settings
        self._connections: OrderedDict[str, PeerConnection] = OrderedDict()
        self._clock_samples: OrderedDict[str, ClockSample] = OrderedDict()

    def __len__(self) -> int:
        return len(self._connections)

    async def acquire(
        self, address: str, on_message: ResponseCallback
    ) -> PeerConnection:
        """Return the connection to a peer, opening it if needed.

        :param address: the peer.
        :param on_message: called with the frames of each response.
        :returns: the connection.
        """
        connection = self._connections.get(address)
        if connection is not None:
            self._connections.move_to_end(address)
            return connection
        socket = open_socket(self._context, zmq.DEALER, self._settings)
        socket.connect(f'tcp://{address}')
        connection = PeerConnection(address, socket, on_message)
        self._connections[address] = connection
        self._counters.opened += 1
        await connection.start()
        if len(self._connections) > self._settings.link_limit:
            await self.retire(next(iter(self._connections.values())))
        return connection

    async def retire(self, connection: PeerConnection) -> None:
        """Retire a connection; it is closed when no request is pending on it.

        :param connection: the connection.
        """
        connection.is_retired = True
        if self._connections.get(connection.address) is connection:
            self._connections.pop(connection.address)
        await self.close_if_unused(connection)

    async def close_if_unused(self, connection: PeerConnection) -> None:
        """Close a retired connection without pending requests.

        :param connection: the connection.
        """
        if connection.is_retired and connection.pending == 0:
            await connection.close()

    async def retire_idle(self) -> None:
        """Retire the connections that exceeded the idle timeout."""
        oldest = time.monotonic() - self._settings.idle_seconds
        idle = [
            connection
            for connection in self._connections.values()
            if connection.used_at < oldest and connection.pending == 0
        ]
        while idle:
            await self.retire(idle.pop())

    async def close(self) -> None:
        """Close all connections without waiting for responses."""
        while self._connections:
            await self._connections.popitem()[1].close()

    def record_clock_sample(self, address: str, sample: ClockSample) -> None:
        """Store the clock sample of a peer.

        :param address: the peer.
        :param sample: the clock sample.
        """
        self._clock_samples[address] = sample
        self._clock_samples.move_to_end(address)
        if len(self._clock_samples) > MAX_CLOCK_SAMPLES:
            self._clock_samples.popitem(last=False)

    def get_clock_sample(self, address: str) -> ClockSample | None:
        """Return the clock sample of a peer.

        :param address: the peer.
        :returns: its last clock sample, or ``None``.
        """
        return self._clock_samples.get(address)
