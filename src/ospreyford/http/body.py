"""A request's body as it comes in."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import h11

from ospreyford.http.buffers import MessageBuffer
from ospreyford.http.errors import BodyTooLarge, ConnectionLost

EventReader = Callable[[], Awaitable[Any]]


class IncomingBody:
    """Collects the pieces of a body.

    :param limit: the longest body, in bytes.
    :param buffer: holds the body meanwhile.
    """

    def __init__(self, limit: int, buffer: MessageBuffer) -> None:
        self._limit = limit
        self._buffer = buffer

    def add(self, event: Any) -> bool:
        """Add what a parser made of the next bytes.

        :param event: an h11 event.
        :returns: whether the body is whole.
        :raises BodyTooLarge: beyond the limit.
        :raises BufferFull: unfinished bodies need too much memory.
        :raises ConnectionLost: the body was cut.
        """
        if isinstance(event, h11.EndOfMessage):
            return True
        if not isinstance(event, h11.Data):
            raise ConnectionLost
        if len(self._buffer) + len(event.data) > self._limit:
            raise BodyTooLarge(self._limit)
        self._buffer.add(event.data)
        return False

    async def collect(self, read_event: EventReader) -> None:
        """Add events until the body is whole.

        :param read_event: waits for the next event of the parser.
        :raises BodyTooLarge: beyond the limit.
        :raises BufferFull: unfinished bodies need too much memory.
        :raises ConnectionLost: the body was cut.
        """
        whole = False
        while not whole:
            whole = self.add(await read_event())

    def join(self) -> bytes:
        """Take the whole body.

        :returns: its bytes.
        """
        return self._buffer.take_all()
