"""Room for requests at the backends of a service, while zones are out."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.direct.registry import BackendRegistry, BackendState
    from ospreyford.direct.zones import ZonesOut


class ZoneRoom:
    """Counts the room at backends that may be sent to.

    Slots of a returning zone count by its share.

    :param zones: zones out of service.
    """

    def __init__(self, zones: ZonesOut) -> None:
        self._zones = zones

    def count_slots(self, backends: BackendRegistry, service: str) -> int:
        """Count the slots of a service's backends.

        :param backends: all known backends.
        :param service: name of the service.
        :returns: the sum of their slots.
        """
        if not self._zones.has_any():
            return backends.count_slots(service)
        now = time.monotonic()
        # Backends at the same address count once.
        slots = {
            (one.server.host, one.server.port): self._share_slots(one, now)
            for one in backends.list_available(service)
        }
        return int(sum(slots.values()))

    def count_free_slots(
        self, backends: BackendRegistry, service: str
    ) -> float:
        """Count the free slots of a service's backends.

        What a group's passes allow was measured with the ranks of all zones;
        those of the others would queue what their slots do not hold.

        :param backends: all known backends.
        :param service: name of the service.
        :returns: number of slots; infinite if all zones of the service are
            fully in use.
        """
        if not self._zones.has_any():
            return math.inf
        now = time.monotonic()
        available = backends.list_available(service)
        zones = {one.server.zone for one in available}
        if all(self._zones.compute_share(zone, now) == 1 for zone in zones):
            return math.inf
        return sum(
            max(self._share_slots(one, now) - one.count_load(), 0)
            for one in available
        )

    def _share_slots(self, backend: BackendState, now: float) -> float:
        server = backend.server
        return self._zones.compute_share(server.zone, now) * server.slots
