"""Messages between agents, and their encoding as datagrams."""

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
from ospreyford.sendgrants.messages import SendingGrant, SendingRequest
from ospreyford.suspects.messages import SuspectReport

MAX_DATAGRAM_BYTES: Final = 60_000
#: Outcome of an order whose map delta has a base that the agent lacks.
UNKNOWN_BASE: Final = 'UnknownBase'
#: Sentinel below all map versions, which start at 0.
NO_MAP_VERSION: Final = -1


class CoordinatorHeartbeat(
    msgspec.Struct, frozen=True, tag='d', array_like=True
):
    """Coordinator's heartbeat to the agents of its group.

    :param token: the coordinator's fencing token.
    :param address: the coordinator's address, which may differ from the sender.
    :param rotation: rotation of the tree in which loads are aggregated.
    """

    token: int
    address: Address
    rotation: int = 0


class FindCoordinator(msgspec.Struct, frozen=True, tag='w', array_like=True):
    """Request for the coordinator's address, answered by any agent in touch."""


class RelayedMessage(msgspec.Struct, frozen=True, tag='p', array_like=True):
    """Broadcast message that agents forward along the tree of their group.

    :param origin: address of the broadcasting agent, the root of the tree.
    :param rotation: rotation of the tree.
    :param first: position of the receiver in the order of the tree.
    :param end: position after the last agent below the receiver.
    :param payload: the encoded message.
    :param is_compressed: whether ``payload`` is compressed by zlib.
    """

    origin: Address
    rotation: int
    first: int
    end: int
    payload: bytes
    is_compressed: bool = False


class Leave(msgspec.Struct, frozen=True, tag='e', array_like=True):
    """Notice that an agent is shutting down.

    A coordinator announces it to all agents after its last order. Any other
    agent sends it to the coordinator and waits for :class:`LeaveGranted`.

    :param token: the highest fencing token known to the agent.
    """

    token: int


class LeaveGranted(msgspec.Struct, frozen=True, tag='f', array_like=True):
    """Coordinator's permission to exit, given while no map change is running.

    :param token: the coordinator's fencing token.
    """

    token: int


class RankReport(msgspec.Struct, frozen=True, tag='c', array_like=True):
    """Periodic report of an agent to the coordinator.

    :param state: state of the rank beside the agent.
    :param experts: for each set, the experts that the rank holds; empty in
        most reports.
    :param partial_load: load of this rank and of those below it in the tree;
        ``None`` if the agent has a parent other than the coordinator.
    """

    state: RankState
    experts: tuple[tuple[int, ...], ...] = ()
    partial_load: PartialLoad | None = None


class PartialLoad(msgspec.Struct, frozen=True, tag='s', array_like=True):
    """Load of a subtree of ranks, sent to the parent agent.

    :param rotation: rotation of the tree in which loads are aggregated.
    :param rank_count: number of ranks included.
    :param load: the summed load.
    :param age_ms: age of the oldest included counts, in milliseconds.
    """

    rotation: int
    rank_count: int
    load: QuantizedLoad
    age_ms: int = 0


class OrderRequest(msgspec.Struct, frozen=True, tag='a', array_like=True):
    """Coordinator's request that a rank carry out an order.

    :param request_id: idempotency key; retransmissions have the same one.
    :param token: the coordinator's fencing token.
    :param epoch: the group epoch for which the order is valid.
    :param order: the order.
    """

    request_id: int
    token: int
    epoch: int
    order: EncodedOrder


class OrderResponse(msgspec.Struct, frozen=True, tag='t', array_like=True):
    """Agent's response to an order.

    :param request_id: that of the request.
    :param outcome: type name of the outcome, or ``None`` while the order is
        running; :data:`UNKNOWN_BASE` if the base map must be sent too.
    :param state: the rank's state, if known.
    """

    request_id: int
    outcome: str | None
    state: RankState | None = None


#: Set, rank, and the experts that the rank holds in the newer map.
MapDelta = tuple[int, int, tuple[int, ...]]


class EncodedOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order as encoded in a message.

    :param kind: name of the order's type.
    :param version: map version, if the order has one.
    :param step: number of the pass, if the order has one.
    :param experts: the map if ``base_version`` is -1, otherwise the base map.
    :param base_version: version of the map to which ``deltas`` apply, or -1.
    :param deltas: changes relative to the base map.
    :param digest: digest of the resulting map; 0 if absent.
    """

    kind: str
    version: int = 0
    step: int = 0
    experts: ExpertMap = ()
    base_version: int = NO_MAP_VERSION
    deltas: tuple[MapDelta, ...] = ()
    digest: int = 0


#: Messages that are meant for no group.
EntryMessage = (
    Hello
    | HelloReply
    | GroupStatus
    | SuspectReport
    | SendingRequest
    | SendingGrant
)
OrderMessage = OrderRequest | OrderResponse
LeaveMessage = Leave | LeaveGranted
CoordinatorMessage = CoordinatorHeartbeat | FindCoordinator | RelayedMessage
ReportMessage = RankReport | PartialLoad
#: Messages between the agents of one group.
MemberMessage = CoordinatorMessage | LeaveMessage | ReportMessage | OrderMessage
Message = EntryMessage | MemberMessage

_encoder = msgspec.msgpack.Encoder()
_entry_decoder: msgspec.msgpack.Decoder[EntryMessage] = msgspec.msgpack.Decoder(
    EntryMessage
)
_member_decoder: msgspec.msgpack.Decoder[MemberMessage] = (
    msgspec.msgpack.Decoder(MemberMessage)
)


def encode(message: Message) -> bytes:
    """Encode a message.

    :param message: the message.
    :returns: the encoded datagram.
    """
    return _encoder.encode(message)


def decode(datagram: bytes) -> EntryMessage | None:
    """Decode a datagram that is meant for no group.

    :param datagram: the received bytes.
    :returns: the message, or ``None`` if the datagram is malformed.
    """
    try:
        return _entry_decoder.decode(datagram)
    except (msgspec.DecodeError, UnicodeError, RecursionError):
        return None


def decode_member(payload: bytes) -> MemberMessage | None:
    """Decode a message between members of a group.

    :param payload: the bytes after the group's prefix.
    :returns: the message, or ``None`` if it is malformed.
    """
    try:
        return _member_decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeError, RecursionError):
        return None
