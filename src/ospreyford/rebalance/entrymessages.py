"""Datagrams between entries and agents."""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

from ospreyford.direct.catalog import Engine

#: IP number and port.
Address = tuple[str, int]
#: Stands for the requests of a rank that is not known.
UNKNOWN_REQUESTS: Final = 255


class Hello(msgspec.Struct, frozen=True, tag='h', array_like=True):
    """An entry asks an agent for its load and tells it the members.

    :param entry: the entry's name.
    :param service: the service that the members serve.
    :param digest: of the members.
    :param members: IP number and port of each back end of the service, sorted;
        left out where the agent has shown the digest.
    :param engine: published figures of the service's engine, with the members.
    :param max_gap: pause between events that callers of the service bear, in
        seconds; 0 if none is published.
    """

    entry: str
    service: str
    digest: int
    members: tuple[Address, ...] | None = None
    engine: Engine | None = None
    max_gap: float = 0


class HelloReply(msgspec.Struct, frozen=True, tag='l', array_like=True):
    """An agent's answer to an entry.

    :param host: IP number of the agent's back end.
    :param port: its port.
    :param digest: of the members that the agent knows.
    :param entries: entries that ask this agent.
    :param is_open: whether the group takes requests.
    :param asks_members: whether the entry should tell its list of members.
    """

    host: str
    port: int
    digest: int
    entry_count: int
    is_open: bool
    needs_members: bool = False


class ImpairedRank(NamedTuple):
    """A rank that is slow, or whose agent is not heard of.

    :param host: IP number of the rank's host.
    :param pace: above 1 the rank is slower than usual.
    :param is_silent: whether the agent beside it is not heard of; its other
        figures are then the last ones that were told.
    """

    host: str
    pace: float
    is_silent: bool


class RankDetails(msgspec.Struct, frozen=True, array_like=True):
    """What runs and waits at each rank.

    :param digest: of the list of members that ``requests`` follows; who knows
        another one cannot read them.
    :param requests: a byte for each member in the order of their addresses:
        how many requests run and wait there, :data:`NOT_KNOWN` if that is not
        known.
    :param odd: the ranks that need care.
    """

    digest: int
    requests: bytes
    impaired: tuple[ImpairedRank, ...] = ()


class GroupStatus(msgspec.Struct, frozen=True, tag='g', array_like=True):
    """What a coordinator tells the entries of its group.

    :param service: the service that the group serves.
    :param token: the coordinator's fencing token.
    :param is_open: whether the group takes requests.
    :param pass_seconds: mean time of the last passes; 0 if there were none.
    :param epoch: of the group; grows each time it opens anew.
    :param running: requests that run at its ranks.
    :param queued: requests that wait there.
    :param entries: entries that the coordinator hears of.
    :param details: what runs and waits at each rank, in some of the news.
    """

    service: str
    token: int
    is_open: bool
    pass_seconds: float
    epoch: int
    running: int
    queued: int
    entries: int
    details: RankDetails | None = None
