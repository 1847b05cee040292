"""Routes from customers to capacity pools."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from ospreyford.documents.capacity import CapacityPool
from ospreyford.documents.conflicts import (
    Precedence,
    Rule,
    compute_precedence,
    find_deciding_rule,
)
from ospreyford.documents.customers import (
    CustomerClass,
    CustomerDirectory,
    classify_customer,
)
from ospreyford.documents.documenttable import DocumentTable
from ospreyford.documents.index import SelectorIndex
from ospreyford.documents.intents import (
    Allowances,
    RoutingIntent,
    ZonePreference,
)
from ospreyford.documents.selectors import Labels, Selector
from ospreyford.documents.subjects import AnyService

#: Cache size at which all entries are evicted.
MAX_CACHED_ENTRIES = 16_384


class Route(NamedTuple):
    """The route of a customer's requests to a service.

    ``pools`` are names of capacity pools, the preferred first; ``document``
    is the routing intent that won.
    """

    service: str
    pools: tuple[str, ...]
    document: str
    request_priority: int
    model_version: str | None
    adapter: str | None
    allowances: Allowances
    zone_preference: ZonePreference


@dataclass(frozen=True)
class UnknownCustomer:
    """No document in force names the customer."""

    customer: str


@dataclass(frozen=True)
class UnknownService:
    """No document in force names the service."""

    service: str


@dataclass(frozen=True)
class NoMatchingIntent:
    """No routing intent selects both the customer and the service."""

    service: str


@dataclass(frozen=True)
class NoPool:
    """None of the winning intent's pools is in force for the service."""

    document: str
    pools: tuple[str, ...]


Reason: TypeAlias = UnknownCustomer | UnknownService | NoMatchingIntent | NoPool


@dataclass(frozen=True)
class NoRoute:
    """A customer's requests to a service cannot be served."""

    reason: Reason


class MatchedIntent(NamedTuple):
    """A routing intent that selects a customer and a service."""

    precedence: Precedence
    body: RoutingIntent

    @property
    def name(self) -> str:
        """Return the name of the document.

        :returns: its name.
        """
        return self.precedence.name

    def rule_over(self, other: MatchedIntent) -> Rule:
        """Find the rule by which this intent wins over another.

        :param other: an intent with lower precedence.
        :returns: the deciding rule.
        """
        return find_deciding_rule(self.precedence, other.precedence)


class RouteTables(NamedTuple):
    """The documents that determine routes, except customer labels."""

    services: DocumentTable[AnyService]
    pools: DocumentTable[CapacityPool]
    intents: SelectorIndex[RoutingIntent]


class Router:
    """Resolves and caches routes.

    Routes are cached per customer class, so label changes need no eviction.

    :param tables: the documents that determine routes.
    """

    def __init__(self, tables: RouteTables) -> None:
        self.tables = tables
        self._selected_ids: frozenset[str] | None = None
        self._intents_by_class: dict[
            CustomerClass, tuple[MatchedIntent, ...]
        ] = {}
        self._routes: dict[tuple[CustomerClass, str], Route | NoRoute] = {}

    def route(
        self, directory: CustomerDirectory, customer: str, service: str
    ) -> Route | NoRoute:
        """Look up a route.

        :param directory: the customers' labels.
        :param customer: the customer's id.
        :param service: the service's name.
        :returns: the route, or why there is none.
        """
        found = self.classify(directory, customer)
        if found is None:
            return NoRoute(UnknownCustomer(customer))
        route = self._routes.get((found, service))
        if route is None:
            route = self._resolve_route(found, service)
        return route

    def classify(
        self, directory: CustomerDirectory, customer: str
    ) -> CustomerClass | None:
        """Find the class of customers with the same routes.

        :param directory: the customers' labels.
        :param customer: the customer's id.
        :returns: the class, or ``None`` when no document names it.
        """
        if self._selected_ids is None:
            self._selected_ids = self.tables.intents.collect_values('customer')
        return classify_customer(directory, customer, self._selected_ids)

    def find_intents(
        self, customer: CustomerClass
    ) -> tuple[MatchedIntent, ...]:
        """Find the intents that select a customer, for any service.

        :param customer: the customer's class.
        :returns: the intents in the order of precedence.
        """
        selecting = self._intents_by_class.get(customer)
        if selecting is None:
            documents = self.tables.intents.matching(customer.labels())
            matched = [
                MatchedIntent(_precedence(*one), one.body) for one in documents
            ]
            selecting = tuple(sorted(matched))
            if len(self._intents_by_class) >= MAX_CACHED_ENTRIES:
                self._intents_by_class.clear()
            self._intents_by_class[customer] = selecting
        return selecting

    def matching(
        self, customer: CustomerClass, service: str
    ) -> list[MatchedIntent]:
        """Find the intents that match a customer and a service.

        :param customer: the customer's class.
        :param service: the service's name.
        :returns: the intents, the winner first.
        """
        document = self.tables.services.winner(service)
        if document is None:
            return []
        labels = label_service(document.body)
        return [
            matched
            for matched in self.find_intents(customer)
            if service_selector(matched.body).matches(labels)
        ]

    def usable_pools(
        self, intent: RoutingIntent, service: str
    ) -> Iterator[str]:
        """List an intent's pools that are in force for the service.

        :param intent: the routing intent.
        :param service: the service's name.
        :returns: the pools' names in the intent's order.
        """
        for name in dict.fromkeys(intent.pools):
            pool = self.tables.pools.winner(name)
            if pool is not None and pool.body.service == service:
                yield name

    def _resolve_route(
        self, found: CustomerClass, service: str
    ) -> Route | NoRoute:
        if self.tables.services.winner(service) is None:
            return NoRoute(UnknownService(service))
        route = self._build_route(self.matching(found, service), service)
        if len(self._routes) >= MAX_CACHED_ENTRIES:
            self._routes.clear()
        self._routes[found, service] = route
        return route

    def _build_route(
        self, matched: list[MatchedIntent], service: str
    ) -> Route | NoRoute:
        if not matched:
            return NoRoute(NoMatchingIntent(service))
        winner = matched[0]
        intent = winner.body
        pools = tuple(self.usable_pools(intent, service))
        if not pools:
            return NoRoute(NoPool(winner.name, intent.pools))
        return Route(
            service,
            pools,
            winner.name,
            intent.request_priority,
            intent.model_version,
            intent.adapter,
            intent.allowances,
            intent.zone_preference,
        )


def label_service(service: AnyService) -> Labels:
    """Return the labels of a service that selectors match.

    :param service: the service.
    :returns: its labels, and its name under ``service``.
    """
    return {**service.labels, 'service': service.name}


def service_selector(intent: RoutingIntent) -> Selector:
    """Return the service selector of a routing intent.

    :param intent: the routing intent.
    :returns: its selector; a service's name counts as one ``equals`` term.
    """
    if intent.services is not None:
        return intent.services
    return Selector(labels={'service': intent.service or ''})


def _precedence(name: str, body: RoutingIntent) -> Precedence:
    specificity = body.customers.specificity()
    return compute_precedence(
        name,
        body,
        specificity.combine(service_selector(body).specificity()),
    )
