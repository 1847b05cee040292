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
from ospreyford.rebalance.messages import NO_MAP, OrderFrame, Tell

if TYPE_CHECKING:
    from ospreyford.rebalance.mapcache import MapCache


def pack_order(order: Order) -> OrderFrame:
    """Pack an order.

    :param order: the order.
    :returns: its frame.
    """
    match order:
        case Prepare(version=version, experts=experts):
            return OrderFrame('Prepare', version, 0, experts)
        case Hold(step=step):
            return OrderFrame('Hold', 0, step)
        case Arm(version=version, step=step):
            return OrderFrame('Arm', version, step)
        case Go(step=step):
            return OrderFrame('Go', 0, step)
        case Disarm(version=version, held=held):
            return OrderFrame('Disarm', version, held or 0)


def pack_change(
    order: Prepare, base: int, maps: MapCache
) -> tuple[OrderFrame, OrderFrame]:
    """Pack an order to prepare a map as what changes.

    :param order: the order.
    :param base: version of a map that the agent most likely knows.
    :param maps: the maps that are known here.
    :returns: its frame without the map that it changes, and with it, for an
        agent that does not know that one; twice with the new map if it is not
        known here.
    """
    before = maps.get(base)
    if before is None:
        whole = pack_order(order)
        return whole, whole
    parts = compute_map_delta(before, order.experts)
    digest = compute_digest(order.experts)
    short = OrderFrame('Prepare', order.version, 0, (), base, parts, digest)
    return short, msgspec.structs.replace(short, experts=before)


def read_map(frame: OrderFrame, maps: MapCache) -> OrderFrame | None:
    """Put the whole map into a frame that has only what changes.

    :param frame: the frame.
    :param maps: the maps that are known here; a base that comes along is one
        of them from now on.
    :returns: the frame with its map, or ``None`` if the map that it changes is
        not known, or is another one here.
    """
    if frame.base == NO_MAP:
        return frame
    if frame.experts:
        maps.put(frame.base, frame.experts)
    before = maps.get(frame.base)
    experts = None if before is None else apply_map_delta(before, frame.parts)
    if experts is None:
        return None
    # Ranks do not compare maps: one made from another base would be in force
    # beside the one that is meant, under the same version.
    if frame.digest and compute_digest(experts) != frame.digest:
        return None
    return OrderFrame(frame.kind, frame.version, frame.step, experts)


def unpack_order(frame: OrderFrame) -> Order | None:
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


def pack_outcome(number: int, outcome: Outcome) -> Tell:
    """Pack an outcome.

    :param number: of the question.
    :param outcome: what came of it.
    :returns: the answer.
    """
    match outcome:
        case Done(state=state) | Rejected(state=state):
            return Tell(number, type(outcome).__name__, state)
        case _:
            return Tell(number, type(outcome).__name__)


def unpack_outcome(answer: Tell) -> Outcome:
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
