"""Application of the store's items to the entry's state."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.decisions import CatalogRefused, RegistrationRefused
from ospreyford.direct.zonedecisions import ZoneKeyRefused
from ospreyford.platform.errors import BadRecord
from ospreyford.platform.records import (
    CATALOG_KEY,
    SERVERS_PREFIX,
    ZONES_PREFIX,
    decode_catalog,
    decode_registration,
    decode_zone,
)
from ospreyford.platform.refusals import RefusalFilter

if TYPE_CHECKING:
    from ospreyford.direct.registry import BackendServer
    from ospreyford.direct.updates import StateUpdater
    from ospreyford.direct.zones import ZonesOut
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.platform.health import StoreHealth
    from ospreyford.platform.store import Item, StoreResponse

#: Longer keys are shortened in log lines.
MAX_KEY_CHARACTERS = 80


class ItemApplier:
    """Decodes items and applies them; invalid ones are logged.

    :param updater: applies the changes.
    :param health: tells registrations that lapsed from deregistrations.
    :param zones: decides which zones get no requests.
    :param log: receives the refusals.
    """

    def __init__(
        self,
        updater: StateUpdater,
        health: StoreHealth,
        zones: ZonesOut,
        log: ChangeLog,
    ) -> None:
        self._updater = updater
        self._zones = zones
        self._health = health
        self._log = log
        self._refusal_filter = RefusalFilter()

    async def apply_change(self, item: Item) -> None:
        """Apply a change that a watch returned.

        :param item: the changed item.
        """
        if item.key == CATALOG_KEY:
            self.apply_catalog(item, is_change=True)
        elif item.key.startswith(SERVERS_PREFIX):
            await self._apply_server(item)
        elif item.key.startswith(ZONES_PREFIX):
            self._apply_zone(item)

    def apply_catalog(self, item: Item, *, is_change: bool) -> None:
        """Apply the operators' configuration.

        :param item: the stored configuration.
        :param is_change: whether a watch returned it.
        """
        try:
            catalog = decode_catalog(item.raw or b'')
        except BadRecord as error:
            self._log.log_change(CatalogRefused(item.revision, error.reason))
            return
        self._updater.apply_catalog(catalog, item.revision, is_change=is_change)

    def apply_zones(self, response: StoreResponse) -> None:
        """Apply the list of all zones out of service.

        :param response: all their keys in the store.
        """
        decoded = ((self._decode_zone(one), one) for one in response.items)
        listed = {
            zone: item.revision for zone, item in decoded if zone is not None
        }
        self._zones.record_listing(listed, response.revision, time.monotonic())

    async def apply_servers(self, response: StoreResponse) -> None:
        """Apply the list of all registrations.

        :param response: all registrations in the store.
        """
        decoded = (self._decode_server(item) for item in response.items)
        await self._updater.apply_registrations(
            [server for server in decoded if server is not None],
            response.revision,
            self._health.may_registrations_return(),
        )

    async def _apply_server(self, item: Item) -> None:
        server_id = item.key.removeprefix(SERVERS_PREFIX)
        if item.raw is None:
            await self._updater.handle_deregistration(
                server_id,
                item.revision,
                self._health.may_registrations_return(),
                is_change=True,
            )
            return
        server = self._decode_server(item)
        if server is not None:
            await self._updater.apply_registration(server)
            return
        # Keeping the previous registration would route requests to a backend
        # whose key another program has overwritten.
        await self._updater.handle_deregistration(
            server_id, item.revision, False
        )

    def _apply_zone(self, item: Item) -> None:
        zone = self._decode_zone(item)
        if zone is not None:
            self._zones.record_change(
                zone,
                item.revision,
                time.monotonic(),
                is_out=item.raw is not None,
            )

    def _decode_zone(self, item: Item) -> str | None:
        try:
            return decode_zone(item.key)
        except BadRecord as error:
            refusal = ZoneKeyRefused(
                item.key[:MAX_KEY_CHARACTERS], error.reason, item.revision
            )
            if self._refusal_filter.record_refusal(item.key, refusal):
                self._log.log_change(refusal)
            return None

    def _decode_server(self, item: Item) -> BackendServer | None:
        try:
            return decode_registration(item.key, item.raw or b'', item.revision)
        except BadRecord as error:
            refusal = RegistrationRefused(item.key, error.reason, item.revision)
            if self._refusal_filter.record_refusal(item.key, refusal):
                self._log.log_change(refusal)
            return None
