"""Whom to ask about a member that does not answer."""

from __future__ import annotations

from collections.abc import Iterable

from ospreyford.membership.digests import Record
from ospreyford.membership.member import MemberState
from ospreyford.membership.tables import Tables


def choose_helpers(
    tables: Tables,
    silent: Record,
) -> list[Record]:
    """Choose members to ask about a silent one.

    :param tables: the shared tables.
    :param silent: the silent member.
    :returns: some members that are taken for live; neighbours come first,
        because the connections to them are open.
    """
    wanted = tables.settings.helpers
    near = _able(tables, tables.rings.neighbours(), silent)
    chosen = tables.rng.sample(near, min(wanted, len(near)))
    if len(chosen) < wanted:
        far = _able(tables, tables.view, silent)
        far = [record for record in far if record not in chosen]
        missing = min(wanted - len(chosen), len(far))
        chosen.extend(tables.rng.sample(far, missing))
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
        and record.state in {MemberState.live, MemberState.leaving}
    ]
