"""Live entries of the fleet, which share customer limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.limits.owners import EntryView
from ospreyford.membership.member import MemberState

if TYPE_CHECKING:
    from ospreyford.membership.member import StateChange
    from ospreyford.membership.service import Membership
    from ospreyford.ports.fleet import Host

ENTRY_ROLE = 'entry'


class LiveEntries:
    """Cached view of the live and known entries.

    :param membership: the fleet's membership.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._listed_names: frozenset[str] = frozenset()
        self._view: EntryView | None = None
        membership.subscribe(self._handle_member_change)

    def handle_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Update the known entries from the host list.

        :param hosts: all hosts of the fleet.
        """
        listed_names = frozenset(
            host.name for host in hosts if host.role == ENTRY_ROLE
        )
        if listed_names != self._listed_names:
            self._listed_names = listed_names
            self._view = None

    def view(self) -> EntryView:
        """Return the current view.

        :returns: the view; the same object until a change.
        """
        if self._view is None:
            self._view = self._compute_view()
        return self._view

    def _compute_view(self) -> EntryView:
        live = {
            member.name: member.peer_address
            for member in self._membership.members(role=ENTRY_ROLE)
            if self._membership.state_of(member.name) is MemberState.live
        }
        known = len(self._listed_names.union(live))
        return EntryView(live, known)

    def _handle_member_change(self, change: StateChange) -> None:
        if change.member.role == ENTRY_ROLE:
            self._view = None
