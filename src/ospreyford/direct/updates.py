"""Application of published configuration and registrations."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.decisions import (
    BackendChanged,
    CatalogInForce,
)
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.restoredecisions import StoreRestored, StoreSettled

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
        self._guard = context.registration_guard
        self._kept: set[str] = set()

    def handle_restore(self, generation: int, position: int) -> None:
        """Handle a store that came back from an older copy.

        :param generation: its new generation.
        :param position: revision up to which it was known before; 0 if it was
            not.
        """
        context = self._context
        self._guard.start(position, time.monotonic())
        context.key_guard.start(read_boot_clock())
        context.zones.start_restore(time.monotonic())
        context.store_restores += 1
        self._kept.clear()
        context.log.log_change(
            StoreRestored(
                generation,
                context.get_version(),
                len(context.backends),
                context.compute_state_age_ms(),
            )
        )

    def confirm_reading(self, confirmed_at: float) -> None:
        """Confirm the view, unless it may be that of an older copy.

        :param confirmed_at: time up to which the reading is complete, in
            seconds on the boot clock.
        """
        context = self._context
        context.zones.settle(time.monotonic())
        key_guard = context.key_guard
        waited_seconds = key_guard.compute_wait(read_boot_clock())
        if not key_guard.settle(context.get_version(), confirmed_at):
            return
        if waited_seconds:
            context.log.log_change(StoreSettled(context.get_version()))
        context.freshness.confirm(confirmed_at)

    def apply_catalog(
        self, catalog: Catalog, revision: int, *, is_change: bool = False
    ) -> None:
        """Apply a catalog unless a newer one is in force.

        :param catalog: the catalog read.
        :param revision: revision of the store.
        :param is_change: whether it was read as a change, not as a state.
        """
        known = self._context.catalog
        self._context.key_guard.record_catalog(
            catalog.version,
            is_rewritten=is_change or self._guard.is_rewritten(revision),
        )
        # Stale or repeated reads must not roll back the catalog.
        if known is not None and catalog.version <= known.version:
            return
        self._context.catalog = catalog
        limits = self._context.limits
        limits.cold.update_services(catalog.services)
        limits.grants.has_agents = any(
            one.engine is not None for one in catalog.services.values()
        )
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
        registered = None if known is None else known.server
        if self._guard.is_outdated(server, registered):
            self._keep(server, registered)
            return
        is_restarted = known is not None and not server.is_same_incarnation(
            known.server
        )
        self._context.limits.cold.record_registration(server, registered)
        if self._context.backends.put(server):
            change = 'draining' if server.is_draining else 'ready'
            self._log(server, change, server.revision)
            self._context.suspects.record_registration(server)
        if is_restarted:
            # Requests written to connections of the earlier process would be
            # lost.
            await self._context.pool.close_backend(server.id)

    async def handle_deregistration(
        self,
        server_id: str,
        revision: int,
        may_return: bool,
        *,
        is_change: bool = False,
    ) -> None:
        """Handle a registration that was removed from the store.

        :param server_id: the backend's id.
        :param revision: revision of the store.
        :param may_return: whether it may have lapsed because of a store outage.
        :param is_change: whether it was read as a change, not as a state.
        """
        self._guard.drop_held(server_id)
        backend = self._context.backends.find(server_id)
        if backend is None:
            return
        if may_return and not backend.server.is_draining:
            # After a long store outage all registrations lapse together; keep
            # backends until they have had time to register again.
            self._context.backends.mark_missing(
                server_id,
                revision,
                time.monotonic() + REGISTRATION_GRACE_SECONDS,
                was_removed=is_change,
            )
            self._log(backend.server, 'missing', revision)
            return
        self._context.backends.remove(server_id)
        self._guard.removed.record(backend.server, revision, time.monotonic())
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
        now = time.monotonic()
        for backend in self._context.backends.remove_expired(now):
            self._guard.removed.record(
                backend.server, backend.missing_revision, now
            )
            await self._context.pool.close_backend(backend.server.id)
        for server in self._guard.release_renewed(now):
            await self.apply_registration(server)

    def _keep(self, server: BackendServer, known: BackendServer | None) -> None:
        """Keep what was learned about a backend against an older copy."""
        if known is None:
            change = 'kept gone'
        else:
            # The copy has its registration, so it does not expire.
            self._context.backends.put(known)
            change = 'kept'
        if server.id not in self._kept:
            self._kept.add(server.id)
            self._log(server, change, server.revision)

    def _log(self, server: BackendServer, change: str, revision: int) -> None:
        self._context.log.log_change(
            BackendChanged(server.id, server.service, change, revision)
        )
