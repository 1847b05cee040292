"""ZeroMQ sockets under curio.

A ZeroMQ socket's file descriptor is edge-triggered: it tells that something
changed, once. A reader that waits on it without having read until nothing
was left would wait for ever beside waiting messages. So everything here
reads until empty, and does so after each send too, because a send may
swallow the edge.
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

#: Messages read before other tasks get a turn; a flood would starve them.
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
    """Open a socket with bounded queues that never holds up a close.

    :param context: the node's context.
    :param kind: the socket's type.
    :param settings: the bounds.
    :returns: the socket, neither bound nor connected.
    """
    socket = context.socket(kind)
    # Without linger 0 the process would hang at exit on unsent messages.
    socket.set(zmq.LINGER, 0)
    socket.set(zmq.SNDHWM, settings.queue_messages)
    socket.set(zmq.RCVHWM, settings.queue_messages)
    socket.set(zmq.MAXMSGSIZE, settings.message_bytes)
    socket.set(zmq.BACKLOG, LISTEN_BACKLOG)
    socket.set(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    # A peer that vanished without a word leaves its connection open on this
    # side for ever; keepalive lets the kernel end it.
    socket.set(zmq.TCP_KEEPALIVE, 1)
    socket.set(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_SECONDS)
    socket.set(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_SECONDS)
    socket.set(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_COUNT)
    return socket


def send_frames(socket: zmq.Socket[bytes], frames: Frames) -> bool:
    """Send without waiting.

    :param socket: the socket.
    :param frames: the message's frames.
    :returns: whether the queue took the message.
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
    """Hand on every message that is ready.

    :param socket: the socket.
    :param accept: gets each message's frames.
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
    """Hand on messages until cancelled, then close the socket.

    :param socket: the socket.
    :param accept: gets each message's frames.
    """
    try:
        while not socket.closed:
            await read_ready(socket, on_message)
            await _read_wait(socket.get(zmq.FD))
    finally:
        socket.close(linger=0)
