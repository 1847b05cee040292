"""What callers, replicas, the store and the processes saw of a day."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ospreyford.platform.standins.orders import GroupRecord
from ospreyford.platform.standins.replicas import Arrivals
from tests.platform.groupchecks import TakenTerm


class Seen(NamedTuple):
    """An entry's log line.

    :param at: seconds since the Unix epoch.
    :param entry: number of the entry.
    :param start: number of its start, from 1.
    :param kind: type of the line.
    :param subject: backend, version or path that the line is about.
    :param change: what became of it.
    """

    at: float
    entry: int
    start: int
    kind: str
    subject: str
    change: str = ''


class Told(NamedTuple):
    """What a caller was told.

    :param at: seconds since the Unix epoch.
    :param request_id: its request's id; begins with the entry's number.
    :param body: the request's body.
    :param status: HTTP status; 0 without an answer.
    :param cause: body of the answer.
    """

    at: float
    request_id: str
    body: bytes
    status: int
    cause: bytes


@dataclass
class Record:
    """Everything that a day is judged by.

    :param arrivals: requests that reached replicas.
    :param told: what callers were told.
    :param seen: log lines of the entries.
    :param withdrawn: time of the acknowledgement, by withdrawn key.
    :param calm_at: time from which everything must be served again.
    :param groups: what the ranks of all groups saw.
    :param terms: terms that agents have taken.
    """

    arrivals: Arrivals = field(default_factory=Arrivals)
    told: list[Told] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    withdrawn: dict[str, float] = field(default_factory=dict)
    calm_at: float = 0
    groups: GroupRecord = field(default_factory=GroupRecord)
    terms: list[TakenTerm] = field(default_factory=list)


def make_request_id(entry: int, key: str, number: int) -> str:
    """Make a request id that names entry and key.

    :param entry: number of the entry.
    :param key: the caller's key.
    :param number: number of the request.
    :returns: the id.
    """
    return f'{entry}.{key}.{number}'


def find_entry(request_id: str) -> int:
    """Find the entry that a request was sent to.

    :param request_id: the request's id.
    :returns: number of the entry.
    """
    return int(request_id.split('.')[0])


def find_key(request_id: str) -> str:
    """Find the key that a request carried.

    :param request_id: the request's id.
    :returns: the key.
    """
    return request_id.split('.')[1]
