"""Datagrams between agents, and between entries and agents."""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

from ospreyford.direct.catalog import Engine
from ospreyford.rebalance.group import ExpertMap, RankState
from ospreyford.rebalance.loads import Shares

#: IP number and port.
Place = tuple[str, int]
#: Datagrams up to this size cross every link in one packet.
MAX_BYTES: Final = 60_000
#: An agent's answer to an order whose map changes one that it does not know.
UNKNOWN_BASE: Final = 'UnknownBase'
#: Version of no map: the first one of a group is 0.
NO_MAP: Final = -1


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
    members: tuple[Place, ...] | None = None
    engine: Engine | None = None
    max_gap: float = 0


class Load(msgspec.Struct, frozen=True, tag='l', array_like=True):
    """An agent's answer to an entry.

    :param host: IP number of the agent's back end.
    :param port: its port.
    :param digest: of the members that the agent knows.
    :param entries: entries that ask this agent.
    :param is_open: whether the group takes requests.
    """

    host: str
    port: int
    digest: int
    entries: int
    is_open: bool


class RankLoad(NamedTuple):
    """What runs and waits at a rank.

    :param host: IP number of the rank's host.
    :param active: requests that run.
    :param queued: requests that wait.
    :param pace: above 1 the rank is slower than usual.
    :param is_silent: whether the agent beside it is not heard of; the other
        figures are then the last ones that were told.
    """

    host: str
    active: int
    queued: int
    pace: float
    is_silent: bool = False


class GroupNews(msgspec.Struct, frozen=True, tag='g', array_like=True):
    """What a coordinator tells the entries of its group.

    :param service: the service that the group serves.
    :param token: the coordinator's fencing token.
    :param is_open: whether the group takes requests.
    :param pass_seconds: mean time of the last passes; 0 if there were none.
    :param ranks: the load of each rank.
    :param epoch: of the group; grows each time it opens anew.
    """

    service: str
    token: int
    is_open: bool
    pass_seconds: float
    ranks: tuple[RankLoad, ...]
    epoch: int = 0


class Lead(msgspec.Struct, frozen=True, tag='d', array_like=True):
    """A coordinator's heartbeat to the agents of its group.

    :param group: the group's name.
    :param token: the coordinator's fencing token.
    """

    group: str
    token: int


class Leave(msgspec.Struct, frozen=True, tag='e', array_like=True):
    """An agent is about to end: its process was told to stop.

    A coordinator tells all agents when its group is at rest, and gives no
    order any more. Another one asks its coordinator, and ends when that has
    answered with :class:`LeaveGranted`.

    :param token: the highest fencing token that it knows.
    """

    token: int


class LeaveGranted(msgspec.Struct, frozen=True, tag='f', array_like=True):
    """A coordinator's answer: no change is under way, the agent may end.

    :param token: the coordinator's fencing token.
    """

    token: int


class Counts(msgspec.Struct, frozen=True, tag='c', array_like=True):
    """What an agent reports to the coordinator.

    :param state: the rank's.
    :param experts: for each set, the experts that the rank holds.
    :param shares: the rank's part of the load, or ``None`` if it is not known.
    """

    state: RankState
    experts: tuple[tuple[int, ...], ...]
    shares: Shares | None


class Ask(msgspec.Struct, frozen=True, tag='a', array_like=True):
    """A coordinator has a rank carry out an order.

    :param number: of the question; a repeated one is carried out once.
    :param token: the coordinator's fencing token.
    :param epoch: the epoch that it is meant for.
    :param order: the order.
    """

    number: int
    token: int
    epoch: int
    order: OrderFrame


class Tell(msgspec.Struct, frozen=True, tag='t', array_like=True):
    """An agent's answer to an order.

    :param number: of the question.
    :param outcome: what came of it, or ``None`` while it is under way;
        :data:`UNKNOWN_BASE` if the map must be sent whole.
    :param state: the rank's state, where it is known.
    """

    number: int
    outcome: str | None
    state: RankState | None = None


#: What two maps differ in: number of the set, rank, and the experts that the
#: rank holds by the newer one.
MapPart = tuple[int, int, tuple[int, ...]]


class OrderFrame(msgspec.Struct, frozen=True, array_like=True):
    """An order on its way.

    :param kind: name of the order's type.
    :param version: of the map, where the order has one.
    :param step: the pass, where the order has one.
    :param experts: the map, where the order has one; with a base, that map.
    :param base: version of the map that ``parts`` change, or -1.
    :param parts: what the map differs from that one in.
    """

    kind: str
    version: int = 0
    step: int = 0
    experts: ExpertMap = ()
    base: int = NO_MAP
    parts: tuple[MapPart, ...] = ()


Question = Ask | Tell
LeaveMessage = Leave | LeaveGranted
Message = Hello | Load | GroupNews | Lead | LeaveMessage | Counts | Question

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message.

    :param message: the message.
    :returns: the datagram's bytes.
    """
    return _encoder.encode(message)


def decode(datagram: bytes) -> Message | None:
    """Decode a datagram.

    :param datagram: its bytes.
    :returns: the message, or ``None`` if it is none.
    """
    try:
        return _decoder.decode(datagram)
    except (msgspec.DecodeError, UnicodeError, RecursionError):
        return None
