"""Splitting of an event stream into complete events."""

from __future__ import annotations

from types import TracebackType
from typing import NamedTuple, Self

from ospreyford.http.buffers import BufferPool

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


class StreamEvent(NamedTuple):
    """One complete event.

    :param id: its id, or ``None`` if it has no numeric one.
    :param encoded: its bytes, including the empty line at its end.
    """

    id: int | None
    encoded: bytes


class EventSplitter:
    """Buffers the bytes of a stream until an event is complete.

    Forwarding a partial event would corrupt the stream if another backend then
    resumes it.

    :param buffers: limits the memory of partial events.
    """

    def __init__(self, buffers: BufferPool) -> None:
        self._rest = buffers.open()
        # Last byte of the rest: the end of an event may begin with it.
        self._last = b''

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._rest.close()

    def add(self, piece: bytes) -> list[StreamEvent]:
        """Add bytes of the stream.

        :param piece: the bytes.
        :returns: the events that are now complete.
        :raises BufferFull: the event is too large.
        """
        received = piece
        if self._last:
            if EVENT_END not in self._last + piece:
                self._keep(piece)
                return []
            received = self._rest.take_all() + piece
            self._last = b''
        parts = received.split(EVENT_END)
        self._keep(parts.pop())
        return [read_event(text + EVENT_END) for text in parts]

    def has_rest(self) -> bool:
        """Check whether a partial event is buffered.

        :returns: whether it is.
        """
        return bool(self._last)

    def _keep(self, piece: bytes) -> None:
        if piece:
            self._rest.add(piece)
            self._last = piece[-1:]


def read_event(encoded: bytes) -> StreamEvent:
    """Parse an event.

    :param encoded: the bytes of a complete event.
    :returns: the event.
    """
    for line in encoded.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return StreamEvent(int(text) if text.isdigit() else None, encoded)
    return StreamEvent(None, encoded)
