"""Locality of backends by a routing intent's zone preference."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.documents.intents import ZonePreference

if TYPE_CHECKING:
    from ospreyford.ports.fleet import Host
    from ospreyford.routing.query import Identity
    from ospreyford.routing.settings import RoutingSettings


class Locality:
    """Prefers backends by zone and region without excluding any.

    :param identity: name, zone and region of this entry.
    :param preference: the backends to prefer.
    """

    def __init__(
        self,
        identity: Identity,
        preference: ZonePreference = ZonePreference.same_zone,
    ) -> None:
        self.identity = identity
        self._preference = preference

    def is_preferred(self, host: Host) -> bool:
        """Check whether a backend matches the zone preference.

        :param host: the backend's host.
        :returns: whether the backend is preferred.
        """
        match self._preference:
            case ZonePreference.same_zone:
                return host.zone == self.identity.zone
            case ZonePreference.same_region:
                return host.region == self.identity.region
            case ZonePreference.anywhere:
                return True

    def compute_penalty(self, host: Host, settings: RoutingSettings) -> float:
        """Compute the load penalty of a backend.

        :param host: the backend's host.
        :param settings: the penalties.
        :returns: penalty in requests; 0 for preferred backends.
        """
        if self.is_preferred(host):
            return 0
        if host.region != self.identity.region:
            return settings.region_penalty
        return settings.zone_penalty
