"""The back ends that an entry knows, and what it has seen of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Weight of the newest outcome in a back end's failure rate: five failures in
#: a row take it to 0.67, five successes from there back to 0.22.
OUTCOME_WEIGHT = 0.2


class BackendServer(NamedTuple):
    """One instance of a back end, as it registered itself.

    :param id: its name; a process that starts again may have the same one.
    :param service: the service that it belongs to.
    :param host: its IP number.
    :param port: its port.
    :param zone: its availability zone.
    :param slots: requests that it runs at once.
    :param is_draining: whether it takes no new work.
    :param revision: of the registration, in the platform's store.
    :param born_ms: when the process started, in Unix milliseconds; 0 if the
        registration does not tell.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    revision: int
    born_ms: int = 0

    def is_incarnation_of(self, other: BackendServer) -> bool:
        """Tell whether two registrations are of one start of a process.

        :param other: the other registration.
        :returns: whether id and start are the same.
        """
        return self.name_incarnation() == other.name_incarnation()

    def name_incarnation(self) -> tuple[str, int]:
        """Name this start of the process.

        :returns: id and start.
        """
        return self.id, self.born_ms


class Member:
    """A back end and this entry's experience with it.

    :param server: its newest registration.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.in_flight = 0
        self.failure_rate: float = 0
        self.failed_at: float = 0
        self.elsewhere = 0
        self.pace: float = 1
        self.told_at: float = 0
        self.is_silent = False
        self.is_gone = False
        self.gone_by: float | None = None

    def note_success(self) -> None:
        """Count a request that it answered."""
        self.failure_rate *= 1 - OUTCOME_WEIGHT

    def note_failure(self, now: float) -> None:
        """Count a request that it failed, refused or left unanswered.

        :param now: seconds on the monotonic clock.
        """
        self.failure_rate += OUTCOME_WEIGHT * (1 - self.failure_rate)
        self.failed_at = now

    def take_figures(self, requests: int, pace: float, now: float) -> None:
        """Take over what its group's coordinator tells of it.

        :param requests: that run and wait there, of all entries.
        :param pace: how many times its usual time it takes.
        :param now: seconds on the monotonic clock.
        """
        self.elsewhere = max(requests - self.in_flight, 0)
        self.pace = max(pace, 1)
        self.told_at = now

    def count_load(self) -> int:
        """Count the requests that it has, of this entry and of others.

        :returns: the newest known sum.
        """
        return self.in_flight + self.elsewhere


class Fleet:
    """All back ends by id."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def find(self, server_id: str) -> Member | None:
        """Find a back end.

        :param server_id: its id.
        :returns: the member, or ``None``.
        """
        return self._members.get(server_id)

    def list_service(self, service: str) -> list[Member]:
        """List the back ends of a service that take new work.

        :param service: the service's name.
        :returns: the members that are neither draining nor gone.
        """
        return [
            member
            for member in self._members.values()
            if member.server.service == service
            and not member.server.is_draining
        ]

    def list_all(self, service: str) -> list[Member]:
        """List the back ends of a service, draining ones as well.

        :param service: the service's name.
        :returns: the members.
        """
        return [
            member
            for member in self._members.values()
            if member.server.service == service
        ]

    def count_slots(self, service: str) -> int:
        """Count the requests that the back ends of a service run at once.

        :param service: the service's name.
        :returns: the slots of those that take new work, all together. One that
            died and the one that runs at its address now count once: a dead
            one stays registered for some seconds.
        """
        slots = {
            (one.server.host, one.server.port): one.server.slots
            for one in self.list_service(service)
        }
        return sum(slots.values())

    def find_host(self, service: str, host: str) -> list[Member]:
        """Find the back ends of a service on a host.

        :param service: the service's name.
        :param host: the IP number.
        :returns: the members; during a replacement there may be two.
        """
        return [
            member
            for member in self._members.values()
            if member.server.host == host and member.server.service == service
        ]

    def put(self, server: BackendServer) -> bool:
        """Add or renew a registration.

        :param server: as registered.
        :returns: whether anything but the revision changed.
        """
        member = self._members.get(server.id)
        if member is None or not server.is_incarnation_of(member.server):
            # What was seen of an earlier start (failures, load, pace) says
            # nothing of this one: a restarted back end would stay avoided, or
            # look full of requests that ended with its predecessor.
            self._members[server.id] = Member(server)
            return True
        member.gone_by = None
        changed = member.server._replace(revision=server.revision) != server
        member.server = server
        return changed

    def mark_missing(self, server_id: str, gone_by: float) -> None:
        """Keep a back end whose registration vanished, for a while.

        :param server_id: its id.
        :param gone_by: when it counts as gone unless it is back, in seconds
            on the monotonic clock.
        """
        member = self._members.get(server_id)
        if member is not None and member.gone_by is None:
            member.gone_by = gone_by

    def remove(self, server_id: str) -> bool:
        """Forget a back end that left.

        :param server_id: its id.
        :returns: whether it was known.
        """
        member = self._members.pop(server_id, None)
        if member is not None:
            member.is_gone = True
        return member is not None

    def remove_missing(self, now: float) -> list[str]:
        """Forget the back ends that did not come back in time.

        :param now: seconds on the monotonic clock.
        :returns: their ids.
        """
        late = [
            server_id
            for server_id, member in self._members.items()
            if member.gone_by is not None and member.gone_by <= now
        ]
        for server_id in late:
            self.remove(server_id)
        return late

    def ids(self) -> Iterable[str]:
        """List the ids of all back ends.

        :returns: the ids.
        """
        return tuple(self._members)
