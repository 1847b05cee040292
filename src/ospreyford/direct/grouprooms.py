"""Rooms of the rank groups of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.direct.grouproom import NO_BACKENDS, NO_GROUP, GroupRoom

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ospreyford.direct.grouproom import GroupBackends


class RoomTotals(NamedTuple):
    """Totals of the groups that a request may go to.

    :param first_event: shortest expected time to a first event, in seconds; 0
        before the first report.
    :param capacity: streams that this entry may run.
    :param running: streams that it runs.
    """

    first_event: float
    capacity: float
    running: int


class GroupRooms:
    """Rooms by name of the group.

    Before any group is known, there is one room for all backends.

    :param max_gap: maximum gap between events, in seconds.
    :param slots: requests that the service's ranks run concurrently.
    :param entries: number of entries that share them.
    """

    def __init__(
        self, max_gap: float, slots: int = 0, entries: int = 1
    ) -> None:
        self._max_gap = max_gap
        self._rooms = {NO_GROUP: GroupRoom(NO_GROUP, max_gap, slots, entries)}

    def find(self, name: str) -> GroupRoom | None:
        """Find the room of a group.

        :param name: name of the group.
        :returns: the room, or ``None`` if the group is not known.
        """
        return self._rooms.get(name)

    def list_all(self) -> list[GroupRoom]:
        """List all rooms.

        :returns: the rooms.
        """
        return list(self._rooms.values())

    def is_sole(self) -> bool:
        """Check whether there is a single room.

        :returns: whether there is; one that only lasts for its streams counts.
        """
        return len(self._rooms) == 1

    def update_backends(
        self, groups: Mapping[str, GroupBackends], entries: int
    ) -> None:
        """Apply what is known of the groups' backends.

        The only room keeps its state when its group becomes known, or is not
        known any more. A room without backends lasts as long as streams
        run in it.

        :param groups: backends by name of the group.
        :param entries: number of entries that share them.
        """
        if self.is_sole() and len(groups) == 1:
            (known,), (name,) = self._rooms, groups
            # All backends may have been away, and their group isn't told yet.
            if known != name and NO_GROUP in {known, name}:
                self._rename_sole(known, name)
        for name, backends in groups.items():
            if name not in self._rooms:
                self._rooms[name] = GroupRoom(
                    name, self._max_gap, backends.slots, entries
                )
        if groups:
            self._remove_unused(groups)
        for room in self._rooms.values():
            room.backends = groups.get(room.name, NO_BACKENDS)
            if room.reported_at is None and not self.is_sole():
                room.limit.update_slots(room.backends.slots, entries)

    def update_declining(self, names: Collection[str]) -> None:
        """Apply which groups' backends want no requests for the moment.

        :param names: names of the groups of which no backend takes requests.
        """
        for room in self._rooms.values():
            room.is_accepting = room.name not in names

    def list_served(self) -> list[GroupRoom]:
        """List the rooms of groups with available backends.

        :returns: these rooms; all if there are no backends.
        """
        rooms = self.list_all()
        if self.is_sole():
            return rooms
        served = [room for room in rooms if room.backends.size]
        return served or rooms

    def list_usable(
        self, now: float, names: frozenset[str] | None = None
    ) -> list[GroupRoom]:
        """List the rooms that may be given a request now.

        :param now: seconds on the monotonic clock.
        :param names: names of the groups that may run it; ``None`` for all.
            Names of which none has backends any more restrict nothing.
        :returns: the rooms whose groups have backends that take requests, and
            that aren't paused.
        """
        rooms = self.list_served()
        if len(rooms) > 1:
            allowed = names or frozenset()
            rooms = [room for room in rooms if room.name in allowed] or rooms
            rooms = [room for room in rooms if room.is_accepting] or rooms
        return [room for room in rooms if not room.is_paused(now)]

    def has_other_open(self, room: GroupRoom) -> bool:
        """Check whether another group is open.

        :param room: the room of a group.
        :returns: whether another one with backends isn't closed.
        """
        return not self.is_sole() and any(
            other is not room and not other.is_closed
            for other in self.list_served()
        )

    def compute_totals(self) -> RoomTotals:
        """Sum up the rooms of the open groups; of all if none is open.

        :returns: the totals.
        """
        rooms = self._list_open()
        reported = [room for room in rooms if room.reported_at is not None]
        return RoomTotals(
            min(room.first_event for room in reported or rooms),
            sum(room.limit.capacity for room in rooms),
            sum(room.running for room in rooms),
        )

    def find_freest(self) -> GroupRoom:
        """Find the room with the most free places.

        :returns: the room.
        """
        return max(
            self._list_open(),
            key=lambda room: room.limit.regular - room.running,
        )

    def _list_open(self) -> list[GroupRoom]:
        served = self.list_served()
        return [room for room in served if not room.is_closed] or served

    def _rename_sole(self, known: str, name: str) -> None:
        room = self._rooms.pop(known)
        room.name = name
        self._rooms[name] = room

    def _remove_unused(self, groups: Mapping[str, GroupBackends]) -> None:
        self._rooms = {
            name: room
            for name, room in self._rooms.items()
            if room.running or name in groups
        }
