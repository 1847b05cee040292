"""Splitting an event stream into whole events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


class StreamEvent(NamedTuple):
    """One whole event.

    :param id: its id, or ``None`` if it has none that is a number.
    :param encoded: its bytes, the empty line at its end included.
    """

    id: int | None
    encoded: bytes


class EventSplitter:
    """Gathers the bytes of a stream until an event is whole.

    A back end may stop in the middle of an event. Had its first half been
    passed on, the event could not be taken back when another back end goes on
    with the stream: the caller would read two halves as one event.
    """

    def __init__(self) -> None:
        self._rest = b''

    def add(self, piece: bytes) -> list[StreamEvent]:
        """Add bytes.

        :param piece: the next bytes of the stream.
        :returns: the events that are whole now.
        """
        parts = (self._rest + piece).split(EVENT_END)
        self._rest = parts.pop()
        return [read_event(text + EVENT_END) for text in parts]

    def has_rest(self) -> bool:
        """Tell whether the stream stands in the middle of an event.

        :returns: whether bytes are left.
        """
        return bool(self._rest)


def read_event(encoded: bytes) -> StreamEvent:
    """Read the id of an event.

    :param encoded: the bytes of a whole event.
    :returns: the event.
    """
    for line in encoded.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return StreamEvent(int(text) if text.isdigit() else None, encoded)
    return StreamEvent(None, encoded)
