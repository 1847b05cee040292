"""Connections and datagrams that are always there."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from ospreyford.http.connections import accept_next
from ospreyford.rebalance.datagrams import DatagramSocket
from tests.fakes.loopback import next_address
from tests.http.endless import HELD_SECONDS, Ticker


class CrowdedSocket:
    """Has a connection and a datagram at any time."""

    def __init__(self, ticker: Ticker) -> None:
        self._ticker = ticker

    async def accept(self) -> tuple[str, str]:
        self._ticker.check()
        return 'connection', 'address'

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


async def handle(*message: Any) -> None:
    """Leave the message."""


@pytest.mark.parametrize('take_all', [accept_all, receive_all])
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
