"""Follows the platform's store and hands its changes to the entry."""

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
    HistoryGone,
    PlatformError,
)
from ospreyford.platform.pace import WatchPace
from ospreyford.platform.records import (
    CATALOG_KEY,
    SERVERS_PREFIX,
    decode_catalog,
    decode_registration,
)
from ospreyford.platform.refusals import Refusals

if TYPE_CHECKING:
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.registry import BackendServer
    from ospreyford.direct.updates import StateUpdater
    from ospreyford.platform.store import Item, Reading, Store

#: One watch of everything costs one call; operators and back ends have
#: nothing else in the store.
EVERYTHING = ''
#: How long one watch waits, as a part of the time for which a revoked key may
#: be served. Its answer confirms the picture even if nothing changed; each
#: answer is a call that costs.
WATCH_PART = 0.3
#: The longest wait where no key can be revoked, in seconds.
LONGEST_WATCH = 10.0
#: Wait before the next call to a store that does not answer, in seconds, and
#: the part of it that is drawn: calls are counted also when they are refused.
PAUSE_SECONDS = 0.35
PAUSE_SPREAD = 0.3
#: For so long after the store was away a missing registration may have lapsed
#: only because of that, in seconds.
UNSETTLED_SECONDS = 2.5


class StoreFeed:
    """Keeps the entry's picture equal to the store.

    :param store: the client.
    :param changes: takes over what is read.
    :param world: what the entry knows.
    """

    def __init__(
        self, store: Store, changes: StateUpdater, world: EntryContext
    ) -> None:
        self._store = store
        self._changes = changes
        self._world = world
        self._revision: int | None = None
        self._lost_at: float | None = None
        self._pace = WatchPace()
        self._is_lost = False
        self._refusals = Refusals()

    async def run(self) -> None:
        """Follow the store for as long as the process lives."""
        while True:
            try:
                await self._follow_once()
            except HistoryGone:
                self._revision = None
            except PlatformError as error:
                self._note_loss(error)
                spread = self._world.random.random() * PAUSE_SPREAD
                await curio.sleep(PAUSE_SECONDS + spread)

    async def _follow_once(self) -> None:
        if self._revision is None:
            # The store's picture is at least as new as the question.
            known_at = read_boot_clock()
            await self._read_all()
        else:
            known_at = await self._watch(self._revision)
        self._note_answer()
        self._world.freshness.confirm(known_at)

    async def _watch(self, revision: int) -> float:
        """Wait for changes once, and take them over.

        :returns: until when the picture holds all that was published, by
            :func:`~ospreyford.direct.freshness.read_boot_clock`.
        """
        await self._pace.wait(self._world.settings.bounds)
        seconds = self._choose_wait()
        asked_at = read_boot_clock()
        reading = await self._store.watch(EVERYTHING, revision, seconds)
        took = read_boot_clock() - asked_at
        for item in reading.items:
            await self._take(item)
        self._revision = max(reading.revision, revision)
        if reading.items or took < seconds:
            return asked_at
        # A watch without changes is answered at the end of its wait, not at
        # its beginning. Counted from there, the picture would be a whole wait
        # older when the store goes away, and callers with good keys would be
        # refused that much sooner.
        return asked_at + seconds

    async def _read_all(self) -> None:
        config = await self._store.get(CATALOG_KEY)
        servers = await self._store.list_prefix(SERVERS_PREFIX)
        for item in config.items:
            await self._take(item)
        await self._changes.apply_registrations(
            self._decode_servers(servers),
            servers.revision,
            self._is_unsettled(),
        )
        if config.items:
            self._revision = min(config.revision, servers.revision)
        else:
            self._revision = servers.revision

    def _decode_servers(self, reading: Reading) -> list[BackendServer]:
        found = (self._decode_server(item) for item in reading.items)
        return [server for server in found if server is not None]

    async def _take(self, item: Item) -> None:
        if item.key == CATALOG_KEY:
            self._take_catalog(item)
        elif item.key.startswith(SERVERS_PREFIX):
            await self._take_server(item)

    def _take_catalog(self, item: Item) -> None:
        try:
            catalog = decode_catalog(item.raw or b'')
        except BadRecord as error:
            self._world.log.log_change(
                CatalogRefused(item.revision, error.reason)
            )
            return
        self._changes.apply_catalog(catalog, item.revision)

    async def _take_server(self, item: Item) -> None:
        if item.raw is None:
            server_id = item.key.removeprefix(SERVERS_PREFIX)
            await self._changes.handle_deregistration(
                server_id, item.revision, self._is_unsettled()
            )
            return
        server = self._decode_server(item)
        if server is not None:
            await self._changes.apply_registration(server)
            return
        # The registration that stood there before is gone, and what stands
        # there now names no back end: kept, an id that another program took
        # over would go on getting requests.
        server_id = item.key.removeprefix(SERVERS_PREFIX)
        await self._changes.handle_deregistration(
            server_id, item.revision, False
        )

    def _decode_server(self, item: Item) -> BackendServer | None:
        try:
            return decode_registration(item.key, item.raw or b'', item.revision)
        except BadRecord as error:
            refusal = RegistrationRefused(item.key, error.reason, item.revision)
            if self._refusals.note(refusal):
                self._world.log.log_change(refusal)
            return None

    def _choose_wait(self) -> float:
        revoke = self._world.settings.bounds.revoke_seconds
        return LONGEST_WATCH if revoke is None else revoke * WATCH_PART

    def _is_unsettled(self) -> bool:
        return (
            self._lost_at is not None
            and time.monotonic() - self._lost_at < UNSETTLED_SECONDS
        )

    def _note_answer(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._lost_at = time.monotonic()
            self._world.log.log_change(StoreRegained(self._revision or 0))

    def _note_loss(self, error: PlatformError) -> None:
        self._lost_at = time.monotonic()
        if self._is_lost:
            return
        self._is_lost = True
        reason = getattr(error, 'reason', type(error).__name__)
        self._world.log.log_change(
            StoreLost(reason, self._world.compute_state_age_ms())
        )
