"""A peer whose bytes are always there, and never end."""

from __future__ import annotations

import time
from typing import Any

import curio

#: Processor time for which no other task may wait, in seconds: the bound of
#: the users' pages for an event of a stream.
HELD_SECONDS = 0.12
TICK_SECONDS = 0.005


class LoopHeld(Exception):
    """Other tasks did not run for too long."""


class Ticker:
    """A task that has something to do all the time."""

    def __init__(self) -> None:
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
        if held > HELD_SECONDS:
            raise LoopHeld(f'no other task ran for {held:.2f} s')


class EndlessSocket:
    """In place of a curio socket.

    :param head: bytes that come first.
    :param block: bytes that come again and again.
    :param ticker: must run meanwhile.
    """

    def __init__(self, head: bytes, block: bytes, ticker: Ticker) -> None:
        self._rest = head
        self._block = block
        self._ticker = ticker
        self.is_closed = False

    async def recv(self, size: int, flags: int = 0) -> bytes:
        self._ticker.check()
        while len(self._rest) < size:
            self._rest += self._block * (1 + size // len(self._block))
        piece = self._rest[:size]
        self._rest = self._rest[size:]
        return piece

    async def sendall(self, sent: bytes) -> None:
        """Take all."""

    async def close(self) -> None:
        self.is_closed = True

    def setsockopt(self, *option: Any) -> None:
        """Take any option."""
