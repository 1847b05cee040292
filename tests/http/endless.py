"""A peer whose bytes are always there, and never end."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import curio

#: Processor time for which no other task may wait, in seconds: the bound of
#: the users' pages for an event of a stream.
HELD_SECONDS = 0.12
TICK_SECONDS = 0.005


class LoopHeld(Exception):
    """Other tasks did not run for too long."""


class Ticker:
    """A task that has something to do all the time.

    :param bound: processor time for which it may wait, in seconds.
    """

    def __init__(self, bound: float = HELD_SECONDS) -> None:
        self._bound = bound
        self.longest_held: float = 0
        self._ticked_at = time.thread_time()

    async def run(self) -> None:
        while True:
            self._ticked_at = time.thread_time()
            await curio.sleep(TICK_SECONDS)

    def check(self) -> None:
        """Check that the task was not kept from running."""
        held = time.thread_time() - self._ticked_at
        self.longest_held = max(self.longest_held, held)
        if held > self._bound:
            raise LoopHeld(f'no other task ran for {held:.2f} s')


class EndlessSocket:
    """In place of a curio socket.

    :param head: bytes that come first.
    :param block: bytes that come again and again.
    :param ticker: must run meanwhile.
    """

    def __init__(self, head: bytes, block: bytes, ticker: Ticker) -> None:
        self._head = head
        self._block = block
        self._position = 0
        self._ticker = ticker
        self.is_closed = False

    async def recv(self, size: int, flags: int = 0) -> bytes:
        self._ticker.check()
        position = self._position - len(self._head)
        if position < 0:
            end = min(self._position + size, len(self._head))
            piece = self._head[self._position : end]
        else:
            offset = position % len(self._block)
            count = 1 + (offset + size) // len(self._block)
            piece = (self._block * count)[offset : offset + size]
        self._position += len(piece)
        return piece

    async def sendall(self, sent: bytes) -> None:
        """Take all."""

    async def close(self) -> None:
        self.is_closed = True

    def setsockopt(self, *option: Any) -> None:
        """Take any option."""

    def send(self, sent: bytes) -> int:
        return len(sent)

    @contextmanager
    def blocking(self) -> Iterator[EndlessSocket]:
        yield self

    async def __aenter__(self) -> EndlessSocket:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()
