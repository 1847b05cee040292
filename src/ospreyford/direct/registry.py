"""Registry of known backends with their load and failure statistics."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Weight of the newest outcome in a backend's failure rate: five failures in a
#: row take it to 0.67, five successes from there back to 0.22.
FAILURE_EWMA_WEIGHT = 0.2


class BackendServer(NamedTuple):
    """Registration of one backend instance.

    :param id: its name; may be reused by a restarted process.
    :param service: name of its service.
    :param host: its IP address.
    :param port: its port.
    :param zone: its availability zone.
    :param slots: requests that it runs concurrently.
    :param is_draining: whether it accepts no new requests.
    :param revision: revision of the registration in the store.
    :param started_ms: start of the process in Unix milliseconds; 0 if not
        registered.
    :param cold_seconds: time for which it stays cold, as of the registration;
        ``None`` if not registered.
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
    cold_seconds: float | None = None

    def is_same_incarnation(self, other: BackendServer) -> bool:
        """Check whether two registrations are of the same process.

        :param other: the other registration.
        :returns: whether id and start time are equal.
        """
        return self.get_incarnation() == other.get_incarnation()

    def get_incarnation(self) -> tuple[str, int]:
        """Return the key of the process.

        :returns: id and start time.
        """
        return self.id, self.started_ms


class BackendState:
    """A backend with this entry's statistics of it.

    :param server: its latest registration.
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
        self.missing_revision = 0
        #: Whether the store told of its removal, which may be a lapse.
        self.was_removed = False

    def record_success(self) -> None:
        """Record a request that succeeded."""
        self.failure_rate *= 1 - FAILURE_EWMA_WEIGHT

    def record_failure(self, now: float) -> None:
        """Record a request that failed, was refused or got no response.

        :param now: seconds on the monotonic clock.
        """
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1 - self.failure_rate)
        self.failed_at = now

    def update_load(self, requests: int, slowdown: float, now: float) -> None:
        """Apply the load that the group's coordinator reported.

        :param requests: running and queued requests of all entries.
        :param slowdown: its pass time relative to the usual one.
        :param now: seconds on the monotonic clock.
        """
        self.remote_in_flight = max(requests - self.in_flight, 0)
        self.slowdown = max(slowdown, 1)
        self.reported_at = now

    def count_load(self) -> int:
        """Count the requests in flight from this entry and others.

        :returns: the latest known sum.
        """
        return self.in_flight + self.remote_in_flight


class BackendRegistry:
    """All known backends by id."""

    def __init__(self) -> None:
        #: Counts the registrations that came, changed or were removed.
        self.version = 0
        self._backends: dict[str, BackendState] = {}

    def __len__(self) -> int:
        return len(self._backends)

    def find(self, server_id: str) -> BackendState | None:
        """Find a backend.

        :param server_id: the backend's id.
        :returns: its state, or ``None`` if unknown.
        """
        return self._backends.get(server_id)

    def list_available(self, service: str) -> list[BackendState]:
        """List the backends of a service that accept new requests.

        :param service: name of the service.
        :returns: the backends that are not draining.
        """
        return [
            backend
            for backend in self._backends.values()
            if backend.server.service == service
            and not backend.server.is_draining
        ]

    def list_preferred(self, service: str) -> list[BackendState]:
        """List the backends of a service to select from.

        After an outage many registrations lapse together; where most of a
        service stays registered, a removal is more likely meant.

        :param service: name of the service.
        :returns: the available backends; without those that the store told to
            be removed, if these are less than half.
        """
        available = self.list_available(service)
        kept = [one for one in available if not one.was_removed]
        return kept if 2 * len(kept) > len(available) else available

    def list_all(self, service: str) -> list[BackendState]:
        """List the backends of a service, including draining ones.

        :param service: name of the service.
        :returns: the backends.
        """
        return [
            backend
            for backend in self._backends.values()
            if backend.server.service == service
        ]

    def count_slots(self, service: str) -> int:
        """Count the slots of a service's available backends.

        A dead backend stays registered for some seconds, so backends at the
        same address count once.

        :param service: name of the service.
        :returns: the sum of their slots.
        """
        slots = {
            (one.server.host, one.server.port): one.server.slots
            for one in self.list_available(service)
        }
        return sum(slots.values())

    def find_on_host(self, service: str, host: str) -> list[BackendState]:
        """Find the backends of a service on a host.

        :param service: the service's name.
        :param host: the host's IP address.
        :returns: the backends; two are possible during a replacement.
        """
        return [
            backend
            for backend in self._backends.values()
            if backend.server.host == host and backend.server.service == service
        ]

    def put(self, server: BackendServer) -> bool:
        """Add or update a registration.

        :param server: the registration.
        :returns: whether anything but the revision and the time for which it
            stays cold changed.
        """
        backend = self._backends.get(server.id)
        if backend is None or not server.is_same_incarnation(backend.server):
            # Statistics of an earlier process do not apply to this one.
            self._backends[server.id] = BackendState(server)
            self.version += 1
            return True
        backend.expires_at = None
        backend.was_removed = False
        known = backend.server._replace(
            revision=server.revision, cold_seconds=server.cold_seconds
        )
        changed = known != server
        backend.server = server
        self.version += changed
        return changed

    def mark_missing(
        self,
        server_id: str,
        revision: int,
        expires_at: float,
        *,
        was_removed: bool = False,
    ) -> None:
        """Mark a backend whose registration disappeared.

        :param server_id: the backend's id.
        :param revision: revision of the store.
        :param expires_at: when it is removed unless it registers again, in
            seconds on the monotonic clock.
        :param was_removed: whether the store told of the removal, rather than
            lacking the registration.
        """
        backend = self._backends.get(server_id)
        if backend is None:
            return
        backend.was_removed |= was_removed
        if backend.expires_at is None:
            backend.expires_at = expires_at
            backend.missing_revision = revision

    def remove(self, server_id: str) -> bool:
        """Remove a backend.

        :param server_id: the backend's id.
        :returns: whether it was known.
        """
        backend = self._backends.pop(server_id, None)
        if backend is not None:
            backend.is_gone = True
            self.version += 1
        return backend is not None

    def remove_expired(self, now: float) -> list[BackendState]:
        """Remove the missing backends that did not register again.

        :param now: seconds on the monotonic clock.
        :returns: the backends.
        """
        expired = [
            backend
            for backend in self._backends.values()
            if backend.expires_at is not None and backend.expires_at <= now
        ]
        for backend in expired:
            self.remove(backend.server.id)
        return expired

    def list_servers(self) -> list[BackendServer]:
        """List the registrations of all services.

        :returns: the registrations.
        """
        return [backend.server for backend in self._backends.values()]

    def list_ids(self) -> Iterable[str]:
        """List the ids of all backends.

        :returns: the ids.
        """
        return tuple(self._backends)
