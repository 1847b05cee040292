"""The back ends that an entry knows, and what it has seen of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Weight of the newest outcome in a back end's failure rate: five failures in
#: a row take it to 0.67, five successes from there back to 0.22.
FAILURE_EWMA_WEIGHT = 0.2


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
    :param started_ms: when the process started, in Unix milliseconds; 0 if the
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
    started_ms: int = 0

    def is_same_incarnation(self, other: BackendServer) -> bool:
        """Tell whether two registrations are of one start of a process.

        :param other: the other registration.
        :returns: whether id and start are the same.
        """
        return self.get_incarnation() == other.get_incarnation()

    def get_incarnation(self) -> tuple[str, int]:
        """Name this start of the process.

        :returns: id and start.
        """
        return self.id, self.started_ms


class BackendState:
    """A back end and this entry's experience with it.

    :param server: its newest registration.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.in_flight = 0
        self.failure_rate: float = 0
        self.failed_at: float = 0
        self.remote_in_flight = 0
        self.slowdown: float = 1
        self.reported_at: float = 0
        self.is_agent_unreachable = False
        self.is_gone = False
        self.expires_at: float | None = None

    def record_success(self) -> None:
        """Count a request that it answered."""
        self.failure_rate *= 1 - FAILURE_EWMA_WEIGHT

    def record_failure(self, now: float) -> None:
        """Count a request that it failed, refused or left unanswered.

        :param now: seconds on the monotonic clock.
        """
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1 - self.failure_rate)
        self.failed_at = now

    def update_load(self, requests: int, slowdown: float, now: float) -> None:
        """Take over what its group's coordinator tells of it.

        :param requests: that run and wait there, of all entries.
        :param pace: how many times its usual time it takes.
        :param now: seconds on the monotonic clock.
        """
        self.remote_in_flight = max(requests - self.in_flight, 0)
        self.slowdown = max(slowdown, 1)
        self.reported_at = now

    def count_load(self) -> int:
        """Count the requests that it has, of this entry and of others.

        :returns: the newest known sum.
        """
        return self.in_flight + self.remote_in_flight


class BackendRegistry:
    """All back ends by id."""

    def __init__(self) -> None:
        self._backends: dict[str, BackendState] = {}

    def __len__(self) -> int:
        return len(self._backends)

    def find(self, server_id: str) -> BackendState | None:
        """Find a back end.

        :param server_id: its id.
        :returns: the member, or ``None``.
        """
        return self._backends.get(server_id)

    def list_available(self, service: str) -> list[BackendState]:
        """List the back ends of a service that take new work.

        :param service: the service's name.
        :returns: the members that are neither draining nor gone.
        """
        return [
            backend
            for backend in self._backends.values()
            if backend.server.service == service
            and not backend.server.is_draining
        ]

    def list_all(self, service: str) -> list[BackendState]:
        """List the back ends of a service, draining ones as well.

        :param service: the service's name.
        :returns: the members.
        """
        return [
            backend
            for backend in self._backends.values()
            if backend.server.service == service
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
            for one in self.list_available(service)
        }
        return sum(slots.values())

    def find_on_host(self, service: str, host: str) -> list[BackendState]:
        """Find the back ends of a service on a host.

        :param service: the service's name.
        :param host: the IP number.
        :returns: the members; during a replacement there may be two.
        """
        return [
            backend
            for backend in self._backends.values()
            if backend.server.host == host and backend.server.service == service
        ]

    def put(self, server: BackendServer) -> bool:
        """Add or renew a registration.

        :param server: as registered.
        :returns: whether anything but the revision changed.
        """
        backend = self._backends.get(server.id)
        if backend is None or not server.is_same_incarnation(backend.server):
            # What was seen of an earlier start (failures, load, pace) says
            # nothing of this one: a restarted back end would stay avoided, or
            # look full of requests that ended with its predecessor.
            self._backends[server.id] = BackendState(server)
            return True
        backend.expires_at = None
        changed = backend.server._replace(revision=server.revision) != server
        backend.server = server
        return changed

    def mark_missing(self, server_id: str, expires_at: float) -> None:
        """Keep a back end whose registration vanished, for a while.

        :param server_id: its id.
        :param gone_by: when it counts as gone unless it is back, in seconds
            on the monotonic clock.
        """
        backend = self._backends.get(server_id)
        if backend is not None and backend.expires_at is None:
            backend.expires_at = expires_at

    def remove(self, server_id: str) -> bool:
        """Forget a back end that left.

        :param server_id: its id.
        :returns: whether it was known.
        """
        backend = self._backends.pop(server_id, None)
        if backend is not None:
            backend.is_gone = True
        return backend is not None

    def remove_expired(self, now: float) -> list[str]:
        """Forget the back ends that did not come back in time.

        :param now: seconds on the monotonic clock.
        :returns: their ids.
        """
        expired = [
            server_id
            for server_id, backend in self._backends.items()
            if backend.expires_at is not None and backend.expires_at <= now
        ]
        for server_id in expired:
            self.remove(server_id)
        return expired

    def list_ids(self) -> Iterable[str]:
        """List the ids of all back ends.

        :returns: the ids.
        """
        return tuple(self._backends)
