"""How near a backend is to an entry, as a routing intent sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.documents.intents import ZonePreference

if TYPE_CHECKING:
    from ospreyford.ports.fleet import Host
    from ospreyford.routing.query import Identity
    from ospreyford.routing.settings import RoutingSettings


class Locality:
    """Orders backends by zone and region; excludes none.

    :param me: name, zone and region of this entry.
    :param preference: which backends come first.
    """

    def __init__(
        self,
        identity: Identity,
        preference: ZonePreference = ZonePreference.same_zone,
    ) -> None:
        self.identity = identity
        self._preference = preference

    def is_preferred(self, host: Host) -> bool:
        """Tell whether a backend is among those that come first.

        :param host: the backend's host.
        :returns: whether it is where the intent prefers it to be.
        """
        match self._preference:
            case ZonePreference.same_zone:
                return host.zone == self.identity.zone
            case ZonePreference.same_region:
                return host.region == self.identity.region
            case ZonePreference.anywhere:
                return True

    def compute_penalty(self, host: Host, settings: RoutingSettings) -> float:
        """Tell by how much a backend must be better to be chosen.

        :param host: the backend's host.
        :param settings: the penalties.
        :returns: requests of load.
        """
        if self.is_preferred(host):
            return 0
        if host.region != self.identity.region:
            return settings.region_penalty
        return settings.zone_penalty
