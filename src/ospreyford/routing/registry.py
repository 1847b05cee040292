"""Records of the backends that an entry knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.routing.backend import Backend
from ospreyford.routing.health import HealthState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ospreyford.ports.fleet import Host
    from ospreyford.routing.settings import RoutingSettings


class BackendRegistry:
    """Finds the record of a backend by name, and its peers by service.

    :param settings: the router's settings.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._backends: dict[str, Backend] = {}
        self._backends_by_service: dict[str, dict[str, Backend]] = {}
        self._first_seen_at: dict[str, float] = {}

    def get_or_create(self, host: Host, now: float) -> Backend:
        """Find the record of a host, or make it.

        :param host: the host.
        :param now: seconds on the monotonic clock.
        :returns: its record; a new one if the instance was replaced.
        """
        known = self._backends.get(host.name)
        if known and known.host.instance == host.instance:
            known.host = host
            return known
        backend = Backend(host, self._settings)
        # An entry that meets a service for the first time knows nobody, and
        # that says nothing of their age; later, a name or instance not seen
        # before is new.
        if now > self._first_seen_at.setdefault(host.service, now):
            backend.begin_slow_start(now)
        self._backends[host.name] = backend
        self._backends_by_service.setdefault(host.service, {})[host.name] = (
            backend
        )
        return backend

    def get(self, name: str) -> Backend | None:
        """Look a record up.

        :param name: the backend.
        :returns: its record, if it is known.
        """
        return self._backends.get(name)

    def remove(self, name: str) -> None:
        """Forget a backend.

        :param name: the backend.
        """
        known = self._backends.pop(name, None)
        if known:
            self._backends_by_service[known.host.service].pop(name, None)

    def list_ejected(self, now: float) -> list[Backend]:
        """List the backends that are out of the choice for their health.

        :param now: seconds on the monotonic clock.
        :returns: their records.
        """
        return [
            backend
            for backend in self._backends.values()
            if backend.health.compute_state(now) is HealthState.ejected
        ]

    def list_peers(self, backend: Backend) -> Iterator[Backend]:
        """List the other backends of the same service.

        :param backend: the one to leave out.
        :yields: the others.
        """
        for peer in self._backends_by_service[backend.host.service].values():
            if peer is not backend:
                yield peer
