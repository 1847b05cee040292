"""Orders and outcomes as they travel in messages."""

from __future__ import annotations

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
from ospreyford.rebalance.messages import OrderFrame, Tell


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
