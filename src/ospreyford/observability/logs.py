"""Log lines of changes of state: eliot messages, one JSON object a line."""

from __future__ import annotations

import time
from dataclasses import asdict
from typing import TYPE_CHECKING
from uuid import uuid4

import eliot
import msgspec

from ospreyford.observability.events import LinesDropped
from ospreyford.observability.levels import find_level, reaches
from ospreyford.observability.lines import LineWriter, Sink, open_sink

if TYPE_CHECKING:
    from ospreyford.observability.loggedevents import LoggedEvent
    from ospreyford.settings.sections import Identity, Logs

CLOSE_SECONDS = 2.0

_encoder = msgspec.json.Encoder(enc_hook=repr)


class ChangeLog:
    """Where this process's changes of state go.

    :param settings: destination, level and buffer.
    :param identity: added to each line, so that lines of many hosts can lie
        in one place.
    :param sink: writes the lines; by default what the settings name.
    :raises OSError: the file cannot be opened.
    """

    def __init__(
        self,
        settings: Logs,
        identity: Identity,
        sink: Sink | None = None,
    ) -> None:
        self._level = settings.level
        self._identity = {'host': identity.name, 'zone': identity.zone}
        self.writer = LineWriter(
            encode_line,
            sink or open_sink(settings.path),
            settings.max_buffered_lines,
            self._describe_drops,
        )
        eliot.add_destinations(self.writer.put)

    def log_change(self, event: LoggedEvent) -> None:
        """Log a change of state; never waits.

        :param event: the change.
        """
        level = find_level(event)
        if reaches(level, self._level):
            eliot.log_message(
                type(event).__name__,
                level=level,
                **self._identity,
                **asdict(event),
            )

    def count_dropped(self) -> int:
        """Count the lines that were lost, since the destination was slow.

        :returns: the number since the start.
        """
        return self.writer.dropped

    def close(self) -> bool:
        """Write what is left, for two seconds at most.

        :returns: whether everything was written.
        """
        eliot.remove_destination(self.writer.put)
        return self.writer.close(CLOSE_SECONDS)

    def _describe_drops(self, dropped: int) -> dict[str, object]:
        # Written by the thread itself, past eliot: by way of the full buffer
        # this line would be dropped as well.
        event = LinesDropped(dropped)
        return {
            'timestamp': time.time(),
            'task_uuid': str(uuid4()),
            'task_level': [1],
            'message_type': type(event).__name__,
            'level': find_level(event),
            **self._identity,
            **asdict(event),
        }


def encode_line(message: object) -> bytes:
    """Encode one eliot message.

    :param message: the message's dictionary.
    :returns: one line of JSON.
    """
    return b'%b\n' % _encoder.encode(message)
