"""Encoding of orders and outcomes in messages."""

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
from ospreyford.rebalance.memberstates import strip_group
from ospreyford.rebalance.messages import (
    NO_MAP_VERSION,
    EncodedOrder,
    OrderResponse,
)

if TYPE_CHECKING:
    from ospreyford.rebalance.mapcache import MapCache


def encode_order(order: Order) -> EncodedOrder:
    """Encode an order.

    :param order: the order.
    :returns: the encoded order.
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
    """Encode an order to prepare a map as deltas to a base map.

    :param order: the order.
    :param base_version: version of a map that the agent probably knows.
    :param maps: the locally known maps.
    :returns: the encoded order without and with the base map; twice with the
        full new map if the base isn't known locally.
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
    """Resolve the deltas of an encoded order to a full map.

    :param encoded: the encoded order.
    :param maps: the locally known maps, to which an included base is added.
    :returns: the encoded order with the full map, or ``None`` if its base is
        unknown or differs from the local map of that version.
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
    # Ranks do not compare maps: one made from a wrong base would be in force
    # beside the right one, under the same version.
    if encoded.digest and compute_digest(experts) != encoded.digest:
        return None
    return EncodedOrder(encoded.kind, encoded.version, encoded.step, experts)


def decode_order(encoded: EncodedOrder) -> Order | None:
    """Decode an order.

    :param encoded: the encoded order.
    :returns: the order, or ``None`` if its kind is unknown.
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
    """Encode an outcome.

    :param request_id: that of the request.
    :param outcome: the outcome of the order.
    :returns: the response.
    """
    match outcome:
        case Done(state=state) | Rejected(state=state):
            return OrderResponse(
                request_id, type(outcome).__name__, strip_group(state)
            )
        case _:
            return OrderResponse(request_id, type(outcome).__name__)


def decode_outcome(response: OrderResponse) -> Outcome:
    """Decode an outcome.

    :param response: the response.
    :returns: the outcome; :class:`Silent` if it is absent or unknown.
    """
    if response.state is not None:
        if response.outcome == 'Done':
            return Done(response.state)
        if response.outcome == 'Rejected':
            return Rejected(response.state)
    return Fenced() if response.outcome == 'Fenced' else Silent()
