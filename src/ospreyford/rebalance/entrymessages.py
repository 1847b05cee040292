"""Messages between entries and agents."""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

from ospreyford.direct.catalog import Engine

#: IP address and port.
Address = tuple[str, int]
#: Request count of a rank without a known load.
UNKNOWN_REQUESTS: Final = 255


class Hello(msgspec.Struct, frozen=True, tag='h', array_like=True):
    """Registration of an entry at an agent, with the members of its group.

    :param entry: the entry's name.
    :param service: name of the service.
    :param digest: digest of ``members``, ``unassigned``, ``engine`` and
        ``max_gap``.
    :param members: IP address and port of each backend of ``group``, sorted;
        ``None`` if the agent has not requested them.
    :param engine: published parameters of the service's engine, sent with the
        members.
    :param max_gap: longest acceptable time between events of a stream, in
        seconds; 0 if none is published.
    :param version: version of the configuration that the entry holds.
    :param settling_ms: time for which the entry doubts readings of a restored
        store, in milliseconds; 0 if it does not.
    :param suspects: digest of the requests that it suspects of crashing
        backends; 0 if there are none.
    :param group: name of the group of the receiver's rank, as known to the
        entry; empty if it is not known.
    :param unassigned: IP address and port of each backend of the service that
        no group is known of, sorted; sent with the members.
    :param groups: number of groups whose coordinators report to the entry.
    """

    entry: str
    service: str
    digest: int
    members: tuple[Address, ...] | None = None
    engine: Engine | None = None
    max_gap: float = 0
    version: int = 0
    settling_ms: int = 0
    suspects: int = 0
    group: str = ''
    unassigned: tuple[Address, ...] = ()
    groups: int = 1


class HelloReply(msgspec.Struct, frozen=True, tag='l', array_like=True):
    """Agent's reply to a :class:`Hello`.

    :param host: IP address of the agent's backend.
    :param port: port of that backend.
    :param digest: digest of the members known to the agent.
    :param entries: number of entries in contact with this agent.
    :param is_open: whether the group accepts requests.
    :param needs_members: whether the entry should send its list of members.
    :param version: newest version of the configuration that any entry held.
    :param settling_ms: time for which some entry doubts readings of a restored
        store, in milliseconds; 0 if none does.
    :param position: index of the receiver among those entries, in the order of
        their names; -1 if the agent does not tell it.
    :param group: name of the group that the rank reports; empty while the rank
        does not respond.
    """

    host: str
    port: int
    digest: int
    entries: int
    is_open: bool
    needs_members: bool = False
    version: int = 0
    settling_ms: int = 0
    position: int = -1
    group: str = ''


class ImpairedRank(NamedTuple):
    """A rank that is slow, or whose agent does not report.

    :param host: IP address of the rank's host.
    :param pace: slowdown factor; above 1 the rank is slower than usual.
    :param is_silent: whether the rank's agent has stopped reporting, so that
        other figures of the rank are stale.
    """

    host: str
    pace: float
    is_silent: bool


class RankDetails(msgspec.Struct, frozen=True, array_like=True):
    """Load of each rank of a group.

    :param digest: digest of the list of members that ``requests`` follows.
    :param requests: one byte for each member, in the order of their addresses:
        running and queued requests, or :data:`UNKNOWN_REQUESTS`.
    :param impaired: ranks that are slow or silent.
    """

    digest: int
    requests: bytes
    impaired: tuple[ImpairedRank, ...] = ()


class GroupStatus(msgspec.Struct, frozen=True, tag='g', array_like=True):
    """Status of a group, sent by its coordinator to the entries.

    :param tag: short form of the group's key.
    :param token: the coordinator's fencing token.
    :param is_open: whether the group accepts requests.
    :param pass_seconds: mean duration of recent passes in seconds; 0 if none.
    :param epoch: the group's epoch, incremented each time the group opens.
    :param running: number of running requests.
    :param queued: number of queued requests.
    :param entries: number of entries in contact with the coordinator.
    :param details: load of each rank, included at a lower rate.
    """

    tag: int
    token: int
    is_open: bool
    pass_seconds: float
    epoch: int
    running: int
    queued: int
    entries: int
    details: RankDetails | None = None
