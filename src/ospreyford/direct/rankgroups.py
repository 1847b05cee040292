"""Backends of each rank group of a service."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ospreyford.direct.groupdirectory import GroupDirectory
from ospreyford.direct.grouproom import NO_GROUP, GroupBackends

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ospreyford.direct.registry import BackendRegistry, BackendState
    from ospreyford.direct.zoneroom import ZoneRoom


class RankGroups:
    """Joins the registrations with the groups that agents told.

    :param registry: the known backends.
    """

    def __init__(self, registry: BackendRegistry) -> None:
        self.directory = GroupDirectory()
        self._registry = registry
        self._seen = (-1, 0)
        self.view = self.directory.make_view()

    def refresh(self) -> bool:
        """Apply what has changed; called a few times a second.

        :returns: whether anything has.
        """
        seen = (self._registry.version, self.directory.version)
        if seen == self._seen:
            return False
        self._seen = seen
        self.directory.update_registered(self._registry.list_servers())
        self.view = self.directory.make_view()
        return True

    def find_name(self, backend: BackendState) -> str:
        """Find the group whose room a backend's streams take.

        :param backend: the backend.
        :returns: name of the group; empty if none is known.
        """
        server = backend.server
        return self.view.rooms.get((server.host, server.port), NO_GROUP)

    def find_names(self, backends: Iterable[BackendState]) -> set[str]:
        """Find the groups of backends.

        :param backends: backends of one service.
        :returns: names of their groups.
        """
        return {self.find_name(one) for one in backends}

    def select_members(
        self, backends: Sequence[BackendState], name: str
    ) -> list[BackendState]:
        """Select the backends of a group.

        :param backends: backends of one service.
        :param name: name of the group.
        :returns: those of the group.
        """
        return [one for one in backends if self.find_name(one) == name]

    def list_backends(
        self, service: str, zone: str, room: ZoneRoom
    ) -> dict[str, GroupBackends]:
        """List what is known of the available backends of each group.

        :param service: name of the service.
        :param zone: the entry's availability zone.
        :param room: counts their slots.
        :returns: backends by name of the group.
        """
        grouped: dict[str, list[BackendState]] = defaultdict(list)
        for backend in self._registry.list_available(service):
            grouped[self.find_name(backend)].append(backend)
        return {
            name: GroupBackends(
                len(members),
                room.count_slots(members),
                any(one.server.zone == zone for one in members),
            )
            for name, members in grouped.items()
        }
