"""What callers, servers and the operator saw of a soak."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple


class Kind(Enum):
    """Kind of a request; the value begins its path."""

    #: A stream that may be resumed.
    stream = 'r'
    #: A stream that may run once only.
    single = 'o'
    #: May run once only, at one backend.
    unsafe = 'u'
    #: May run more than once.
    safe = 'i'


#: Kinds that may run at most once.
ONCE = frozenset((Kind.single, Kind.unsafe))
STREAMS = frozenset((Kind.stream, Kind.single))
#: Events of each stream.
EVENTS = 24


class Told(NamedTuple):
    """What a caller saw of a request.

    :param request_id: its id.
    :param kind: its kind.
    :param entry: number of the entry that it was sent to.
    :param sent_at: when its last byte was sent, in seconds since the epoch.
    :param ended_at: when its answer or its connection ended.
    :param status: HTTP status; 0 without a head.
    :param is_whole: whether the answer was complete.
    :param number: of the request on its connection, from 1.
    :param error: what ended the connection.
    """

    request_id: str
    kind: Kind
    entry: int
    sent_at: float
    ended_at: float
    status: int
    is_whole: bool
    number: int
    error: str = ''


@dataclass
class Run:
    """A run of a request at a server.

    :param server: id of the server.
    :param request_id: id of the request.
    :param began_at: when it began, in seconds since the epoch.
    :param ended_at: when it ended; infinite while it runs.
    :param status: the server's own status; 0 if its caller left.
    :param is_broken: whether the server broke off the answer by itself.
    """

    server: str
    request_id: str
    began_at: float
    ended_at: float = float('inf')
    status: int = 0
    is_broken: bool = False


class Signalled(NamedTuple):
    """A signal that an entry was sent.

    :param entry: number of the entry.
    :param name: name of the signal.
    :param at: seconds since the epoch.
    """

    entry: int
    name: str
    at: float


class Ended(NamedTuple):
    """The end of a program.

    :param name: of the program.
    :param code: its exit code, negative for a signal.
    :param was_asked: whether it had been sent SIGTERM.
    """

    name: str
    code: int
    was_asked: bool


@dataclass
class SoakRecord:
    """Everything that a soak is judged by.

    :param told: what callers were told.
    :param runs: runs at all servers.
    :param signals: signals that entries were sent.
    :param ends: ends of programs.
    :param lines: log lines of requests by id, as their entries wrote them.
    :param failures: tasks of programs that failed.
    """

    told: list[Told] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    signals: list[Signalled] = field(default_factory=list)
    ends: list[Ended] = field(default_factory=list)
    lines: dict[str, dict[str, Any]] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
