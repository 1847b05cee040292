"""Tracks which backends accept new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.membership.member import MemberState

if TYPE_CHECKING:
    from ospreyford.documents.snapshot import ConfigurationSnapshot
    from ospreyford.entry.directory import FleetDirectory
    from ospreyford.membership.member import StateChange
    from ospreyford.routing.router import Router

UNAVAILABLE_STATES = frozenset((MemberState.leaving, MemberState.dead))


class AvailabilityTracker:
    """Resets the router's state of backends that become available again.

    Otherwise a stale load report keeps a backend marked as draining, since
    new reports arrive only with responses.

    :param directory: receives pictures and unavailable backends.
    :param router: router to reset backends in.
    """

    def __init__(self, directory: FleetDirectory, router: Router) -> None:
        self._directory = directory
        self._router = router
        self._draining: frozenset[str] = frozenset()

    def handle_picture(self, picture: ConfigurationSnapshot) -> None:
        """Handle a new picture.

        :param picture: resolved documents.
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
        """Handle a state change of a member.

        :param change: state change.
        """
        name = change.member.name
        withdrawn = self._directory.withdrawn
        if change.after in UNAVAILABLE_STATES:
            self._directory.handle_withdrawn(withdrawn | {name})
            return
        self._directory.handle_withdrawn(withdrawn - {name})
        # Live to live is a new incarnation, which invalidates old reports.
        if change.before is not MemberState.suspect:
            self._router.remove_backend(name)
