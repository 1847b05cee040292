"""Connections, datagrams and frames that are always there."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import curio
import pytest

from ospreyford.http.connections import accept_next
from ospreyford.rebalance.datagrams import DatagramSocket
from ospreyford.wire.connection import (
    FrameConnection,
    agent_decoder,
    encode_frames,
)
from ospreyford.wire.frame import Piece
from tests.fakes.loopback import next_address
from tests.http.endless import HELD_SECONDS, Ticker


def make_piece(size: int) -> Piece:
    return Piece(execution='e', sequence=0, content=bytes(size))


#: A read of any power of two above it ends with a whole frame.
FRAME_BYTES = 256
FRAME = next(
    encoded
    for size in range(FRAME_BYTES)
    if len(encoded := encode_frames(make_piece(size))) == FRAME_BYTES
)


class CrowdedSocket:
    """Has a connection, a datagram and frames at any time."""

    def __init__(self, ticker: Ticker) -> None:
        self._ticker = ticker

    async def accept(self) -> tuple[str, str]:
        self._ticker.check()
        return 'connection', 'address'

    async def recv(self, size: int) -> bytes:
        self._ticker.check()
        return FRAME * (size // FRAME_BYTES)

    def setsockopt(self, *option: Any) -> None:
        """Take any option."""

    @contextmanager
    def blocking(self) -> Iterator[CrowdedSocket]:
        yield self

    async def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        self._ticker.check()
        return b'nonsense', ('127.0.0.1', 1)


async def accept_all(sock: Any) -> None:
    while await accept_next(sock):
        """Accept the next one."""


async def receive_all(sock: Any) -> None:
    receiver = DatagramSocket((next_address(), 0))
    receiver._socket = sock  # noqa: SLF001
    await receiver.receive(handle)


async def read_all_frames(sock: Any) -> None:
    connection = FrameConnection(sock, agent_decoder)
    while await connection.receive():
        """Read the next one."""


async def handle(*message: Any) -> None:
    """Leave the message."""


@pytest.mark.parametrize('take_all', [accept_all, receive_all, read_all_frames])
def test_loop_is_not_held_by_what_is_queued(
    take_all: Callable[[Any], Awaitable[None]],
) -> None:
    """Connections or datagrams without a pause stopped a process."""

    async def main() -> float:
        ticker = Ticker()
        await curio.spawn(ticker.run, daemon=True)
        async with curio.ignore_after(0.5):
            await take_all(CrowdedSocket(ticker))
        return ticker.longest_held

    assert curio.run(main) < HELD_SECONDS
