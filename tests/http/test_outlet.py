"""Bytes written without waiting, in order, whatever the kernel takes."""

from __future__ import annotations

import socket as plain_socket
from typing import Any

import curio
import pytest

from ospreyford.http.outlet import Outlet

PIECES = tuple(bytes([number]) * 40_000 for number in range(20))


async def make_pair() -> tuple[Any, Any]:
    near, far = plain_socket.socketpair()
    near.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_SNDBUF, 30_000)
    return curio.io.Socket(near), curio.io.Socket(far)


async def read_all(far: Any, size: int) -> bytes:
    received = b''
    while len(received) < size:
        received += await far.recv(100_000)
    return received


def test_every_byte_is_written_once_and_in_order() -> None:
    # Symptom: a caller reads a token twice, or two in the wrong order.
    # Sequence: the kernel takes a part; the reader makes room for a part of
    # the rest; the wait for more is cut off by a time limit.
    # Cause: the rest was written from its start again.
    async def main() -> bytes:
        near, far = await make_pair()
        async with near, far:
            outlet = Outlet(near)
            received = b''
            for piece in PIECES:
                outlet.push(piece)
                received += await far.recv(20_000)
                await curio.ignore_after(0.02, outlet.drain())
            left = sum(map(len, PIECES)) - len(received)
            reader = await curio.spawn(read_all, far, left)
            await curio.timeout_after(5, outlet.drain())
            assert outlet.is_clear()
            rest: bytes = await curio.timeout_after(5, reader.join())
            return received + rest

    assert curio.run(main) == b''.join(PIECES)


def test_a_closed_socket_is_broken_and_not_another_one() -> None:
    # Symptom: a part of an answer appears on somebody else's connection.
    # Sequence: the socket is closed, and its descriptor's number is reused.
    # Cause: the bytes were written to the number.
    async def main() -> bytes:
        near, far = await make_pair()
        outlet = Outlet(near)
        async with near, far:
            """Closed at the end."""
        other, other_far = await make_pair()
        async with other, other_far:
            assert not outlet.push(b'lost')
            with pytest.raises(OSError):
                await outlet.drain()
            received: bytes = await curio.ignore_after(0.05, other_far.recv(9))
            return received

    assert not curio.run(main)
