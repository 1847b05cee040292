"""Subset of a service's backends that an entry uses."""

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

#: Affinity backends of each prefix bucket.
BACKENDS_PER_PREFIX = 4


class HostFilter:
    """Selects the hosts that can serve a query.

    :param settings: names of the labels.
    :param query: the requirements of the request.
    """

    def __init__(self, settings: RoutingSettings, query: RoutingQuery) -> None:
        self._settings = settings
        self._query = query

    def matches(self, host: Host) -> bool:
        """Check whether a host can serve the query.

        :param host: the host.
        :returns: whether service, version and adapter match and the host is
            not leaving.
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
    """Stable subset of a service's backends, with prefix affinity.

    Rendezvous hashing over entry, service and host spreads entries over
    different subsets and changes a subset by one member when a host comes or
    goes.

    :param hosts: the matching hosts.
    :param service: name of the service.
    :param locality: the hosts to prefer.
    :param settings: sizes of the subset.
    :param get_backend: gets or creates the backend of a host.
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
        """Find the affinity backends of a prefix.

        They are chosen from all matching hosts of the region, so that all
        entries of the region agree on them.

        :param prefix: hash of the prompt prefix.
        :returns: backends in order of preference.
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
