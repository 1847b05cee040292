"""Backends that an entry follows for one service."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from ospreyford.ports.fleet import Host, HostState

if TYPE_CHECKING:
    from ospreyford.routing.backend import Backend
    from ospreyford.routing.locality import Locality
    from ospreyford.routing.query import RoutingQuery
    from ospreyford.routing.settings import RoutingSettings

#: Homes kept for each prefix bucket, best first.
BACKENDS_PER_PREFIX = 4


class HostFilter:
    """Labels that a backend must carry.

    :param settings: names of the labels.
    :param query: what the request asks for.
    """

    def __init__(self, settings: RoutingSettings, query: RoutingQuery) -> None:
        self._settings = settings
        self._query = query

    def matches(self, host: Host) -> bool:
        """Tell whether a host fits.

        :param host: the host.
        :returns: whether service, version and adapter match and the host
            does not leave.
        """
        query = self._query
        if host.state is HostState.leaving or host.service != query.service:
            return False
        labels = host.labels
        version = labels.get(self._settings.version_label)
        if query.version is not None and version != query.version:
            return False
        adapters = labels.get(self._settings.adapter_label, '')
        return query.adapter is None or query.adapter in adapters.split()


class Pool:
    """Stable subset of a service's backends, and the homes of prefixes.

    The subset is chosen by rendezvous hash of entry, service and host, those
    that the intent prefers (by default the own zone) first: it changes by
    one member when one host comes or goes, and different entries spread over
    different subsets.

    :param hosts: the matching hosts.
    :param service: the service's name.
    :param nearness: which hosts come first.
    :param settings: sizes.
    :param backend_of: finds or makes the record of a host.
    """

    def __init__(
        self,
        hosts: Sequence[Host],
        service: str,
        locality: Locality,
        settings: RoutingSettings,
        get_backend: Callable[[Host], Backend],
    ) -> None:
        self._hosts = hosts
        self._settings = settings
        self._identity = locality.identity
        self._get_backend = get_backend
        self._affinity_backends: dict[int, tuple[Backend, ...]] = {}
        entry = locality.identity.name
        seed = xxh3_64_intdigest(f'{entry}/{service}'.encode())
        ranked = sorted(hosts, key=lambda host: _hash_host(host, seed))
        local = [host for host in ranked if locality.is_preferred(host)]
        remote = [host for host in ranked if not locality.is_preferred(host)]
        remote.sort(key=lambda host: host.region != self._identity.region)
        kept = local[: settings.local_size]
        total = settings.local_size + settings.spill_size
        spilled = remote[: max(settings.spill_size, total - len(kept))]
        self.backends = tuple(get_backend(host) for host in (*kept, *spilled))

    def find_affinity_backends(self, prefix: bytes) -> tuple[Backend, ...]:
        """Find where a prefix belongs.

        Over all matching hosts of the region, not the subset alone, so that
        every entry sends a prefix to the same place and the fleet keeps few
        copies of it.

        :param prefix: hash of the prompt prefix.
        :returns: backends, the first choice first.
        """
        bucket = xxh3_64_intdigest(prefix) % self._settings.prefix_buckets
        backends = self._affinity_backends.get(bucket)
        if backends is None:
            backends = self._rank_affinity_backends(bucket)
            self._affinity_backends[bucket] = backends
        return backends

    def _rank_affinity_backends(self, bucket: int) -> tuple[Backend, ...]:
        region = self._identity.region
        regional = [host for host in self._hosts if host.region == region]
        ranked = sorted(
            regional or self._hosts, key=lambda host: _hash_host(host, bucket)
        )
        return tuple(
            self._get_backend(host) for host in ranked[:BACKENDS_PER_PREFIX]
        )


def _hash_host(host: Host, seed: int) -> int:
    return xxh3_64_intdigest(host.name.encode(), seed)
