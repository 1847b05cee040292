"""Published changes taking effect at an entry."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.decisions import BackendChanged, CatalogInForce

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.direct.catalog import Catalog
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.registry import BackendServer

#: A registration that lapsed while the store was away is renewed within about
#: two seconds of its return; one that is still missing then is gone.
REGISTRATION_GRACE_SECONDS = 2.2


class StateUpdater:
    """Takes over what a reader of the store hands on.

    :param world: what the entry knows.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def apply_catalog(self, catalog: Catalog, revision: int) -> None:
        """Put a catalog in force, unless a newer one is.

        :param catalog: the operators' newest.
        :param revision: of the store.
        """
        known = self._context.catalog
        # A stale or repeated reading must not take the entry back.
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
        """Take over a back end's registration.

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
            # Connections to the earlier start go nowhere; a request written to
            # one is lost, and may not be repeated if it must run only once.
            await self._context.pool.close_backend(server.id)

    async def handle_deregistration(
        self, server_id: str, revision: int, may_return: bool
    ) -> None:
        """Take over that a registration is gone.

        :param server_id: the back end's id.
        :param revision: of the store.
        :param may_return: whether it may have lapsed only because the store
            was away.
        """
        backend = self._context.backends.find(server_id)
        if backend is None:
            return
        if may_return and not backend.server.is_draining:
            # All registrations lapse together when the store was away for
            # long. Were they dropped at once, every request would be refused
            # until the back ends have registered again.
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
        """Take over the list of all registrations.

        :param servers: all that are registered.
        :param revision: of the store.
        :param may_return: whether missing ones may have lapsed only because
            the store was away.
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
        """Forget the back ends that did not come back in time."""
        for server_id in self._context.backends.remove_expired(
            time.monotonic()
        ):
            await self._context.pool.close_backend(server_id)

    def _log(self, server: BackendServer, change: str, revision: int) -> None:
        self._context.log.log_change(
            BackendChanged(server.id, server.service, change, revision)
        )
