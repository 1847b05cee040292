"""ZeroMQ sockets under curio.

The file descriptor of a ZeroMQ socket is edge-triggered, and a send may
consume the event. Sockets are therefore read until empty, also after each
send.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import curio
import zmq

# curio has no public call that waits for a bare file descriptor.
from curio.traps import _read_wait  # noqa: WPS450

from ospreyford.peers.settings import PeerSettings

Frames = list[bytes]
FramesCallback = Callable[[Frames], Awaitable[None]]

#: Messages read before yielding to other tasks.
MAX_MESSAGES_PER_TURN: Final = 64
LISTEN_BACKLOG: Final = 512
CONNECT_TIMEOUT_MS: Final = 2000
KEEPALIVE_IDLE_SECONDS: Final = 60
KEEPALIVE_INTERVAL_SECONDS: Final = 20
KEEPALIVE_COUNT: Final = 3


def open_socket(
    context: zmq.Context[zmq.Socket[bytes]],
    kind: zmq.SocketType,
    settings: PeerSettings,
) -> zmq.Socket[bytes]:
    """Open a socket with bounded queues and without linger.

    :param context: the node's context.
    :param kind: the socket's type.
    :param settings: queue and message limits.
    :returns: the socket, neither bound nor connected.
    """
    socket = context.socket(kind)
    # Otherwise unsent messages would block the exit of the process.
    socket.set(zmq.LINGER, 0)
    socket.set(zmq.SNDHWM, settings.queue_messages)
    socket.set(zmq.RCVHWM, settings.queue_messages)
    socket.set(zmq.MAXMSGSIZE, settings.message_bytes)
    socket.set(zmq.BACKLOG, LISTEN_BACKLOG)
    socket.set(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    # Lets the kernel close connections to peers that vanished.
    socket.set(zmq.TCP_KEEPALIVE, 1)
    socket.set(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_SECONDS)
    socket.set(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_SECONDS)
    socket.set(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_COUNT)
    return socket


def send_frames(socket: zmq.Socket[bytes], frames: Frames) -> bool:
    """Send a message without blocking.

    :param socket: the socket.
    :param frames: the message's frames.
    :returns: whether the message was queued.
    """
    if socket.closed:
        return False
    try:
        socket.send_multipart(frames, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True


async def read_ready(
    socket: zmq.Socket[bytes], on_message: FramesCallback
) -> None:
    """Read all messages that are ready.

    :param socket: the socket.
    :param on_message: called with the frames of each message.
    """
    read_count = 0
    while not socket.closed and int(socket.get(zmq.EVENTS)) & zmq.POLLIN:
        await on_message(socket.recv_multipart(zmq.NOBLOCK))
        read_count += 1
        if read_count % MAX_MESSAGES_PER_TURN == 0:
            await curio.sleep(0)


async def read_forever(
    socket: zmq.Socket[bytes], on_message: FramesCallback
) -> None:
    """Read messages until cancelled, then close the socket.

    :param socket: the socket.
    :param on_message: called with the frames of each message.
    """
    try:
        while not socket.closed:
            await read_ready(socket, on_message)
            await _read_wait(socket.get(zmq.FD))
    finally:
        socket.close(linger=0)
