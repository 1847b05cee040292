"""Memory of messages that are not complete yet."""

from __future__ import annotations

from types import TracebackType
from typing import Final, Self

from ospreyford.http.errors import BufferFull

#: Default limit of all unfinished messages together.
DEFAULT_BUFFER_BYTES: Final = 2_097_152
#: The same of callers' requests, which are limited one by one as well.
DEFAULT_REQUEST_BYTES: Final = 33_554_432


class BufferPool:
    """Limits the memory of all unfinished messages together.

    Beyond the limit the largest one is dropped: it is the likeliest never to
    end, and the others go on.

    :param limit: bytes of all messages together.
    """

    def __init__(self, limit: int = DEFAULT_BUFFER_BYTES) -> None:
        self.limit = limit
        #: Bytes of all messages together.
        self.size = 0
        #: Number of messages that were dropped.
        self.dropped = 0
        self._buffers: set[MessageBuffer] = set()

    def open(self) -> MessageBuffer:
        """Make the buffer of a message.

        :returns: the buffer; must be closed.
        """
        return MessageBuffer(self)

    def add(self, buffer: MessageBuffer, size: int) -> None:
        """Count bytes that were added to a buffer, and make room for them.

        :param buffer: the buffer.
        :param size: the bytes.
        """
        self._buffers.add(buffer)
        self.size += size
        while self.size > self.limit:
            self.dropped += 1
            max(self._buffers, key=len).drop()

    def remove(self, buffer: MessageBuffer, size: int) -> None:
        """Count bytes that were removed from a buffer.

        :param buffer: the buffer.
        :param size: the bytes.
        """
        self.size -= size
        if not buffer:
            self._buffers.discard(buffer)


class MessageBuffer:
    """Bytes of one unfinished message.

    :param pool: limits the memory of all of them.
    """

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._content = bytearray()
        self._is_dropped = False

    def __len__(self) -> int:
        return len(self._content)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def add(self, piece: bytes) -> None:
        """Append bytes.

        :param piece: the bytes.
        :raises BufferFull: the message was dropped.
        """
        if not self._is_dropped:
            self._content += piece
            self._pool.add(self, len(piece))
        if self._is_dropped:
            raise BufferFull(self._pool.limit)

    def find(self, part: bytes, start: int) -> int:
        """Find the first occurrence of bytes.

        :param part: the bytes.
        :param start: where to begin.
        :returns: its place, or -1.
        """
        return self._content.find(part, start)

    def take(self, size: int) -> bytes:
        """Remove bytes from the beginning.

        :param size: number of bytes.
        :returns: the bytes.
        """
        taken = bytes(self._content[:size])
        del self._content[:size]  # noqa: WPS420 -- avoids a copy of the rest
        self._pool.remove(self, len(taken))
        return taken

    def take_all(self) -> bytes:
        """Remove all bytes.

        :returns: the bytes.
        """
        taken = bytes(self._content)
        self.close()
        return taken

    def close(self) -> None:
        """Release the memory."""
        size = len(self._content)
        self._content = bytearray()
        self._pool.remove(self, size)

    def drop(self) -> None:
        """Release the memory; the message can't be completed any more."""
        self._is_dropped = True
        self.close()
