"""Choice of a backend for each request."""

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

#: Pools kept; the oldest is dropped beyond this.
MAX_POOLS = 64


class _CachedPool(NamedTuple):
    candidates: Sequence[Host]
    pool: Pool


class Router:
    """Chooses backends from lagging reports and its own count.

    All methods return at once; ``now`` is seconds on the monotonic clock.

    :param settings: the router's settings.
    :param me: name, zone and region of this entry.
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
        """Choose a backend; the choice is not counted until it is sent.

        Pass the *same* sequence object while the candidates are the same:
        the subset is computed once for each object.

        :param query: what the request asks for.
        :param candidates: hosts that the published documents allow.
        :param now: seconds on the monotonic clock.
        :returns: the backend, or why there is none.
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
        """Count an attempt that goes out.

        :param name: the backend.
        :param now: seconds on the monotonic clock.
        :param attempt: first attempts earn budget.
        :param allowance: what the request's intent allows.
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
        """Count an attempt that ended.

        :param name: the backend.
        :param outcome: how it ended.
        :param seconds: time to the first token of a streamed answer, or to
            the whole of a plain one.
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
        """Take in a load report, however late.

        :param name: the backend.
        :param report: its report.
        :param now: seconds on the monotonic clock.
        """
        backend = self._registry.get(name)
        if backend:
            backend.record_load(report, now)

    def remove_backend(self, name: str) -> None:
        """Forget a backend that left the host list.

        :param name: the backend.
        """
        self._registry.remove(name)
        self._pools.clear()

    def list_ejected(self, now: float) -> list[Host]:
        """List the backends that are out of the choice for their health.

        :param now: seconds on the monotonic clock.
        :returns: their hosts.
        """
        return [each.host for each in self._registry.list_ejected(now)]

    def spend_retry(
        self, name: str, allowance: Allowance | None = None
    ) -> bool:
        """Take a retry out of the budgets, if all of them allow it.

        The intent's budget takes the place of the entry's; the backend's
        stays, or a ratio of 1 would double the load of one that fails.

        :param name: the backend whose attempt failed.
        :param allowance: what the request's intent allows.
        :returns: whether a retry may be sent (to any backend).
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
        """Take a hedge out of the budgets, if all of them allow it.

        The entry's budget bounds the sum over all intents: a hedge has no
        backend of its own to be charged to.

        :param allowance: what the request's intent allows.
        :returns: whether a second attempt may be sent beside a slow one.
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
