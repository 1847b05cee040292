"""Groups and backends that a stream may still be given to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.direct.selection import find_selectable

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.grouprooms import GroupRooms
    from ospreyford.direct.registry import BackendState


class CallGroups:
    """Groups of one request; without effect where a service has only one.

    :param call: the request.
    :param context: shared state of the entry.
    """

    def __init__(self, call: Call, context: EntryContext) -> None:
        self._call = call
        self._context = context
        self._avoided: set[str] = set()

    def list_allowed(self) -> frozenset[str] | None:
        """List the groups that may run the request.

        :returns: names of the groups; ``None`` if there is no restriction.
        """
        if self._find_rooms() is None:
            return None
        selectable = self.find_selectable()
        if selectable is None and not self._avoided:
            return None
        backends = self._context.backends.list_preferred(self._call.service)
        names = self._context.groups.find_names(
            one
            for one in backends
            if selectable is None or one.server.id in selectable
        )
        return frozenset(names - self._avoided) or None

    def find_selectable(self) -> set[str] | None:
        """Find the backends to which the route's limit restricts it.

        :returns: ids of the backends, or ``None`` if others may be tried.
        """
        call = self._call
        if not call.attempts:
            return None
        return find_selectable(
            self._context.backends.list_preferred(call.service),
            call.list_tried_backends(),
            call.list_reached_backends(),
            call.route.attempts,
        )

    def list_backends(self) -> list[BackendState]:
        """List the backends of the group that the request is admitted to.

        :returns: preferred backends; all of its service if it has one group, or
            if the request isn't admitted.
        """
        backends = self._context.backends
        preferred = backends.list_preferred(self._call.service)
        return self.select_members(preferred) or self.select_members(
            backends.list_available(self._call.service)
        )

    def select_members(
        self, backends: list[BackendState]
    ) -> list[BackendState]:
        """Select the backends of the group that the request is admitted to.

        :param backends: backends of its service.
        :returns: those of the group; all if the service has only one.
        """
        room = self._call.room
        if room is None or self._find_rooms() is None:
            return backends
        return self._context.groups.select_members(backends, room.name)

    def leave(self) -> bool:
        """Leave a group that has no backend for the request.

        :returns: whether another group may run it, so that it should wait for
            admission again.
        """
        room = self._call.room
        if room is None or self._find_rooms() is None:
            return False
        if room.name in self._avoided:
            # No other group was known as it was admitted again.
            return False
        self._avoided.add(room.name)
        return self.list_allowed() is not None

    def _find_rooms(self) -> GroupRooms | None:
        """Find the rooms of the service, if there are several."""
        gate = self._context.gates.get(self._call.service)
        if gate is None or gate.rooms.is_sole():
            return None
        return gate.rooms
