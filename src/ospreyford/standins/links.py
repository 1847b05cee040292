"""One proxied connection and the faults that it can suffer."""

from __future__ import annotations

import socket as plain_socket
import struct
import time
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import curio
import msgspec

from ospreyford.http.errors import ConnectionLost

if TYPE_CHECKING:
    from curio.io import Socket

READ_BYTES = 65_536
QUEUED_PIECES = 64


class Direction(StrEnum):
    """``up`` runs from the caller to the upstream, ``down`` back."""

    up = 'up'
    down = 'down'


class Mode(msgspec.Struct, frozen=True, kw_only=True, tag_field='mode'):
    """Base of what the proxy does; each is a body of ``POST /control``."""


class Forward(Mode, frozen=True, tag='forward'):
    """Pass everything; bytes that a cut held back go on their way."""


class Delay(Mode, frozen=True, kw_only=True, tag='delay'):
    """Pass everything ``seconds`` late, in both directions."""

    seconds: float


class Silence(Mode, frozen=True, kw_only=True, tag='silent'):
    """Pass nothing on the present connections, ever; they stay open.

    New connections work, unless ``new`` is set: then they are silent for
    good as well.
    """

    new: bool = False


class Cut(Mode, frozen=True, kw_only=True, tag='cut'):
    """Hold back one direction until the mode changes."""

    direction: Direction


class Reset(Mode, frozen=True, kw_only=True, tag='reset'):
    """Reset the present connections; with ``new`` each new one as well."""

    new: bool = False


class DropAfter(Mode, frozen=True, kw_only=True, tag='drop-after'):
    """Close each connection after so many bytes of a direction.

    Counted from the change of the mode, or from the opening if later.
    """

    direction: Direction
    byte_count: int


AnyMode = Forward | Delay | Silence | Cut | Reset | DropAfter


class _Piece(NamedTuple):
    read_at: float
    content: bytes


class Valve:
    """The mode in force, and the news of its change."""

    def __init__(self) -> None:
        self.mode: AnyMode = Forward()
        self.changed = curio.Condition()

    async def set(self, mode: AnyMode) -> None:
        """Put a mode in force.

        :param mode: the mode.
        """
        async with self.changed:
            self.mode = mode
            await self.changed.notify_all()


class Link:
    """A caller's connection and the upstream's, with a pump each way.

    :param caller: the accepted socket.
    :param upstream: the socket to the upstream.
    :param valve: the mode in force.
    """

    def __init__(self, caller: Socket, upstream: Socket, valve: Valve) -> None:
        self.passed = {Direction.up: 0, Direction.down: 0}
        self._ends = (caller, upstream)
        self._valve = valve
        self._base = dict(self.passed)
        self._silent = False

    def note_mode(self, mode: AnyMode) -> None:
        """Suffer a change of mode, as a connection that is open now.

        :param mode: the new mode.
        """
        self._base = dict(self.passed)
        if isinstance(mode, Silence):
            self._silent = True

    def linger_none(self) -> None:
        """Make the close of both ends a reset."""
        reset = struct.pack('ii', 1, 0)
        for end in self._ends:
            end.setsockopt(
                plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, reset
            )

    async def carry(self) -> None:
        """Pass bytes until both directions have ended or one is lost."""
        caller, upstream = self._ends
        async with caller, upstream, curio.TaskGroup() as group:
            await self._pump(group, caller, upstream, Direction.up)
            await self._pump(group, upstream, caller, Direction.down)

    async def close(self) -> None:
        """Close both ends."""
        caller, upstream = self._ends
        await caller.close()
        await upstream.close()

    async def _pump(
        self,
        group: curio.TaskGroup,
        source: Socket,
        sink: Socket,
        direction: Direction,
    ) -> None:
        pieces = curio.Queue(QUEUED_PIECES)
        await group.spawn(_read, source, pieces)
        await group.spawn(self._write, pieces, sink, direction)

    async def _write(
        self, pieces: curio.Queue, sink: Socket, direction: Direction
    ) -> None:
        piece: _Piece = await pieces.get()
        while piece.content:
            await self._wait_until_due(piece, direction)
            await self._pass(piece.content, sink, direction)
            piece = await pieces.get()
        await self._wait_until_due(piece, direction)
        await sink.shutdown(plain_socket.SHUT_WR)

    async def _wait_until_due(
        self, piece: _Piece, direction: Direction
    ) -> None:
        mode = self._valve.mode
        if isinstance(mode, Delay):
            due = piece.read_at + mode.seconds
            await curio.sleep(max(0, due - time.monotonic()))
        async with self._valve.changed:
            while self._is_held(direction):
                await self._valve.changed.wait()

    def _is_held(self, direction: Direction) -> bool:
        mode = self._valve.mode
        cut = isinstance(mode, Cut) and mode.direction is direction
        return self._silent or cut

    async def _pass(
        self, content: bytes, sink: Socket, direction: Direction
    ) -> None:
        allowed = content[: self._allowance(direction)]
        self.passed[direction] += len(allowed)
        await sink.sendall(allowed)
        if self._allowance(direction) == 0:
            raise ConnectionLost

    def _allowance(self, direction: Direction) -> int | None:
        mode = self._valve.mode
        if isinstance(mode, DropAfter) and mode.direction is direction:
            used = self.passed[direction] - self._base[direction]
            return max(0, mode.byte_count - used)
        return None


async def _read(source: Socket, pieces: curio.Queue) -> None:
    content = b'unread'
    while content:
        content = await source.recv(READ_BYTES)
        await pieces.put(_Piece(time.monotonic(), content))
