"""Router: chooses a backend for each request."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.routing.budget import (
    Allowance,
    AttemptBudget,
    IntentBudgets,
    spend_all,
)
from ospreyford.routing.locality import Locality
from ospreyford.routing.pool import HostFilter, Pool
from ospreyford.routing.query import (
    AllLeaving,
    Attempt,
    Choice,
    DeadlinePassed,
    NoBackend,
    NoCandidate,
    Outcome,
    RoutingQuery,
)
from ospreyford.routing.registry import BackendRegistry
from ospreyford.routing.selection import BackendSelector

if TYPE_CHECKING:
    from random import Random

    from ospreyford.ports.fleet import Host, LoadReport
    from ospreyford.routing.query import Identity
    from ospreyford.routing.settings import RoutingSettings

#: Cached pools; the oldest is evicted beyond this.
MAX_POOLS = 64


class _CachedPool(NamedTuple):
    candidates: Sequence[Host]
    pool: Pool


class Router:
    """Chooses backends by delayed load reports and local in-flight counts.

    No method blocks.

    :param settings: the router's settings.
    :param identity: name, zone and region of this entry.
    :param rng: source of random numbers; seeded in tests.
    """

    def __init__(
        self, settings: RoutingSettings, identity: Identity, rng: Random
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._registry = BackendRegistry(settings)
        self._selector = BackendSelector(settings, identity, rng)
        self._pools: dict[tuple[object, ...], _CachedPool] = {}
        budget = settings.budget
        self._retry_budget = AttemptBudget(budget.retry_ratio, budget.burst)
        self._hedge_budget = AttemptBudget(budget.hedge_ratio, budget.burst)
        self._intent_budgets = IntentBudgets(budget)

    def choose(
        self, query: RoutingQuery, candidates: Sequence[Host], now: float
    ) -> Choice | NoBackend:
        """Choose a backend; call :meth:`record_sent` when it is used.

        Pools are cached by the identity of ``candidates``: pass the same
        object while its contents are the same.

        :param query: the requirements of the request.
        :param candidates: hosts that the published documents allow.
        :param now: seconds on the monotonic clock.
        :returns: the choice, or why there is none.
        """
        retry_after = self._settings.retry_after_seconds
        if query.deadline <= now:
            return NoBackend(DeadlinePassed(), 0)
        pool = self._get_pool(query, candidates, now)
        if not pool.backends:
            return NoBackend(NoCandidate(), retry_after)
        usable = [
            backend
            for backend in pool.backends
            if not backend.draining and backend.host.name not in query.excluded
        ]
        if not usable:
            return NoBackend(AllLeaving(), retry_after)
        return self._selector.select(query, pool, usable, now)

    def record_sent(
        self,
        name: str,
        now: float,
        attempt: Attempt = Attempt.first,
        allowance: Allowance | None = None,
    ) -> None:
        """Record an attempt that is sent.

        :param name: name of the backend.
        :param now: seconds on the monotonic clock.
        :param attempt: kind of the attempt; first attempts earn budget.
        :param allowance: extra attempts allowed by the request's intent.
        """
        backend = self._registry.get(name)
        if backend:
            backend.record_sent(now)
        if attempt is Attempt.first:
            self._retry_budget.earn()
            self._hedge_budget.earn()
            if allowance:
                self._intent_budgets.earn(allowance)
            if backend:
                backend.retry_budget.earn()

    def record_finished(
        self, name: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Record the outcome of an attempt.

        :param name: name of the backend.
        :param outcome: how the attempt ended.
        :param seconds: time to the first token of a streamed response, or to
            the complete response otherwise.
        :param now: seconds on the monotonic clock.
        """
        backend = self._registry.get(name)
        if backend is None:
            return
        backend.record_ended(now)
        backend.health.record_attempt(outcome, seconds, now)
        peers = self._registry.list_peers(backend)
        backend.health.eject_latency_outlier(
            (peer.health for peer in peers), now
        )

    def record_load(self, name: str, report: LoadReport, now: float) -> None:
        """Record a load report, however late.

        :param name: name of the backend.
        :param report: the backend's report.
        :param now: seconds on the monotonic clock.
        """
        backend = self._registry.get(name)
        if backend:
            backend.record_load(report, now)

    def remove_backend(self, name: str) -> None:
        """Remove a backend that left the host list.

        :param name: name of the backend.
        """
        self._registry.remove(name)
        self._pools.clear()

    def list_ejected(self, now: float) -> list[Host]:
        """List the ejected backends.

        :param now: seconds on the monotonic clock.
        :returns: the hosts of the backends.
        """
        return [each.host for each in self._registry.list_ejected(now)]

    def spend_retry(
        self, name: str, allowance: Allowance | None = None
    ) -> bool:
        """Spend a retry if all budgets allow it.

        The intent's budget replaces the entry's; the backend's always applies,
        to protect a failing backend from retry ratios near 1.

        :param name: name of the backend whose attempt failed.
        :param allowance: extra attempts allowed by the request's intent.
        :returns: whether a retry may be sent, to any backend.
        """
        budgets = [
            self._intent_budgets.get_retry_budget(allowance)
            if allowance
            else self._retry_budget
        ]
        backend = self._registry.get(name)
        if backend:
            budgets.append(backend.retry_budget)
        return spend_all(budgets)

    def spend_hedge(self, allowance: Allowance | None = None) -> bool:
        """Spend a hedge if all budgets allow it.

        The entry's budget bounds the hedges of all intents together.

        :param allowance: extra attempts allowed by the request's intent.
        :returns: whether a hedge may be sent.
        """
        budgets = [self._hedge_budget]
        if allowance:
            budgets.append(self._intent_budgets.get_hedge_budget(allowance))
        return spend_all(budgets)

    def _get_pool(
        self, query: RoutingQuery, candidates: Sequence[Host], now: float
    ) -> Pool:
        key = (
            id(candidates),
            query.service,
            query.version,
            query.adapter,
            query.zone_preference,
        )
        cached = self._pools.get(key)
        if cached and cached.candidates is candidates:
            return cached.pool
        host_filter = HostFilter(self._settings, query)
        hosts = [host for host in candidates if host_filter.matches(host)]
        get_backend = partial(self._registry.get_or_create, now=now)
        locality = Locality(self._identity, query.zone_preference)
        pool = Pool(hosts, query.service, locality, self._settings, get_backend)
        if len(self._pools) >= MAX_POOLS:
            self._pools.pop(next(iter(self._pools)))
        self._pools[key] = _CachedPool(candidates, pool)
        return pool
