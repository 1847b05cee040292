"""Watches the platform's store and applies its changes to the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.direct.freshness import read_boot_clock
from ospreyford.platform.application import ItemApplier
from ospreyford.platform.errors import (
    HistoryCompacted,
    PlatformError,
    StoreRestored,
)
from ospreyford.platform.health import StoreHealth
from ospreyford.platform.records import (
    CATALOG_KEY,
    SERVERS_PREFIX,
    ZONES_PREFIX,
)
from ospreyford.platform.throttle import WatchThrottle

if TYPE_CHECKING:
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.updates import StateUpdater
    from ospreyford.platform.store import StoreClient

#: A single watch covers catalog, registrations and zones out of service.
ALL_KEYS_PREFIX = ''
#: Duration of a watch relative to the time for which a revoked key may be
#: accepted; its response confirms the view even if nothing changed.
WATCH_WAIT_RATIO = 0.3
#: Duration of a watch if keys cannot be revoked.
MAX_WATCH_SECONDS = 10.0
#: Duration of the first watch after a failed call.
PROBE_WATCH_SECONDS = 0.001
#: Fixed and random parts of the delay before a failed call is retried.
RETRY_DELAY_SECONDS = 0.35
RETRY_JITTER_SECONDS = 0.3


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
        self._last_revision = 0
        self._has_failed = False
        self._health = StoreHealth(context)
        self._applier = ItemApplier(
            updater, self._health, context.zones, context.log
        )
        self._throttle = WatchThrottle()

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            try:
                await self._follow_once()
            except HistoryCompacted:
                self._revision = None
            except StoreRestored as restored:
                self._handle_restore(restored.generation)
            except PlatformError as error:
                self._health.record_loss(error)
                self._has_failed = True
                jitter = self._context.random.random() * RETRY_JITTER_SECONDS
                await curio.sleep(RETRY_DELAY_SECONDS + jitter)

    async def _follow_once(self) -> None:
        if self._revision is None:
            # The response is at least as recent as the request.
            confirmed_at = read_boot_clock()
            await self._read_all()
        else:
            confirmed_at = await self._watch(self._revision)
        self._has_failed = False
        self._last_revision = self._revision or 0
        self._health.record_generation_problem(self._store.generations.problem)
        self._health.record_response(self._revision or 0)
        self._updater.confirm_reading(confirmed_at)

    async def _watch(self, revision: int) -> float:
        """Wait for changes once and apply them.

        After a failed call the response tells at once whether the store was
        restored, even if nothing changed.

        :returns: time up to which the view is complete, by
            :func:`~ospreyford.direct.freshness.read_boot_clock`.
        """
        await self._throttle.wait(self._context.settings.bounds)
        seconds = self._compute_watch_seconds()
        sent_at = read_boot_clock()
        response = await self._store.watch(ALL_KEYS_PREFIX, revision, seconds)
        elapsed = read_boot_clock() - sent_at
        for item in response.items:
            await self._applier.apply_change(item)
        self._revision = max(response.revision, revision)
        if response.items or elapsed < seconds:
            return sent_at
        # A watch without changes is answered at its end. Counting the age from
        # its start would refuse callers with valid keys too early in an outage.
        return sent_at + seconds

    async def _read_all(self) -> None:
        servers = await self._store.list_prefix(SERVERS_PREFIX)
        zones = await self._store.list_prefix(ZONES_PREFIX)
        # Read last: a missing configuration shows no revision, and one that is
        # written after the listing comes with the watch.
        config = await self._store.get(CATALOG_KEY)
        revisions = [servers.revision, zones.revision]
        if config.items:
            revisions.append(config.revision)
        self._context.registration_guard.record_reading(min(revisions))
        # First: no backend of a zone that is out may be used in between.
        self._applier.apply_zones(zones)
        for item in config.items:
            self._applier.apply_catalog(item, is_change=False)
        await self._applier.apply_servers(servers)
        self._revision = min(revisions)

    def _compute_watch_seconds(self) -> float:
        if self._has_failed:
            return PROBE_WATCH_SECONDS
        revoke = self._context.settings.bounds.revoke_seconds
        seconds = (
            MAX_WATCH_SECONDS if revoke is None else revoke * WATCH_WAIT_RATIO
        )
        wait_seconds = self._context.key_guard.compute_wait(read_boot_clock())
        return min(seconds, wait_seconds) if wait_seconds else seconds

    def _handle_restore(self, generation: int) -> None:
        self._revision = None
        self._health.record_restore()
        self._updater.handle_restore(generation, self._last_revision)
