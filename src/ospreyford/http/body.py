"""A request's body as it comes in."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import h11

from ospreyford.http.errors import BodyTooLarge, ConnectionLost

EventReader = Callable[[], Awaitable[Any]]


class IncomingBody:
    """Collects the pieces of a body.

    :param limit: the longest body, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._pieces: list[bytes] = []
        self._size = 0

    def add(self, event: Any) -> bool:
        """Add what a parser made of the next bytes.

        :param event: an h11 event.
        :returns: whether the body is whole.
        :raises BodyTooLarge: beyond the limit.
        :raises ConnectionLost: the body was cut.
        """
        if isinstance(event, h11.EndOfMessage):
            return True
        if not isinstance(event, h11.Data):
            raise ConnectionLost
        self._size += len(event.data)
        if self._size > self._limit:
            raise BodyTooLarge(self._limit)
        self._pieces.append(bytes(event.data))
        return False

    async def collect(self, read_event: EventReader) -> None:
        """Add events until the body is whole.

        :param read_event: waits for the next event of the parser.
        :raises BodyTooLarge: beyond the limit.
        :raises ConnectionLost: the body was cut.
        """
        whole = False
        while not whole:
            whole = self.add(await read_event())

    def join(self) -> bytes:
        """Join the pieces.

        :returns: the body so far.
        """
        return b''.join(self._pieces)
