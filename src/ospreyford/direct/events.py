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
        # The rest has no end of an event, but its last byte may begin one.
        start = max(len(self._rest) - 1, 0)
        self._rest.add(piece)
        events = []
        end = self._rest.find(EVENT_END, start)
        while end >= 0:
            encoded = self._rest.take(end + len(EVENT_END))
            events.append(read_event(encoded))
            end = self._rest.find(EVENT_END, 0)
        return events

    def has_rest(self) -> bool:
        """Check whether a partial event is buffered.

        :returns: whether it is.
        """
        return bool(len(self._rest))


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
