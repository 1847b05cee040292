"""Checks of the orders that reached the ranks of several groups."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from ospreyford.platform.standins.enginegroup import Verdict
from ospreyford.platform.standins.orders import GroupRecord, SeenOrder

#: A hold or an arm that comes after its pass has begun, and one that another
#: order has overtaken, are sent again; the rest was not possible.
NOT_POSSIBLE = frozenset((Verdict.unfit, Verdict.other_epoch))
#: Counters of agents that stay 0 while no process fails.
CALM_COUNTERS = ('ospreyford_orders_refused', 'ospreyford_terms_fenced')
#: A late hold is no refusal of what was not possible.
LATE_HOLD = 'cause="pass has begun",order="Hold"'


class TakenTerm(NamedTuple):
    """A coordinator's term, as its own log tells it.

    :param at: seconds since the Unix epoch.
    :param host: IP address of the coordinator.
    :param group: name of its group.
    :param token: its fencing token.
    """

    at: float
    host: str
    group: str
    token: int


def find_shared_tokens(
    orders: Iterable[SeenOrder], terms: Iterable[TakenTerm]
) -> Iterator[str]:
    """Find tokens that ordered ranks of a group without a term in it.

    Coordinators of two groups may take the same token, a time with the rank;
    then each has its own term.

    :param orders: the orders.
    :param terms: the terms.
    """
    ordered: dict[int, set[str]] = defaultdict(set)
    for one in orders:
        ordered[one.token].add(one.group)
    known = {(term.token, term.group) for term in terms}
    for token, groups in ordered.items():
        foreign = {name for name in groups if (token, name) not in known}
        if len(groups) > 1 and foreign:
            yield f'token {token} ordered ranks of {sorted(groups)}'


def find_refused(orders: Iterable[SeenOrder]) -> Iterator[str]:
    """Find orders that were not possible.

    :param orders: the orders.
    """
    for one in orders:
        if one.verdict in NOT_POSSIBLE:
            yield (
                f'{one.kind} of {one.token} at rank {one.rank} of {one.group} '
                f'refused: {one.verdict.value}'
            )


def find_fenced(orders: Iterable[SeenOrder]) -> Iterator[str]:
    """Find tokens that were fenced.

    :param orders: the orders.
    """
    for one in orders:
        if one.verdict is Verdict.fenced:
            yield f'token {one.token} fenced at rank {one.rank} of {one.group}'


def find_mixed_passes(record: GroupRecord) -> Iterator[str]:
    """Find passes that began with two maps.

    :param record: what the ranks saw.
    """
    for group, step in record.mixed_passes:
        yield f'pass {step} of {group} began with two maps'


def find_counted(figures: Mapping[str, float]) -> Iterator[str]:
    """Find counters of agents that must be 0 and are not.

    :param figures: counters by name with labels.
    """
    for name, amount in figures.items():
        is_calm = amount == 0 or LATE_HOLD in name
        if name.startswith(CALM_COUNTERS) and not is_calm:
            yield f'{name} is {amount:.0f}'
