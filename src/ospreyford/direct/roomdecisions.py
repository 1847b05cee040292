"""Log events about groups as an entry sees them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RoomClosed:
    """An entry gives a group no streams, as it is closed.

    :param service: name of the service.
    :param group: name of the group; empty if none is known.
    :param epoch: its epoch by the last report; -1 before the first one.
    :param age_ms: age of that report, or -1.
    :param running: streams of this entry that still run there.
    :param waiting: requests queued at this entry.
    """

    service: str
    group: str
    epoch: int
    age_ms: int
    running: int
    waiting: int


@dataclass(frozen=True)
class RoomOpened:
    """An entry gives a group streams again.

    :param service: name of the service.
    :param group: name of the group; empty if none is known.
    :param epoch: its epoch by the last report; -1 before the first one.
    :param age_ms: age of that report, or -1.
    :param running: streams of this entry that run there.
    :param limit: streams up to which it admits those that can wait; -1 if
        unlimited.
    :param waiting: requests queued at this entry.
    """

    service: str
    group: str
    epoch: int
    age_ms: int
    running: int
    limit: float
    waiting: int


RoomDecision = RoomClosed | RoomOpened
