"""Whom to ask about a member that does not answer."""

from __future__ import annotations

from collections.abc import Iterable

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Record
from ospreyford.membership.member import Condition


def select_helpers(
    context: MembershipContext,
    unresponsive: Record,
) -> list[Record]:
    """Choose members to ask about a silent one.

    One is a neighbour, because the connection to it is open. The others are
    anyone: where all neighbours died at once, none of them could tell.

    :param context: the shared state.
    :param silent: the silent member.
    :returns: some members that are not suspected.
    """
    neighbours = _filter_candidates(
        context, context.rings.list_neighbours(), unresponsive
    )
    chosen = context.rng.sample(neighbours, min(1, len(neighbours)))
    others = _filter_candidates(context, context.view, unresponsive)
    others = [record for record in others if record not in chosen]
    missing = context.settings.helpers - len(chosen)
    chosen.extend(context.rng.sample(others, min(missing, len(others))))
    return chosen


def _filter_candidates(
    context: MembershipContext,
    records: Iterable[Record],
    unresponsive: Record,
) -> list[Record]:
    excluded = {unresponsive.member.name, context.view.me}
    return [
        record
        for record in records
        if record.member.name not in excluded
        and record.version.condition is Condition.live
    ]
