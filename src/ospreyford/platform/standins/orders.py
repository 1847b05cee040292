"""Orders as they reach the stand-in of a rank, and their record."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final, NamedTuple

import msgspec

from ospreyford.platform.standins.enginegroup import Verdict
from ospreyford.rebalance.group import (
    Arm,
    Disarm,
    ExpertMap,
    Go,
    Guard,
    Hold,
    Order,
    Prepare,
)

STATUS_BY_VERDICT: Final = (
    (Verdict.accepted, HTTPStatus.ACCEPTED),
    (Verdict.already_applied, HTTPStatus.OK),
    (Verdict.fenced, HTTPStatus.PRECONDITION_FAILED),
)
NO_EPOCH: Final = -1


class SeenOrder(NamedTuple):
    """An order that reached a rank.

    :param at: seconds since the Unix epoch.
    :param host: IP address of the rank.
    :param group: name of the rank's group at that time.
    :param rank: its number there.
    :param token: fencing token of the sender.
    :param kind: type of the order.
    :param verdict: what became of it.
    """

    at: float
    host: str
    group: str
    rank: int
    token: int
    kind: str
    verdict: Verdict


@dataclass
class GroupRecord:
    """What the ranks of all groups saw.

    :param orders: orders that reached a rank.
    :param mixed_passes: group and number of each pass that began with two maps.
    :param closings: group and time of each crash that closed one, in seconds
        since the Unix epoch.
    :param held_seconds: by group, time for which a pass was held back.
    """

    orders: list[SeenOrder] = field(default_factory=list)
    mixed_passes: list[tuple[str, int]] = field(default_factory=list)
    closings: list[tuple[str, float]] = field(default_factory=list)
    held_seconds: dict[str, float] = field(default_factory=dict)


class _Body(msgspec.Struct, frozen=True):
    operation: str = msgspec.field(name='Operation')
    token: int = msgspec.field(name='FencingToken', default=0)
    epoch: int = NO_EPOCH
    precondition: int | None = msgspec.field(name='Precondition', default=None)
    version: int = msgspec.field(name='Version', default=0)
    step: int = 0
    experts: ExpertMap = msgspec.field(name='ExpertMap', default=())


_decoder = msgspec.json.Decoder(_Body)


def decode_order(body: bytes, epoch: int) -> tuple[Order, Guard] | None:
    """Decode the body of an order.

    :param body: the body.
    :param epoch: epoch of an order that names none.
    :returns: the order and its preconditions; ``None`` if there is no such
        order.
    """
    try:
        fields = _decoder.decode(body)
    except msgspec.DecodeError:
        return None
    order = _build_order(fields)
    if order is None:
        return None
    meant = epoch if fields.epoch == NO_EPOCH else fields.epoch
    return order, Guard(fields.token, meant, fields.precondition)


def _build_order(fields: Any) -> Order | None:
    match fields.operation:
        case 'prepare':
            return Prepare(fields.version, fields.experts)
        case 'arm':
            return Arm(fields.version, fields.step)
        case 'disarm':
            return Disarm(fields.version)
        case 'Hold':
            return Hold(fields.step)
        case 'go':
            return Go(fields.step)
    return None
