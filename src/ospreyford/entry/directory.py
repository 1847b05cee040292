"""The published documents and the host list, joined for admission."""

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
from ospreyford.entry.call import Extras, Plan
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

MILLISECONDS = 1000
UNLIMITED = float('inf')
LOWEST_HIGH = 7
HIGHEST_LOW = 3
SETTLE_SECONDS = 1.0
#: Plans remembered; beyond it all are forgotten, to bound the memory.
MAX_PLANS = 16_384


class FleetDirectory:
    """Answers what a call may use, from what was last read.

    The hosts of a pool are worked out once for each picture and host list,
    not once for each request.
    """

    def __init__(self) -> None:
        self.picture: ConfigurationSnapshot | None = None
        self.withdrawn: frozenset[str] = frozenset()
        self.hosts: dict[str, Host] = {}
        self._members: dict[str, tuple[Host, ...]] = {}
        self._plans: dict[tuple[str, str], Plan | NotRun] = {}

    def note_picture(self, picture: ConfigurationSnapshot) -> None:
        """Take over a new picture.

        :param picture: what the documents in force say.
        """
        self.picture = picture
        self._forget()

    def note_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Take over a newly read host list.

        :param hosts: all hosts of the fleet.
        """
        table = {host.name: host for host in hosts if host.role == 'backend'}
        if table != self.hosts:
            self.hosts = table
            self._forget()

    def note_withdrawn(self, names: frozenset[str]) -> None:
        """Take over which backend servers take no new work.

        :param names: those whose agents are leaving or dead.
        """
        if names != self.withdrawn:
            self.withdrawn = names
            self._forget()

    def find_plan(self, customer: str, service: str) -> Plan | NotRun:
        """Find out what a customer's call to a service may use.

        :param customer: the customer's id.
        :param service: the service's name.
        :returns: the plan, or why there is none.
        """
        if self.picture is None or not self.hosts:
            return NotRun(Cause.not_ready, SETTLE_SECONDS)
        plan = self._plans.get((customer, service))
        if plan is None:
            plan = self._make_plan(self.picture, customer, service)
            if len(self._plans) >= MAX_PLANS:
                self._plans.clear()
            self._plans[customer, service] = plan
        return plan

    def is_repeatable(self, service: str, method: str, target: str) -> bool:
        """Tell whether a call may run more than once.

        :param service: the service's name.
        :param method: HTTP method.
        :param target: HTTP target.
        :returns: whether the service's document calls it idempotent; a
            service without a document is not trusted to be.
        """
        found = self.picture.service(service) if self.picture else None
        if found is None:
            return False
        return not is_non_idempotent(found, method, target)

    def find_host(self, name: str) -> Host | None:
        """Find a backend server's host.

        :param name: the backend server's name.
        :returns: the host, or ``None`` if the host list has none.
        """
        return self.hosts.get(name)

    def _forget(self) -> None:
        self._members = {}
        self._plans = {}

    def _make_plan(
        self,
        picture: ConfigurationSnapshot,
        customer: str,
        service: str,
    ) -> Plan | NotRun:
        route = picture.route(customer, service)
        if isinstance(route, NoRoute):
            return NotRun(_name_cause(route.reason), SETTLE_SECONDS)
        return Plan(
            pools=tuple(
                self._find_members(picture, pool) for pool in route.pools
            ),
            limit=_find_limit(picture, customer),
            priority=_find_priority(route),
            engine_priority=route.request_priority,
            version=route.model_version,
            adapter=route.adapter,
            homes=_find_homes(picture, service),
            caches_prefixes=_caches_prefixes(picture, service),
            extras=_find_extras(route),
            zone_preference=route.zone_preference,
        )

    def _find_members(
        self, picture: ConfigurationSnapshot, pool: str
    ) -> tuple[Host, ...]:
        members = self._members.get(pool)
        if members is None:
            members = tuple(
                host._replace(labels=picture.labels_of(host))
                for host in picture.members(pool, self.hosts.values())
                if host.state is HostState.live
                and host.name not in self.withdrawn
                and picture.drain_of(host) is None
            )
            self._members[pool] = members
        return members


def _find_extras(route: Route) -> Extras:
    allowed = route.allowances
    after = allowed.hedge_after_milliseconds
    return Extras(
        allowed.retries,
        None if after is None else after / MILLISECONDS,
        Allowance(route.document, allowed.retry_ratio, allowed.hedge_ratio),
    )


def _find_limit(picture: ConfigurationSnapshot, customer: str) -> Limit:
    effective = picture.limit_of(customer)
    if effective is None:
        return Limit()
    return Limit(
        requests=_bound(effective.requests_per_second),
        tokens=_bound(effective.tokens_per_second),
        concurrency=_bound(effective.concurrency),
        weight=effective.weight,
        burst=effective.burst,
    )


def _caches_prefixes(picture: ConfigurationSnapshot, service: str) -> bool:
    found = picture.service(service)
    return isinstance(found, Model) and found.prefix_caching


def _bound(limit: float | None) -> float:
    return UNLIMITED if limit is None else limit


def _find_priority(route: Route) -> Priority:
    if route.request_priority >= LOWEST_HIGH:
        return Priority.high
    if route.request_priority <= HIGHEST_LOW:
        return Priority.low
    return Priority.normal


def _find_homes(
    picture: ConfigurationSnapshot, service: str
) -> tuple[Home, ...]:
    declared = picture.homes(service)
    joined = dict(declared.joined)
    homes = [
        Home(name, since=_to_date(joined.get(name)))
        for name in declared.current
    ]
    homes += [
        Home(former.name, until=_to_date(former.timestamp))
        for former in declared.former
    ]
    return tuple(homes)


def _to_date(moment: float | None) -> int | None:
    return None if moment is None else int(moment * MILLISECONDS)


def _name_cause(reason: Reason) -> Cause:
    match reason:
        case UnknownCustomer():
            return Cause.unknown_customer
        case UnknownService():
            return Cause.unknown_service
        case NoMatchingIntent() | NoPool():
            return Cause.no_route
