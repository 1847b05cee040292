"""The live members, for the distribution of documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.membership.member import Member, StateChange
    from ospreyford.membership.service import Membership


class LiveMembers:
    """The live members, listed anew only after a change.

    :param membership: who is live.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._listed: tuple[Member, ...] | None = None
        membership.subscribe(self._forget)

    def members(self) -> tuple[Member, ...]:
        """List the live processes.

        :returns: the members.
        """
        if self._listed is None:
            self._listed = self._membership.members()
        return self._listed

    def _forget(self, change: StateChange) -> None:
        self._listed = None
