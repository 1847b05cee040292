"""Which group's session an agent needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.groupkey import GroupKey

if TYPE_CHECKING:
    from collections.abc import Collection

    from ospreyford.rebalance.group import RankState


def select_group(
    current: GroupKey | None,
    leaving: Collection[GroupKey],
    state: RankState | None,
    service: str,
) -> GroupKey | None:
    """Select the group that an agent takes part in.

    :param current: group of the present session, if any.
    :param leaving: groups that the agent is still leaving.
    :param state: state of the rank, or ``None`` without an answer.
    :param service: service of the rank; empty if it is not known.
    :returns: the group; ``None`` if there is none to take part in yet.
    """
    if state is None:
        return current
    key = GroupKey(service, state.group)
    # Two sessions of one group would answer for each other.
    return key if key.is_named() and key not in leaving else None
