"""Log lines of many hosts, read from files or from standard input."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import IO, Any, Final, NamedTuple

import msgspec

from ospreyford.console.failures import explain_unreadable

#: A longer line is none of ours: the longest are of some kilobytes, with each
#: sending of a request. Without a bound one file without line ends would be
#: read into memory whole.
MAX_LINE_BYTES: Final = 1_048_576

Fields = Mapping[str, Any]


class LogLine(NamedTuple):
    """One line.

    :param at: seconds since the Unix epoch, by the host's clock.
    :param host: whose line it is.
    :param kind: name of the event's type.
    :param fields: all of the line.
    """

    at: float
    host: str
    kind: str
    fields: Fields


class Pile(NamedTuple):
    """Lines by time.

    :param lines: those that are log lines.
    :param unread: number of the others.
    """

    lines: tuple[LogLine, ...]
    unread: int


class _Common(msgspec.Struct, frozen=True):
    timestamp: float
    host: str
    message_type: str


_lines = msgspec.json.Decoder(dict[str, Any])


def read_pile(paths: Iterable[str]) -> Pile:
    """Read lines and put them in order.

    Collectors put words of their own before each line; what stands before the
    first brace is passed over.

    :param paths: files, or none for standard input.
    :returns: the lines.
    :raises BadArgument: a file cannot be read.
    """
    found: list[LogLine] = []
    unread = 0
    for raw in _read_all(tuple(paths)):
        line = parse_line(raw)
        if line is None:
            unread += bool(raw.strip())
        else:
            found.append(line)
    found.sort(key=_read_moment)
    return Pile(tuple(found), unread)


def parse_line(raw: bytes) -> LogLine | None:
    """Parse one line.

    :param raw: the line.
    :returns: it, or ``None`` if it is none of ours.
    """
    start = raw.find(b'{')
    if start < 0:
        return None
    try:
        fields = _lines.decode(raw[start:])
        common = msgspec.convert(fields, _Common)
    except (msgspec.MsgspecError, UnicodeError):
        # Lines of other programs stand in the same pile; they are counted.
        return None
    return LogLine(common.timestamp, common.host, common.message_type, fields)


def _read_all(paths: tuple[str, ...]) -> Iterator[bytes]:
    if not paths:
        yield from _read_stream(sys.stdin.buffer)
    for path in paths:
        yield from _read_file(path)


def _read_file(path: str) -> Iterator[bytes]:
    try:
        with Path(path).open('rb') as stream:
            yield from _read_stream(stream)
    except (OSError, ValueError) as error:
        raise explain_unreadable(path, error) from None


def _read_stream(stream: IO[bytes]) -> Iterator[bytes]:
    while line := stream.readline(MAX_LINE_BYTES):
        yield line


def _read_moment(line: LogLine) -> float:
    return line.at
