"""Back ends that take new work again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.membership.member import MemberState

if TYPE_CHECKING:
    from ospreyford.documents.picture import Picture
    from ospreyford.entry.directory import FleetDirectory
    from ospreyford.membership.member import StateChange
    from ospreyford.routing.router import Router

UNAVAILABLE_STATES = frozenset((MemberState.leaving, MemberState.dead))


class AvailabilityTracker:
    """Follows who takes new work, and has the router start afresh.

    Symptom without it: after a rolling replacement, or a drain that was
    withdrawn, a back end gets no request any more, and in the end all are
    refused as draining. The last load report of its agent said that it
    drains, and a newer one comes only with the answer to a request.

    :param directory: told who is withdrawn.
    :param router: forgets what it knew of who came back.
    """

    def __init__(self, directory: FleetDirectory, router: Router) -> None:
        self._directory = directory
        self._router = router
        self._draining: frozenset[str] = frozenset()

    def handle_picture(self, picture: Picture) -> None:
        """Take over a new picture.

        :param picture: what the documents in force say.
        """
        self._directory.handle_picture(picture)
        draining = frozenset(
            name
            for name, host in self._directory.hosts.items()
            if picture.drain_of(host) is not None
        )
        for name in self._draining - draining:
            self._router.remove_backend(name)
        self._draining = draining

    def handle_state_change(self, change: StateChange) -> None:
        """Take over a member's new state.

        :param change: the change.
        """
        name = change.member.name
        withdrawn = self._directory.withdrawn
        if change.after in UNAVAILABLE_STATES:
            self._directory.handle_withdrawn(withdrawn | {name})
            return
        self._directory.handle_withdrawn(withdrawn - {name})
        # Live as before is a new incarnation: what the earlier one reported,
        # such as that it drains, no longer holds.
        if change.before is not MemberState.suspect:
            self._router.remove_backend(name)
