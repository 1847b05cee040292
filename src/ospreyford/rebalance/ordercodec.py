"""Orders and outcomes as they travel in messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.rebalance.group import (
    Arm,
    Disarm,
    Done,
    Fenced,
    Go,
    Hold,
    Order,
    Outcome,
    Prepare,
    Rejected,
    Silent,
)
from ospreyford.rebalance.mapparts import (
    apply_parts,
    find_parts,
    tell_digest,
)
from ospreyford.rebalance.messages import (
    NO_MAP_VERSION,
    EncodedOrder,
    OrderResponse,
)

if TYPE_CHECKING:
    from ospreyford.rebalance.knownmaps import KnownMaps


def pack_order(order: Order) -> EncodedOrder:
    """Pack an order.

    :param order: the order.
    :returns: its frame.
    """
    match order:
        case Prepare(version=version, experts=experts):
            return EncodedOrder('Prepare', version, 0, experts)
        case Hold(step=step):
            return EncodedOrder('Hold', 0, step)
        case Arm(version=version, step=step):
            return EncodedOrder('Arm', version, step)
        case Go(step=step):
            return EncodedOrder('Go', 0, step)
        case Disarm(version=version, held=held):
            return EncodedOrder('Disarm', version, held or 0)


def pack_change(
    order: Prepare, base: int, maps: KnownMaps
) -> tuple[EncodedOrder, EncodedOrder]:
    """Pack an order to prepare a map as what changes.

    :param order: the order.
    :param base: version of a map that the agent most likely knows.
    :param maps: the maps that are known here.
    :returns: its frame without the map that it changes, and with it, for an
        agent that does not know that one; twice with the new map if it is not
        known here.
    """
    before = maps.find(base)
    if before is None:
        whole = pack_order(order)
        return whole, whole
    parts = find_parts(before, order.experts)
    digest = tell_digest(order.experts)
    short = EncodedOrder('Prepare', order.version, 0, (), base, parts, digest)
    return short, msgspec.structs.replace(short, experts=before)


def read_map(frame: EncodedOrder, maps: KnownMaps) -> EncodedOrder | None:
    """Put the whole map into a frame that has only what changes.

    :param frame: the frame.
    :param maps: the maps that are known here; a base that comes along is one
        of them from now on.
    :returns: the frame with its map, or ``None`` if the map that it changes is
        not known, or is another one here.
    """
    if frame.base_version == NO_MAP_VERSION:
        return frame
    if frame.experts:
        maps.note(frame.base_version, frame.experts)
    before = maps.find(frame.base_version)
    experts = None if before is None else apply_parts(before, frame.deltas)
    if experts is None:
        return None
    # Ranks do not compare maps: one made from another base would be in force
    # beside the one that is meant, under the same version.
    if frame.digest and tell_digest(experts) != frame.digest:
        return None
    return EncodedOrder(frame.kind, frame.version, frame.step, experts)


def unpack_order(frame: EncodedOrder) -> Order | None:
    """Unpack an order.

    :param frame: its frame.
    :returns: the order, or ``None`` if there is no such one.
    """
    match frame.kind:
        case 'Prepare':
            return Prepare(frame.version, frame.experts)
        case 'Hold':
            return Hold(frame.step)
        case 'Arm':
            return Arm(frame.version, frame.step)
        case 'Go':
            return Go(frame.step)
        case 'Disarm':
            return Disarm(frame.version, frame.step or None)
    return None


def pack_outcome(number: int, outcome: Outcome) -> OrderResponse:
    """Pack an outcome.

    :param number: of the question.
    :param outcome: what came of it.
    :returns: the answer.
    """
    match outcome:
        case Done(state=state) | Rejected(state=state):
            return OrderResponse(number, type(outcome).__name__, state)
        case _:
            return OrderResponse(number, type(outcome).__name__)


def unpack_outcome(answer: OrderResponse) -> Outcome:
    """Unpack an outcome.

    :param answer: the answer.
    :returns: the outcome; :class:`Silent` if the answer says nothing else.
    """
    if answer.state is not None:
        if answer.outcome == 'Done':
            return Done(answer.state)
        if answer.outcome == 'Rejected':
            return Rejected(answer.state)
    return Fenced() if answer.outcome == 'Fenced' else Silent()
