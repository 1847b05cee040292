"""Memory of messages that are not complete yet."""

from __future__ import annotations

from types import TracebackType
from typing import Final, Self

from ospreyford.http.errors import BufferFull

#: Default limit of all unfinished messages together.
DEFAULT_BUFFER_BYTES: Final = 3_145_728
#: The same of callers' requests, which are limited one by one as well.
DEFAULT_REQUEST_BYTES: Final = 33_554_432
#: Number of unfinished messages that share the whole limit.
FEW_MESSAGES: Final = 8
#: Part of the limit that any number of them shares.
MANY_FRACTION: Final = 0.25
#: Shorter pieces are joined, to blocks of about this size.
SHORT_BYTES: Final = 512
BLOCK_BYTES: Final = 4096


class BufferPool:
    """Limits the memory of all unfinished messages together.

    Beyond the limit the largest one is dropped: it is the likeliest never to
    end, and the others go on. Where more than a few are unfinished, they are
    not many large messages but many that do not end: the limit is lower.

    :param limit: bytes of all messages together, where they are few.
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
        while self.size > self._compute_limit():
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

    def _compute_limit(self) -> float:
        count = max(len(self._buffers), FEW_MESSAGES)
        return self.limit * max(FEW_MESSAGES / count, MANY_FRACTION)


class MessageBuffer:
    """Bytes of one unfinished message.

    They are kept in blocks of a bounded size: contiguous ones that grow would
    leave gaps in the heap that need as much memory again.

    :param pool: limits the memory of all of them.
    """

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._blocks: list[bytes | bytearray] = []
        self._size = 0
        self._is_dropped = False

    def __len__(self) -> int:
        return self._size

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
            self._append(piece)
            self._size += len(piece)
            self._pool.add(self, len(piece))
        if self._is_dropped:
            raise BufferFull(self._pool.limit)

    def take_all(self) -> bytes:
        """Remove all bytes.

        :returns: the bytes.
        """
        taken = b''.join(self._blocks)
        self.close()
        return taken

    def close(self) -> None:
        """Release the memory."""
        size = self._size
        self._blocks.clear()
        self._size = 0
        self._pool.remove(self, size)

    def drop(self) -> None:
        """Release the memory; the message can't be completed any more."""
        self._is_dropped = True
        self.close()

    def _append(self, piece: bytes) -> None:
        last = self._blocks[-1] if self._blocks else b''
        if len(piece) >= SHORT_BYTES:
            self._blocks.append(piece)
        elif isinstance(last, bytearray) and len(last) < BLOCK_BYTES:
            last.extend(piece)
        else:
            self._blocks.append(bytearray(piece))
