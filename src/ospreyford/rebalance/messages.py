"""Datagrams between agents, and all that a datagram may be."""

from __future__ import annotations

from typing import Final

import msgspec

from ospreyford.rebalance.entrymessages import (
    Address,
    GroupStatus,
    Hello,
    HelloReply,
)
from ospreyford.rebalance.group import ExpertMap, RankState
from ospreyford.rebalance.loads import QuantizedLoad

#: Datagrams up to this size cross every link in one packet.
MAX_DATAGRAM_BYTES: Final = 60_000
#: An agent's answer to an order whose map changes one that it does not know.
UNKNOWN_BASE: Final = 'UnknownBase'
#: Version of no map: the first one of a group is 0.
NO_MAP_VERSION: Final = -1


class CoordinatorHeartbeat(
    msgspec.Struct, frozen=True, tag='d', array_like=True
):
    """A coordinator's heartbeat to the agents of its group.

    :param group: the group's name.
    :param token: the coordinator's fencing token.
    :param address: the coordinator's; another agent may pass this on.
    :param turn: of the tree in which the loads of the ranks are summed up.
    """

    group: str
    token: int
    address: Address
    rotation: int = 0


class FindCoordinator(msgspec.Struct, frozen=True, tag='w', array_like=True):
    """An agent that hears of no coordinator asks who coordinates its group.

    The coordinator answers, or another agent that has heard of one just now.

    :param group: the group's name.
    """

    group: str


class RelayedMessage(msgspec.Struct, frozen=True, tag='p', array_like=True):
    """A message for all agents of a group, on its way through their tree.

    :param origin: the agent that sent it first.
    :param turn: of the tree.
    :param first: position of the first agent to which the receiver passes it
        on, in the tree's order.
    :param end: position after the last of them.
    :param inner: the message, encoded, and compressed if it is large.
    :param is_packed: whether it is compressed.
    """

    origin: Address
    rotation: int
    first: int
    end: int
    payload: bytes
    is_compressed: bool = False


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


class RankReport(msgspec.Struct, frozen=True, tag='c', array_like=True):
    """What an agent reports to the coordinator.

    :param state: the rank's.
    :param experts: for each set, the experts that the rank holds; left out of
        most reports.
    :param part: the load of this rank and of those that report through its
        agent; left out by agents that report their load to another one.
    """

    state: RankState
    experts: tuple[tuple[int, ...], ...] = ()
    load: PartialLoad | None = None


class PartialLoad(msgspec.Struct, frozen=True, tag='s', array_like=True):
    """The load of some ranks, on its way to the coordinator.

    :param turn: of the tree in which it is summed up.
    :param ranks: ranks that it is the sum of.
    :param shares: their part of the load.
    :param age_ms: how long ago the oldest of it was counted.
    """

    rotation: int
    rank_count: int
    load: QuantizedLoad
    age_ms: int = 0


class OrderRequest(msgspec.Struct, frozen=True, tag='a', array_like=True):
    """A coordinator has a rank carry out an order.

    :param number: of the question; a repeated one is carried out once.
    :param token: the coordinator's fencing token.
    :param epoch: the epoch that it is meant for.
    :param order: the order.
    """

    request_id: int
    token: int
    epoch: int
    order: EncodedOrder


class OrderResponse(msgspec.Struct, frozen=True, tag='t', array_like=True):
    """An agent's answer to an order.

    :param number: of the question.
    :param outcome: what came of it, or ``None`` while it is under way;
        :data:`UNKNOWN_BASE` if the map must be sent whole.
    :param state: the rank's state, where it is known.
    """

    request_id: int
    outcome: str | None
    state: RankState | None = None


#: What two maps differ in: number of the set, rank, and the experts that the
#: rank holds by the newer one.
MapDelta = tuple[int, int, tuple[int, ...]]


class EncodedOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order on its way.

    :param kind: name of the order's type.
    :param version: of the map, where the order has one.
    :param step: the pass, where the order has one.
    :param experts: the map, where the order has one; with a base, that map.
    :param base: version of the map that ``parts`` change, or -1.
    :param parts: what the map differs from that one in.
    :param digest: of the map that is meant; 0 if it is not told.
    """

    kind: str
    version: int = 0
    step: int = 0
    experts: ExpertMap = ()
    base_version: int = NO_MAP_VERSION
    deltas: tuple[MapDelta, ...] = ()
    digest: int = 0


OrderMessage = OrderRequest | OrderResponse
LeaveMessage = Leave | LeaveGranted
CoordinatorMessage = CoordinatorHeartbeat | FindCoordinator | RelayedMessage
ReportMessage = RankReport | PartialLoad
Message = (
    Hello
    | HelloReply
    | GroupStatus
    | CoordinatorMessage
    | LeaveMessage
    | ReportMessage
    | OrderMessage
)

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
