"""Cached member list and counts by state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from ospreyford.membership.member import Member, MemberState
from ospreyford.membership.view import View

_REACHABLE_STATES = frozenset((MemberState.live, MemberState.suspect))


class MembershipSummary:
    """Recomputes the member list and counts only when the view changes.

    :param view: the members.
    """

    def __init__(self, view: View) -> None:
        self._view = view
        self._revision = -1
        self._reachable: tuple[Member, ...] = ()
        self._counts: Mapping[MemberState, int] = {}

    def list_reachable(self) -> tuple[Member, ...]:
        """List the members that are live or suspect.

        :returns: the members; the same tuple until the view changes.
        """
        self._refresh()
        return self._reachable

    def count_by_state(self) -> Mapping[MemberState, int]:
        """Count the members in each state.

        :returns: counts for every state; the same read-only object until
            the view changes.
        """
        self._refresh()
        return self._counts

    def _refresh(self) -> None:
        if self._revision == self._view.revision:
            return
        self._revision = self._view.revision
        self._reachable = tuple(
            record.member
            for record in self._view
            if record.state in _REACHABLE_STATES
        )
        counted = Counter(record.state for record in self._view)
        self._counts = {state: counted[state] for state in MemberState}
