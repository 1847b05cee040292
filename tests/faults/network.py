"""A network between an entry and an agent that fails as it is told.

It forwards whole frames, so that a fault can hit one named frame: lost,
late, doubled, overtaken by the next, or the last one that gets through before
the connection goes silent, is cut in one direction or breaks.
"""

from __future__ import annotations

import socket as plain_socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import curio
import msgspec
from curio.io import Socket

from ospreyford.http.server import listen, port_of
from tests.fakes.loopback import next_address

LENGTH_BYTES = 4


class Step(StrEnum):
    """A frame of the request path, by its tag on the wire."""

    greeting = 'Greeting'
    start = 'Start'
    opened = 'Opened'
    head = 'Head'
    piece = 'Piece'
    end = 'End'
    follow = 'Follow'
    refused = 'Refused'
    beat = 'Beat'
    cancel = 'Cancel'


class Kind(StrEnum):
    """What happens to a frame or to its connection."""

    lose = 'loss'
    delay = 'delay'
    duplicate = 'duplicate'
    reorder = 'reorder'
    one_way = 'one-way cut'
    silence = 'silent'
    sever = 'break'
    cross = 'crossed'
    kill = 'kill'
    renew = 'kill, new life'
    pause = 'pause, late wake'


@dataclass
class Fault:
    """One fault, which happens once.

    :param step: the frame that it hits.
    :param kind: what happens to it.
    :param seconds: length of a delay.
    """

    step: Step
    kind: Kind
    seconds: float = 0.35
    done: bool = False


@dataclass
class Link:
    """One direction of one connection."""

    source: Socket
    target: Socket
    muted: bool = False
    held: list[bytes] = field(default_factory=list)


class FaultyNetwork:
    """Listens in place of an agent and forwards to it.

    :param upstream: the agent's port.
    :param faults: what goes wrong.
    """

    def __init__(self, upstream: int, faults: list[Fault]) -> None:
        self.faults = faults
        self.upstream = upstream
        self.unreachable = False
        self.kill: Callable[[bool], Awaitable[None]] | None = None
        self._awake = curio.Event()
        self.address = next_address()
        self._sock = listen(self.address, 0)
        self.port = port_of(self._sock)
        self._tasks: list[Any] = []
        self._sockets: list[Socket] = []
        self.accepted = 0

    async def run(self) -> None:
        """Accept and forward until cancelled."""
        await self._awake.set()
        async with self._sock:
            while True:
                client, _ = await self._sock.accept()
                self._sockets.append(client)
                self.accepted += 1
                if self.unreachable:
                    await _shut(client)
                    continue
                await self._connect(client)

    async def stop(self) -> None:
        """End every forwarding task, then close what they used."""
        for task in self._tasks:
            await task.cancel()
        # Closing under a task that waits would hand its descriptor's number
        # to the next socket while the kernel still waits on the old one.
        for sock in self._sockets:
            await sock.close()

    async def _connect(self, client: Socket) -> None:
        try:
            server = await curio.open_connection(self.address, self.upstream)
        except OSError:
            await _shut(client)
            return
        self._sockets.append(server)
        for sock in (client, server):
            # As on the connections that it stands between: each answer would
            # otherwise be 40 ms late.
            sock.setsockopt(
                plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
            )
        pair = [Link(client, server), Link(server, client)]
        for link in pair:
            task = await curio.spawn(self._pump, link, pair, daemon=True)
            self._tasks.append(task)

    async def _pump(self, link: Link, pair: list[Link]) -> None:
        buffer = bytearray()
        try:
            while True:
                received = await link.source.recv(65_536)
                if not received:
                    break
                buffer += received
                while frame := _cut(buffer):
                    await self._forward(frame, link, pair)
        except OSError:
            pass
        # A silent connection stays open at both ends: that is what makes it
        # hard to notice.
        if not link.muted:
            await _shut(link.target)

    async def _forward(
        self, frame: bytes, link: Link, pair: list[Link]
    ) -> None:
        await self._awake.wait()
        fault = self._find(frame)
        if fault is not None:
            await self._apply(fault, frame, link, pair)
        elif not link.muted:
            await link.target.sendall(frame + b''.join(link.held))
            link.held.clear()

    def _find(self, frame: bytes) -> Fault | None:
        tag = msgspec.msgpack.decode(frame[LENGTH_BYTES:])[0]
        for fault in self.faults:
            if fault.step == tag and not fault.done:
                fault.done = True
                return fault
        return None

    async def _apply(
        self, fault: Fault, frame: bytes, link: Link, pair: list[Link]
    ) -> None:
        match fault.kind:
            case Kind.one_way:
                link.muted = True
            case Kind.silence:
                for each in pair:
                    each.muted = True
            case Kind.sever:
                for each in pair:
                    await _shut(each.target)
            case Kind.kill | Kind.renew:
                await self._kill(fault.kind is Kind.renew)
            case _:
                await self._spoil(fault, frame, link)

    async def _spoil(self, fault: Fault, frame: bytes, link: Link) -> None:
        match fault.kind:
            case Kind.delay:
                await curio.sleep(fault.seconds)
                await link.target.sendall(frame)
            case Kind.duplicate:
                await link.target.sendall(frame + frame)
            case Kind.reorder:
                link.held.append(frame)
            case Kind.cross:
                await link.target.sendall(_misname(frame))
            case Kind.pause:
                await self._pause(fault.seconds)
                await link.target.sendall(frame)

    async def _kill(self, replaced: bool) -> None:
        # In a task of its own: the killed agent's connections end with it,
        # and with them the task that runs this.
        assert self.kill is not None
        task = await curio.spawn(self.kill, replaced, daemon=True)
        self._tasks.append(task)

    async def _pause(self, seconds: float) -> None:
        # What was under way stays under way, and all arrives late.
        self._awake.clear()
        await curio.sleep(seconds)
        await self._awake.set()


async def _shut(sock: Socket) -> None:
    try:
        await sock.shutdown(plain_socket.SHUT_RDWR)
    except OSError:
        return


def _cut(buffer: bytearray) -> bytes:
    if len(buffer) < LENGTH_BYTES:
        return b''
    end = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], 'big')
    if len(buffer) < end:
        return b''
    frame = bytes(buffer[:end])
    del buffer[:end]  # noqa: WPS420 -- cut in place, not copied
    return frame


def _misname(frame: bytes) -> bytes:
    parts = msgspec.msgpack.decode(frame[LENGTH_BYTES:])
    parts[1] = 'somebody-elses'
    if parts[0] == Step.piece:
        parts[-1] = b"somebody else's answer"
    body = msgspec.msgpack.encode(parts)
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body
