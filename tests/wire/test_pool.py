from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.ports.clock import SystemClock
from ospreyford.wire import pool as pools
from ospreyford.wire.pool import ConnectionPool, PoolSettings


class SilentFrames:
    """A connection on which no greeting arrives."""

    def __init__(self) -> None:
        self.closed = False

    async def receive(self) -> Any:
        await curio.sleep(60)

    async def close(self) -> None:
        self.closed = True


def test_an_open_that_is_cancelled_closes_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Cancelling an open during the greeting must not leak a connection."""
    frames = SilentFrames()

    async def connect(address: str, *_: object) -> SilentFrames:
        return frames

    async def act() -> None:
        pool = ConnectionPool(PoolSettings(connect_seconds=60), SystemClock())
        task = await curio.spawn(pool.open, '127.0.0.1:1', 60)
        await curio.sleep(0)
        await task.cancel()

    monkeypatch.setattr(pools, 'connect_to_agent', connect)
    curio.run(act)
    assert frames.closed
