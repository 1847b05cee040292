"""Splitting of an event stream into complete events."""

from __future__ import annotations

from typing import NamedTuple

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
    """

    def __init__(self) -> None:
        self._rest = b''

    def add(self, piece: bytes) -> list[StreamEvent]:
        """Add bytes of the stream.

        :param piece: the bytes.
        :returns: the events that are now complete.
        """
        parts = (self._rest + piece).split(EVENT_END)
        self._rest = parts.pop()
        return [read_event(text + EVENT_END) for text in parts]

    def has_rest(self) -> bool:
        """Check whether a partial event is buffered.

        :returns: whether it is.
        """
        return bool(self._rest)


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
