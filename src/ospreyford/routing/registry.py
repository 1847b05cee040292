"""Registry of the backends known to an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.routing.backend import Backend
from ospreyford.routing.health import HealthState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ospreyford.ports.fleet import Host
    from ospreyford.routing.settings import RoutingSettings


class BackendRegistry:
    """Backends indexed by name and by service.

    :param settings: the router's settings.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._backends: dict[str, Backend] = {}
        self._backends_by_service: dict[str, dict[str, Backend]] = {}
        self._first_seen_at: dict[str, float] = {}

    def get_or_create(self, host: Host, now: float) -> Backend:
        """Get or create the backend of a host.

        :param host: the host.
        :param now: seconds on the monotonic clock.
        :returns: the backend; a new one if the instance was replaced.
        """
        known = self._backends.get(host.name)
        if known and known.host.instance == host.instance:
            known.host = host
            return known
        backend = Backend(host, self._settings)
        # When a service is first seen, the age of its backends is unknown;
        # backends that appear later are new.
        if now > self._first_seen_at.setdefault(host.service, now):
            backend.begin_slow_start(now)
        self._backends[host.name] = backend
        self._backends_by_service.setdefault(host.service, {})[host.name] = (
            backend
        )
        return backend

    def get(self, name: str) -> Backend | None:
        """Get a backend by name.

        :param name: name of the backend.
        :returns: the backend, if known.
        """
        return self._backends.get(name)

    def remove(self, name: str) -> None:
        """Remove a backend.

        :param name: name of the backend.
        """
        known = self._backends.pop(name, None)
        if known:
            self._backends_by_service[known.host.service].pop(name, None)

    def list_ejected(self, now: float) -> list[Backend]:
        """List the ejected backends.

        :param now: seconds on the monotonic clock.
        :returns: the backends.
        """
        return [
            backend
            for backend in self._backends.values()
            if backend.health.compute_state(now) is HealthState.ejected
        ]

    def list_peers(self, backend: Backend) -> Iterator[Backend]:
        """List the other backends of the same service.

        :param backend: the backend to omit.
        :yields: the other backends.
        """
        for peer in self._backends_by_service[backend.host.service].values():
            if peer is not backend:
                yield peer
