"""Application of published configuration and registrations."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.decisions import BackendChanged, CatalogInForce

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.direct.catalog import Catalog
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.registry import BackendServer

#: Backends renew registrations that lapsed in a store outage within about 2 s.
REGISTRATION_GRACE_SECONDS = 2.2


class StateUpdater:
    """Applies what is read from the store to the entry's state.

    :param context: shared state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def apply_catalog(self, catalog: Catalog, revision: int) -> None:
        """Apply a catalog unless a newer one is in force.

        :param catalog: the catalog read.
        :param revision: revision of the store.
        """
        known = self._context.catalog
        # Stale or repeated reads must not roll back the catalog.
        if known is not None and catalog.version <= known.version:
            return
        self._context.catalog = catalog
        self._context.log.log_change(
            CatalogInForce(
                catalog.version,
                revision,
                sum(map(len, catalog.routes.values())),
            )
        )

    async def apply_registration(self, server: BackendServer) -> None:
        """Apply a backend's registration.

        :param server: as registered.
        """
        known = self._context.backends.find(server.id)
        is_restarted = known is not None and not server.is_same_incarnation(
            known.server
        )
        if self._context.backends.put(server):
            change = 'draining' if server.is_draining else 'ready'
            self._log(server, change, server.revision)
        if is_restarted:
            # Requests written to connections of the earlier process would be
            # lost.
            await self._context.pool.close_backend(server.id)

    async def handle_deregistration(
        self, server_id: str, revision: int, may_return: bool
    ) -> None:
        """Handle a registration that was removed from the store.

        :param server_id: the backend's id.
        :param revision: revision of the store.
        :param may_return: whether it may have lapsed because of a store outage.
        """
        backend = self._context.backends.find(server_id)
        if backend is None:
            return
        if may_return and not backend.server.is_draining:
            # After a long store outage all registrations lapse together; keep
            # backends until they have had time to register again.
            self._context.backends.mark_missing(
                server_id, time.monotonic() + REGISTRATION_GRACE_SECONDS
            )
            self._log(backend.server, 'missing', revision)
            return
        self._context.backends.remove(server_id)
        self._log(backend.server, 'gone', revision)
        await self._context.pool.close_backend(server_id)

    async def apply_registrations(
        self, servers: Sequence[BackendServer], revision: int, may_return: bool
    ) -> None:
        """Apply the list of all registrations.

        :param servers: all registered backends.
        :param revision: revision of the store.
        :param may_return: whether missing ones may have lapsed because of a
            store outage.
        """
        for server in servers:
            await self.apply_registration(server)
        registered = {one.id for one in servers}
        for server_id in self._context.backends.list_ids():
            if server_id not in registered:
                await self.handle_deregistration(
                    server_id, revision, may_return
                )

    async def remove_expired(self) -> None:
        """Remove backends that did not register again in time."""
        for server_id in self._context.backends.remove_expired(
            time.monotonic()
        ):
            await self._context.pool.close_backend(server_id)

    def _log(self, server: BackendServer, change: str, revision: int) -> None:
        self._context.log.log_change(
            BackendChanged(server.id, server.service, change, revision)
        )
