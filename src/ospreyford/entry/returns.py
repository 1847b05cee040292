"""Back ends that take new work again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.membership.member import MemberState

if TYPE_CHECKING:
    from ospreyford.documents.snapshot import ConfigurationSnapshot
    from ospreyford.entry.directory import FleetDirectory
    from ospreyford.membership.member import StateChange
    from ospreyford.routing.router import Router

WITHDRAWN = frozenset((MemberState.leaving, MemberState.dead))


class ReturnWatch:
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
        self._drained: frozenset[str] = frozenset()

    def note_picture(self, picture: ConfigurationSnapshot) -> None:
        """Take over a new picture.

        :param picture: what the documents in force say.
        """
        self._directory.note_picture(picture)
        drained = frozenset(
            name
            for name, host in self._directory.hosts.items()
            if picture.drain_of(host) is not None
        )
        for name in self._drained - drained:
            self._router.remove_backend(name)
        self._drained = drained

    def note_member(self, change: StateChange) -> None:
        """Take over a member's new state.

        :param change: the change.
        """
        name = change.member.name
        withdrawn = self._directory.withdrawn
        if change.after in WITHDRAWN:
            self._directory.note_withdrawn(withdrawn | {name})
            return
        self._directory.note_withdrawn(withdrawn - {name})
        # Live as before is a new incarnation: what the earlier one reported,
        # such as that it drains, no longer holds.
        if change.before is not MemberState.suspect:
            self._router.remove_backend(name)
