"""Joins published documents and the host list into plans for calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.documents.routes import (
    NoMatchingIntent,
    NoPool,
    NoRoute,
    Route,
    UnknownCustomer,
    UnknownService,
)
from ospreyford.documents.subjects import Model, is_non_idempotent
from ospreyford.entry.call import Plan, RetryPolicy
from ospreyford.entry.homes import Home
from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.limits.limit import Limit
from ospreyford.ports.fleet import HostState
from ospreyford.routing.budget import Allowance
from ospreyford.routing.query import Priority

if TYPE_CHECKING:
    from ospreyford.documents.routes import Reason
    from ospreyford.documents.snapshot import ConfigurationSnapshot
    from ospreyford.ports.fleet import Host

MILLISECONDS_PER_SECOND = 1000
UNLIMITED = float('inf')
MIN_HIGH_PRIORITY = 7
MAX_LOW_PRIORITY = 3
RETRY_AFTER_SECONDS = 1.0
#: Cache size; the cache is cleared when it is full.
MAX_PLANS = 16_384


class FleetDirectory:
    """Resolves plans for calls and caches them per picture and host list."""

    def __init__(self) -> None:
        self.picture: ConfigurationSnapshot | None = None
        self.withdrawn: frozenset[str] = frozenset()
        self.hosts: dict[str, Host] = {}
        self._pool_members: dict[str, tuple[Host, ...]] = {}
        self._plans: dict[tuple[str, str], Plan | NotRun] = {}

    def handle_picture(self, picture: ConfigurationSnapshot) -> None:
        """Handle a new picture.

        :param picture: resolved documents.
        """
        self.picture = picture
        self._clear_cache()

    def handle_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Handle a new host list.

        :param hosts: all hosts of the fleet.
        """
        backends = {host.name: host for host in hosts if host.role == 'backend'}
        if backends != self.hosts:
            self.hosts = backends
            self._clear_cache()

    def handle_withdrawn(self, names: frozenset[str]) -> None:
        """Handle a new set of withdrawn backend servers.

        :param names: backend servers whose agents are leaving or dead.
        """
        if names != self.withdrawn:
            self.withdrawn = names
            self._clear_cache()

    def find_plan(self, customer: str, service: str) -> Plan | NotRun:
        """Find the plan of a customer's calls to a service.

        :param customer: the customer's id.
        :param service: the service's name.
        :returns: the plan, or the refusal.
        """
        if self.picture is None or not self.hosts:
            return NotRun(Cause.not_ready, RETRY_AFTER_SECONDS)
        plan = self._plans.get((customer, service))
        if plan is None:
            plan = self._make_plan(self.picture, customer, service)
            if len(self._plans) >= MAX_PLANS:
                self._plans.clear()
            self._plans[customer, service] = plan
        return plan

    def is_idempotent(self, service: str, method: str, target: str) -> bool:
        """Tell whether a call may run more than once.

        :param service: the service's name.
        :param method: HTTP method.
        :param target: HTTP target.
        :returns: whether the service's document declares it idempotent.
        """
        document = self.picture.service(service) if self.picture else None
        if document is None:
            return False
        return not is_non_idempotent(document, method, target)

    def find_host(self, name: str) -> Host | None:
        """Find the host of a backend server.

        :param name: name of the backend server.
        :returns: the host, or ``None`` if it is not in the host list.
        """
        return self.hosts.get(name)

    def _clear_cache(self) -> None:
        self._pool_members = {}
        self._plans = {}

    def _make_plan(
        self,
        picture: ConfigurationSnapshot,
        customer: str,
        service: str,
    ) -> Plan | NotRun:
        route = picture.route(customer, service)
        if isinstance(route, NoRoute):
            return NotRun(_classify_reason(route.reason), RETRY_AFTER_SECONDS)
        return Plan(
            pools=tuple(
                self._find_pool_members(picture, pool) for pool in route.pools
            ),
            limit=_make_limit(picture, customer),
            priority=_classify_priority(route),
            engine_priority=route.request_priority,
            version=route.model_version,
            adapter=route.adapter,
            homes=_make_homes(picture, service),
            caches_prefixes=_caches_prefixes(picture, service),
            retry_policy=_make_retry_policy(route),
            zone_preference=route.zone_preference,
        )

    def _find_pool_members(
        self, picture: ConfigurationSnapshot, pool: str
    ) -> tuple[Host, ...]:
        members = self._pool_members.get(pool)
        if members is None:
            members = tuple(
                host._replace(labels=picture.labels_of(host))
                for host in picture.members(pool, self.hosts.values())
                if host.state is HostState.live
                and host.name not in self.withdrawn
                and picture.drain_of(host) is None
            )
            self._pool_members[pool] = members
        return members


def _make_retry_policy(route: Route) -> RetryPolicy:
    allowances = route.allowances
    hedge_after_ms = allowances.hedge_after_milliseconds
    return RetryPolicy(
        allowances.retries,
        None
        if hedge_after_ms is None
        else hedge_after_ms / MILLISECONDS_PER_SECOND,
        Allowance(
            route.document, allowances.retry_ratio, allowances.hedge_ratio
        ),
    )


def _make_limit(picture: ConfigurationSnapshot, customer: str) -> Limit:
    effective = picture.limit_of(customer)
    if effective is None:
        return Limit()
    return Limit(
        requests=_to_bound(effective.requests_per_second),
        tokens=_to_bound(effective.tokens_per_second),
        concurrency=_to_bound(effective.concurrency),
        weight=effective.weight,
        burst=effective.burst,
    )


def _caches_prefixes(picture: ConfigurationSnapshot, service: str) -> bool:
    document = picture.service(service)
    return isinstance(document, Model) and document.prefix_caching


def _to_bound(limit: float | None) -> float:
    return UNLIMITED if limit is None else limit


def _classify_priority(route: Route) -> Priority:
    if route.request_priority >= MIN_HIGH_PRIORITY:
        return Priority.high
    if route.request_priority <= MAX_LOW_PRIORITY:
        return Priority.low
    return Priority.normal


def _make_homes(
    picture: ConfigurationSnapshot, service: str
) -> tuple[Home, ...]:
    declared = picture.homes(service)
    joined = dict(declared.joined)
    homes = [
        Home(name, since=_to_milliseconds(joined.get(name)))
        for name in declared.current
    ]
    homes += [
        Home(former.name, until=_to_milliseconds(former.timestamp))
        for former in declared.former
    ]
    return tuple(homes)


def _to_milliseconds(moment: float | None) -> int | None:
    return None if moment is None else int(moment * MILLISECONDS_PER_SECOND)


def _classify_reason(reason: Reason) -> Cause:
    match reason:
        case UnknownCustomer():
            return Cause.unknown_customer
        case UnknownService():
            return Cause.unknown_service
        case NoMatchingIntent() | NoPool():
            return Cause.no_route
