"""Selection of helpers for indirect probes."""

from __future__ import annotations

from collections.abc import Iterable

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Record
from ospreyford.membership.member import Condition


def select_helpers(
    context: MembershipContext,
    unresponsive: Record,
) -> list[Record]:
    """Select helpers to probe an unresponsive member.

    One is a neighbour, whose connection is open. The others are random, in
    case all neighbours have failed.

    :param context: the shared state.
    :param unresponsive: the member to probe.
    :returns: helpers that are not suspected themselves.
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
