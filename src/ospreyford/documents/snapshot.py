"""Immutable snapshot of the configuration in force."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import cached_property

from ospreyford.documents.capacity import (
    CapacityPool,
    DrainRequest,
    PlacementWeights,
)
from ospreyford.documents.conflicts import Conflict
from ospreyford.documents.documenttable import NamedDocument
from ospreyford.documents.fleet import find_drain, is_candidate, label_host
from ospreyford.documents.homes import Homes, collect_homes
from ospreyford.documents.limits import (
    EffectiveLimit,
    LimitResolver,
)
from ospreyford.documents.overlaps import find_conflicts
from ospreyford.documents.parsing import RejectedDocument
from ospreyford.documents.routes import (
    NoRoute,
    Route,
    Router,
    RouteTables,
)
from ospreyford.documents.selectors import Labels
from ospreyford.documents.subjects import AnyService
from ospreyford.documents.tables import Tables
from ospreyford.ports.fleet import Host


class ConfigurationSnapshot:
    """Immutable view of all documents in force.

    :param tables: the documents in force.
    :param rejected: documents whose newest revision is not in force.
    :param digest: equal if and only if the same documents are in force.
    """

    def __init__(
        self,
        tables: Tables,
        rejected: tuple[RejectedDocument, ...] = (),
        digest: int = 0,
    ) -> None:
        self.tables = tables
        self.rejected = rejected
        self.digest = format(digest, '032x')
        self.router = Router(_route_tables(tables))
        self.limits = LimitResolver(tables.limits)
        self._homes: dict[str, Homes] = {}

    def advance(
        self,
        tables: Tables,
        rejected: tuple[RejectedDocument, ...],
        digest: int,
    ) -> ConfigurationSnapshot:
        """Create the next snapshot.

        :param tables: the documents in force next.
        :param rejected: documents whose newest revision is not in force.
        :param digest: digest of the documents in force next.
        :returns: the next snapshot, with the caches that remain valid.
        """
        following = ConfigurationSnapshot(tables, rejected, digest)
        if following.router.tables == self.router.tables:
            following.router = self.router
        if tables.limits is self.tables.limits:
            following.limits = self.limits
        return following

    def route(self, customer: str, service: str) -> Route | NoRoute:
        """Find the route of a customer to a service.

        :param customer: the customer's id.
        :param service: the service's name.
        :returns: the route, or why there is none.
        """
        return self.router.route(self.tables.customers, customer, service)

    def limit_of(self, customer: str) -> EffectiveLimit | None:
        """Compute the effective limit of a customer.

        :param customer: the customer's id.
        :returns: the limit, or ``None`` for an unknown customer, whose
            requests must not be served.
        """
        return self.limits.limit_of(self.tables.customers, customer)

    def service(self, name: str) -> AnyService | None:
        """Look up a service.

        :param name: the service's name.
        :returns: its document in force, or ``None``.
        """
        document = self.tables.services.winner(name)
        return document.body if document else None

    def pool(self, name: str) -> CapacityPool | None:
        """Look up a capacity pool.

        :param name: the pool's name.
        :returns: its document in force, or ``None``.
        """
        document = self.tables.pools.winner(name)
        return document.body if document else None

    def placement(self, service: str) -> PlacementWeights | None:
        """Look up the placement weights of a service.

        :param service: the service's name.
        :returns: the document in force, or ``None``.
        """
        document = self.tables.placements.winner(service)
        return document.body if document else None

    def labels_of(self, host: Host) -> Labels:
        """Return the labels of a host that selectors match.

        :param host: the host.
        :returns: the merged platform and published labels.
        """
        return label_host(self.tables.hosts, host)

    def members(self, pool: str, hosts: Iterable[Host]) -> tuple[Host, ...]:
        """Select the hosts of a pool.

        :param pool: the pool's name.
        :param hosts: the hosts to choose from.
        :returns: its members in the given order, including draining and
            leaving hosts.
        """
        found = self.pool(pool)
        if found is None:
            return ()
        return tuple(
            host
            for host in hosts
            if is_candidate(found, host)
            and found.hosts.matches(self.labels_of(host))
        )

    def drain_of(self, host: Host) -> DrainRequest | None:
        """Look up a host's drain request.

        :param host: the host.
        :returns: the request in force, or ``None``.
        """
        document = self.drain_document_of(host)
        return document.body if document else None

    def drain_document_of(
        self, host: Host
    ) -> NamedDocument[DrainRequest] | None:
        """Look up a host's drain request with its document's name.

        :param host: the host.
        :returns: name and body of the request in force, or ``None``.
        """
        labels = self.labels_of(host)
        return find_drain(self.tables.drains, host, labels)

    def homes(self, service: str) -> Homes:
        """Find the backend servers with the idempotency keys of a service.

        :param service: the service's name.
        :returns: the backend servers' names; none when no pool of the
            service declares any.
        """
        homes = self._homes.get(service)
        if homes is None:
            homes = collect_homes(
                document.body
                for document in self.tables.pools.documents()
                if document.body.service == service
            )
            if self.service(service) is not None:
                self._homes[service] = homes
        return homes

    def services(self) -> Iterator[AnyService]:
        """List the services.

        :returns: their documents in force, in unspecified order.
        """
        return (document.body for document in self.tables.services.winners())

    @cached_property
    def conflicts(self) -> tuple[Conflict, ...]:
        """List the conflicts between documents; computed on first access.

        :returns: the conflicts, sorted.
        """
        return find_conflicts(self.tables, self.router, self.limits)


def _route_tables(tables: Tables) -> RouteTables:
    return RouteTables(
        tables.services,
        tables.pools,
        tables.intents,
    )
