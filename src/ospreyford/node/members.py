"""The live members in the terms of the other parts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.membership.member import StateChange
    from ospreyford.membership.service import Membership


class DistributionMember(NamedTuple):
    """A member as the distribution of documents sees it."""

    name: str
    address: str
    zone: str


class LiveMembers:
    """The live members, listed anew only after a change.

    :param membership: who is live.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._listed: tuple[DistributionMember, ...] | None = None
        membership.subscribe(self._forget)

    def members(self) -> tuple[DistributionMember, ...]:
        """List the live processes.

        :returns: the members.
        """
        if self._listed is None:
            self._listed = tuple(
                DistributionMember(one.name, one.peer_address, one.zone)
                for one in self._membership.members()
            )
        return self._listed

    def _forget(self, change: StateChange) -> None:
        self._listed = None
