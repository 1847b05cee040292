"""Whom to ask about a member that does not answer."""

from __future__ import annotations

from collections.abc import Iterable

from ospreyford.membership.digests import Record
from ospreyford.membership.member import Condition
from ospreyford.membership.tables import Tables


def choose_helpers(
    tables: Tables,
    silent: Record,
) -> list[Record]:
    """Choose members to ask about a silent one.

    One is a neighbour, because the connection to it is open. The others are
    anyone: where all neighbours died at once, none of them could tell.

    :param tables: the shared tables.
    :param silent: the silent member.
    :returns: some members that are not suspected.
    """
    near = _able(tables, tables.rings.neighbours(), silent)
    chosen = tables.rng.sample(near, min(1, len(near)))
    far = _able(tables, tables.view, silent)
    far = [record for record in far if record not in chosen]
    missing = tables.settings.helpers - len(chosen)
    chosen.extend(tables.rng.sample(far, min(missing, len(far))))
    return chosen


def _able(
    tables: Tables,
    records: Iterable[Record],
    silent: Record,
) -> list[Record]:
    excluded = {silent.member.name, tables.view.me}
    return [
        record
        for record in records
        if record.member.name not in excluded
        and record.version.condition is Condition.live
    ]
