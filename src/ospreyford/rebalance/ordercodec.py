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
from ospreyford.rebalance.mapdelta import (
    apply_map_delta,
    compute_digest,
    compute_map_delta,
)
from ospreyford.rebalance.messages import (
    NO_MAP_VERSION,
    EncodedOrder,
    OrderResponse,
)

if TYPE_CHECKING:
    from ospreyford.rebalance.mapcache import MapCache


def encode_order(order: Order) -> EncodedOrder:
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


def encode_map_change(
    order: Prepare, base_version: int, maps: MapCache
) -> tuple[EncodedOrder, EncodedOrder]:
    """Pack an order to prepare a map as what changes.

    :param order: the order.
    :param base: version of a map that the agent most likely knows.
    :param maps: the maps that are known here.
    :returns: its frame without the map that it changes, and with it, for an
        agent that does not know that one; twice with the new map if it is not
        known here.
    """
    base_map = maps.get(base_version)
    if base_map is None:
        full_order = encode_order(order)
        return full_order, full_order
    deltas = compute_map_delta(base_map, order.experts)
    digest = compute_digest(order.experts)
    delta_order = EncodedOrder(
        'Prepare', order.version, 0, (), base_version, deltas, digest
    )
    return delta_order, msgspec.structs.replace(delta_order, experts=base_map)


def resolve_map(encoded: EncodedOrder, maps: MapCache) -> EncodedOrder | None:
    """Put the whole map into a frame that has only what changes.

    :param frame: the frame.
    :param maps: the maps that are known here; a base that comes along is one
        of them from now on.
    :returns: the frame with its map, or ``None`` if the map that it changes is
        not known, or is another one here.
    """
    if encoded.base_version == NO_MAP_VERSION:
        return encoded
    if encoded.experts:
        maps.put(encoded.base_version, encoded.experts)
    base_map = maps.get(encoded.base_version)
    experts = (
        None if base_map is None else apply_map_delta(base_map, encoded.deltas)
    )
    if experts is None:
        return None
    # Ranks do not compare maps: one made from another base would be in force
    # beside the one that is meant, under the same version.
    if encoded.digest and compute_digest(experts) != encoded.digest:
        return None
    return EncodedOrder(encoded.kind, encoded.version, encoded.step, experts)


def decode_order(encoded: EncodedOrder) -> Order | None:
    """Unpack an order.

    :param frame: its frame.
    :returns: the order, or ``None`` if there is no such one.
    """
    match encoded.kind:
        case 'Prepare':
            return Prepare(encoded.version, encoded.experts)
        case 'Hold':
            return Hold(encoded.step)
        case 'Arm':
            return Arm(encoded.version, encoded.step)
        case 'Go':
            return Go(encoded.step)
        case 'Disarm':
            return Disarm(encoded.version, encoded.step or None)
    return None


def encode_outcome(request_id: int, outcome: Outcome) -> OrderResponse:
    """Pack an outcome.

    :param number: of the question.
    :param outcome: what came of it.
    :returns: the answer.
    """
    match outcome:
        case Done(state=state) | Rejected(state=state):
            return OrderResponse(request_id, type(outcome).__name__, state)
        case _:
            return OrderResponse(request_id, type(outcome).__name__)


def decode_outcome(response: OrderResponse) -> Outcome:
    """Unpack an outcome.

    :param answer: the answer.
    :returns: the outcome; :class:`Silent` if the answer says nothing else.
    """
    if response.state is not None:
        if response.outcome == 'Done':
            return Done(response.state)
        if response.outcome == 'Rejected':
            return Rejected(response.state)
    return Fenced() if response.outcome == 'Fenced' else Silent()
