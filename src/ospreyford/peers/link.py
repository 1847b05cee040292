"""Connections to the peers that were asked: one DEALER and one task each."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Final

import curio
import zmq

from ospreyford.peers.counters import PeerCounters
from ospreyford.peers.freshness import Echo
from ospreyford.peers.settings import PeerSettings
from ospreyford.peers.sockets import (
    Frames,
    open_socket,
    read_forever,
    read_ready,
    send_frames,
)

LinkAccept = Callable[['Link', Frames], Awaitable[None]]

#: Peers whose clock is remembered, also without a connection.
ECHO_LIMIT: Final = 512


class Link:
    """A connection to one peer.

    :param address: the peer, ``ip:port``.
    :param socket: a DEALER connected to it.
    :param accept: gets each answer's frames.
    """

    def __init__(
        self,
        address: str,
        socket: zmq.Socket[bytes],
        accept: LinkAccept,
    ) -> None:
        self.address = address
        self.pending = 0
        self.used_at = time.monotonic()
        self.heard_at = float('-inf')
        self.is_retired = False
        self._socket = socket
        self._accept = accept
        self._reader: curio.Task | None = None

    async def start(self) -> None:
        """Start the task that reads answers."""
        reader = read_forever(self._socket, self._accept_frames)
        self._reader = await curio.spawn(reader, daemon=True)

    async def send(self, payload: bytes) -> bool:
        """Send a question.

        :param payload: the envelope.
        :returns: whether the queue took it.
        """
        self.used_at = time.monotonic()
        taken = send_frames(self._socket, [payload])
        await read_ready(self._socket, self._accept_frames)
        return taken

    async def close(self) -> None:
        """End the reading task, which closes the socket."""
        if self._reader is not None:
            await self._reader.cancel(blocking=False)

    async def _accept_frames(self, frames: Frames) -> None:
        await self._accept(self, frames)


class Links:
    """The connections in use, and the clocks last heard from peers.

    :param context: the node's ZeroMQ context.
    :param settings: the bounds.
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
        self._links: OrderedDict[str, Link] = OrderedDict()
        self._echoes: OrderedDict[str, Echo] = OrderedDict()

    def __len__(self) -> int:
        return len(self._links)

    async def take(self, address: str, accept: LinkAccept) -> Link:
        """Find or open the connection to a peer.

        :param address: the peer.
        :param accept: gets the answers' frames.
        :returns: the connection.
        """
        link = self._links.get(address)
        if link is not None:
            self._links.move_to_end(address)
            return link
        socket = open_socket(self._context, zmq.DEALER, self._settings)
        socket.connect(f'tcp://{address}')
        link = Link(address, socket, accept)
        self._links[address] = link
        self._counters.opened += 1
        await link.start()
        if len(self._links) > self._settings.link_limit:
            await self.retire(next(iter(self._links.values())))
        return link

    async def retire(self, link: Link) -> None:
        """Take a connection out of use; the next question opens a new one.

        It is closed once nobody waits for an answer on it.

        :param link: the connection.
        """
        link.is_retired = True
        if self._links.get(link.address) is link:
            self._links.pop(link.address)
        await self.close_if_done(link)

    async def close_if_done(self, link: Link) -> None:
        """Close a retired connection that nobody waits on.

        :param link: the connection.
        """
        if link.is_retired and link.pending == 0:
            await link.close()

    async def retire_idle(self) -> None:
        """Retire the connections unused for longer than the settings allow."""
        oldest = time.monotonic() - self._settings.idle_seconds
        idle = [
            link
            for link in self._links.values()
            if link.used_at < oldest and link.pending == 0
        ]
        while idle:
            await self.retire(idle.pop())

    async def close(self) -> None:
        """Close every connection at once."""
        while self._links:
            await self._links.popitem()[1].close()

    def note_echo(self, address: str, echo: Echo) -> None:
        """Remember a peer's clock.

        :param address: the peer.
        :param echo: its clock.
        """
        self._echoes[address] = echo
        self._echoes.move_to_end(address)
        if len(self._echoes) > ECHO_LIMIT:
            self._echoes.popitem(last=False)

    def echo(self, address: str) -> Echo | None:
        """Recall a peer's clock.

        :param address: the peer.
        :returns: its clock as last heard, if ever.
        """
        return self._echoes.get(address)
