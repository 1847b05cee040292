"""A relay of curio and h11 and nothing else: the baseline of the bench.

It passes requests to the next port over kept connections and the answers
back as they come. It has no timeouts, limits, records, spans or metrics, and
an error ends the connection on which it came up.
"""

from __future__ import annotations

import socket as plain_socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio
import h11

from ospreyford.http.server import listen, port_of
from ospreyford.standins.process import (
    LOOPBACK,
    accept_forever,
    announce,
    read_options,
)

if TYPE_CHECKING:
    from curio.io import Socket

READ_BYTES = 65_536


@dataclass(frozen=True)
class RelayOptions:
    """Options of a relay; ``next_port`` is where it passes requests on."""

    next_port: int
    port: int = 0


class Link:
    """One connection; events are sent and read in batches.

    :param sock: a connected curio socket.
    :param role: ``h11.SERVER`` or ``h11.CLIENT``.
    """

    def __init__(self, sock: Socket, role: Any) -> None:
        self.parser = h11.Connection(role)
        self._sock = sock

    async def receive(self) -> list[Any]:
        """Read the events that have arrived, at least one.

        :returns: h11 events, up to the end of a message.
        """
        events: list[Any] = []
        while not events or not isinstance(events[-1], h11.EndOfMessage):
            event = self.parser.next_event()
            if event is h11.NEED_DATA and not events:
                self.parser.receive_data(await self._sock.recv(READ_BYTES))
                continue
            if event is h11.NEED_DATA:
                return events
            events.append(event)
            if isinstance(event, h11.ConnectionClosed):
                return events
        return events

    async def send(self, events: list[Any]) -> None:
        """Send events in one write.

        :param events: h11 events.
        """
        encoded = [self.parser.send(event) or b'' for event in events]
        await self._sock.sendall(b''.join(encoded))


class Relay:
    """One hop.

    :param options: where requests go.
    """

    def __init__(self, options: RelayOptions) -> None:
        self._next_port = options.next_port
        self._idle: list[Link] = []

    async def serve(self, sock: Socket) -> None:
        """Relay the requests of one connection.

        :param sock: the accepted socket; closed at the end.
        """
        caller = Link(sock, h11.SERVER)
        async with sock:
            while await self._relay(caller):
                caller.parser.start_next_cycle()

    async def _relay(self, caller: Link) -> bool:
        events = await caller.receive()
        if isinstance(events[0], h11.ConnectionClosed):
            return False
        onward = await self._take()
        await _copy(events, caller, onward)
        await _copy(await onward.receive(), onward, caller)
        onward.parser.start_next_cycle()
        self._idle.append(onward)
        return True

    async def _take(self) -> Link:
        if self._idle:
            return self._idle.pop()
        sock = await curio.open_connection(LOOPBACK, self._next_port)
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        return Link(sock, h11.CLIENT)


async def _copy(events: list[Any], source: Link, target: Link) -> None:
    await target.send(events)
    while not isinstance(events[-1], h11.EndOfMessage):
        events = await source.receive()
        await target.send(events)


async def _serve(options: RelayOptions) -> None:
    listener = listen(LOOPBACK, options.port)
    announce(port=port_of(listener))
    await accept_forever(listener, Relay(options).serve)


def main() -> None:
    """Run the relay."""
    curio.run(_serve, read_options(RelayOptions))


if __name__ == '__main__':
    main()
