"""Watches the platform's store and applies its changes to the entry."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.decisions import (
    CatalogRefused,
    RegistrationRefused,
    StoreLost,
    StoreRegained,
)
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.platform.errors import (
    BadRecord,
    HistoryCompacted,
    PlatformError,
)
from ospreyford.platform.records import (
    CATALOG_KEY,
    SERVERS_PREFIX,
    decode_catalog,
    decode_registration,
)
from ospreyford.platform.refusals import RefusalFilter
from ospreyford.platform.throttle import WatchThrottle

if TYPE_CHECKING:
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.registry import BackendServer
    from ospreyford.direct.updates import StateUpdater
    from ospreyford.platform.store import Item, StoreClient, StoreResponse

#: A single watch covers the catalog and all registrations.
ALL_KEYS_PREFIX = ''
#: Duration of a watch relative to the time for which a revoked key may be
#: accepted; its response confirms the view even if nothing changed.
WATCH_WAIT_RATIO = 0.3
#: Duration of a watch if keys cannot be revoked.
MAX_WATCH_SECONDS = 10.0
#: Fixed and random parts of the delay before a failed call is retried.
RETRY_DELAY_SECONDS = 0.35
RETRY_JITTER_SECONDS = 0.3
#: Registrations missing for this long after a store outage may have expired
#: because of it.
REREGISTRATION_GRACE_SECONDS = 2.5


class StoreFeed:
    """Keeps the entry's view in sync with the store.

    :param store: client of the store.
    :param updater: applies the changes.
    :param context: the entry's shared state.
    """

    def __init__(
        self, store: StoreClient, updater: StateUpdater, context: EntryContext
    ) -> None:
        self._store = store
        self._updater = updater
        self._context = context
        self._revision: int | None = None
        self._last_outage_at: float | None = None
        self._throttle = WatchThrottle()
        self._is_store_lost = False
        self._refusal_filter = RefusalFilter()

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            try:
                await self._follow_once()
            except HistoryCompacted:
                self._revision = None
            except PlatformError as error:
                self._handle_store_loss(error)
                jitter = self._context.random.random() * RETRY_JITTER_SECONDS
                await curio.sleep(RETRY_DELAY_SECONDS + jitter)

    async def _follow_once(self) -> None:
        if self._revision is None:
            # The response is at least as recent as the request.
            confirmed_at = read_boot_clock()
            await self._read_all()
        else:
            confirmed_at = await self._watch(self._revision)
        self._handle_store_response()
        self._context.freshness.confirm(confirmed_at)

    async def _watch(self, revision: int) -> float:
        """Wait for changes once and apply them.

        :returns: time up to which the view is complete, by
            :func:`~ospreyford.direct.freshness.read_boot_clock`.
        """
        await self._throttle.wait(self._context.settings.bounds)
        seconds = self._compute_watch_seconds()
        sent_at = read_boot_clock()
        response = await self._store.watch(ALL_KEYS_PREFIX, revision, seconds)
        elapsed = read_boot_clock() - sent_at
        for item in response.items:
            await self._apply_item(item)
        self._revision = max(response.revision, revision)
        if response.items or elapsed < seconds:
            return sent_at
        # A watch without changes is answered at its end. Counting the age from
        # its start would refuse callers with valid keys too early in an outage.
        return sent_at + seconds

    async def _read_all(self) -> None:
        config = await self._store.get(CATALOG_KEY)
        servers = await self._store.list_prefix(SERVERS_PREFIX)
        for item in config.items:
            await self._apply_item(item)
        await self._updater.apply_registrations(
            self._decode_servers(servers),
            servers.revision,
            self._is_in_reregistration_grace(),
        )
        if config.items:
            self._revision = min(config.revision, servers.revision)
        else:
            self._revision = servers.revision

    def _decode_servers(self, response: StoreResponse) -> list[BackendServer]:
        found = (self._decode_server(item) for item in response.items)
        return [server for server in found if server is not None]

    async def _apply_item(self, item: Item) -> None:
        if item.key == CATALOG_KEY:
            self._apply_catalog(item)
        elif item.key.startswith(SERVERS_PREFIX):
            await self._apply_server(item)

    def _apply_catalog(self, item: Item) -> None:
        try:
            catalog = decode_catalog(item.raw or b'')
        except BadRecord as error:
            self._context.log.log_change(
                CatalogRefused(item.revision, error.reason)
            )
            return
        self._updater.apply_catalog(catalog, item.revision)

    async def _apply_server(self, item: Item) -> None:
        if item.raw is None:
            server_id = item.key.removeprefix(SERVERS_PREFIX)
            await self._updater.handle_deregistration(
                server_id, item.revision, self._is_in_reregistration_grace()
            )
            return
        server = self._decode_server(item)
        if server is not None:
            await self._updater.apply_registration(server)
            return
        # Keeping the previous registration would route requests to a backend
        # whose key another program has overwritten.
        server_id = item.key.removeprefix(SERVERS_PREFIX)
        await self._updater.handle_deregistration(
            server_id, item.revision, False
        )

    def _decode_server(self, item: Item) -> BackendServer | None:
        try:
            return decode_registration(item.key, item.raw or b'', item.revision)
        except BadRecord as error:
            refusal = RegistrationRefused(item.key, error.reason, item.revision)
            if self._refusal_filter.record_refusal(refusal):
                self._context.log.log_change(refusal)
            return None

    def _compute_watch_seconds(self) -> float:
        revoke = self._context.settings.bounds.revoke_seconds
        return (
            MAX_WATCH_SECONDS if revoke is None else revoke * WATCH_WAIT_RATIO
        )

    def _is_in_reregistration_grace(self) -> bool:
        return (
            self._last_outage_at is not None
            and time.monotonic() - self._last_outage_at
            < REREGISTRATION_GRACE_SECONDS
        )

    def _handle_store_response(self) -> None:
        if self._is_store_lost:
            self._is_store_lost = False
            self._last_outage_at = time.monotonic()
            self._context.log.log_change(StoreRegained(self._revision or 0))

    def _handle_store_loss(self, error: PlatformError) -> None:
        self._last_outage_at = time.monotonic()
        if self._is_store_lost:
            return
        self._is_store_lost = True
        reason = getattr(error, 'reason', type(error).__name__)
        self._context.log.log_change(
            StoreLost(reason, self._context.compute_state_age_ms())
        )
