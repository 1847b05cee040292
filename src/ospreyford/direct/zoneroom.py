"""Room for requests at the backends of a service, while zones are out."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.direct.registry import BackendState
    from ospreyford.direct.zones import ZonesOut


class ZoneRoom:
    """Counts the room at backends that may be sent to.

    Slots of a returning zone count by its share.

    :param zones: zones out of service.
    """

    def __init__(self, zones: ZonesOut) -> None:
        self._zones = zones

    def count_slots(self, backends: Sequence[BackendState]) -> int:
        """Count the slots of backends.

        A dead backend stays registered for some seconds, so backends at the
        same address count once.

        :param backends: available backends of a service or a group.
        :returns: the sum of their slots.
        """
        now = time.monotonic()
        slots = {
            (one.server.host, one.server.port): self._share_slots(one, now)
            for one in backends
        }
        return int(sum(slots.values()))

    def count_free_slots(self, backends: Sequence[BackendState]) -> float:
        """Count the free slots of backends.

        What a group's passes allow was measured with the ranks of all zones;
        those of the others would queue what their slots do not hold.

        :param backends: available backends of a service or a group.
        :returns: number of slots; infinite if all their zones are fully in use.
        """
        if not self._zones.has_any():
            return math.inf
        now = time.monotonic()
        zones = {one.server.zone for one in backends}
        if all(self._zones.compute_share(zone, now) == 1 for zone in zones):
            return math.inf
        return sum(
            max(self._share_slots(one, now) - one.count_load(), 0)
            for one in backends
        )

    def _share_slots(self, backend: BackendState, now: float) -> float:
        server = backend.server
        if not self._zones.has_any():
            return server.slots
        return self._zones.compute_share(server.zone, now) * server.slots
