"""Choice of a back end for each request."""

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
from ospreyford.routing.nearness import Nearness
from ospreyford.routing.pool import Match, Pool
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
from ospreyford.routing.registry import Registry
from ospreyford.routing.selection import Selection

if TYPE_CHECKING:
    from random import Random

    from ospreyford.ports.fleet import Host, LoadReport
    from ospreyford.routing.query import Identity
    from ospreyford.routing.settings import RoutingSettings

#: Pools kept; the oldest is dropped beyond this.
POOLS_KEPT = 64


class _Cached(NamedTuple):
    candidates: Sequence[Host]
    pool: Pool


class Router:
    """Chooses back ends from lagging reports and its own count.

    All methods return at once; ``now`` is seconds on the monotonic clock.

    :param settings: the router's settings.
    :param me: name, zone and region of this entry.
    :param rng: source of random numbers; seeded in tests.
    """

    def __init__(
        self, settings: RoutingSettings, me: Identity, rng: Random
    ) -> None:
        self._settings = settings
        self._me = me
        self._registry = Registry(settings)
        self._selection = Selection(settings, me, rng)
        self._pools: dict[tuple[object, ...], _Cached] = {}
        budget = settings.budget
        self._retries = AttemptBudget(budget.retry_ratio, budget.burst)
        self._hedges = AttemptBudget(budget.hedge_ratio, budget.burst)
        self._intents = IntentBudgets(budget)

    def choose(
        self, query: RoutingQuery, candidates: Sequence[Host], now: float
    ) -> Choice | NoBackend:
        """Choose a back end; the choice is not counted until it is sent.

        Pass the *same* sequence object while the candidates are the same:
        the subset is computed once for each object.

        :param query: what the request asks for.
        :param candidates: hosts that the published documents allow.
        :param now: seconds on the monotonic clock.
        :returns: the back end, or why there is none.
        """
        wait = self._settings.retry_after_seconds
        if query.deadline <= now:
            return NoBackend(DeadlinePassed(), 0)
        pool = self._find_pool(query, candidates, now)
        if not pool.backends:
            return NoBackend(NoCandidate(), wait)
        usable = [
            backend
            for backend in pool.backends
            if not backend.draining and backend.host.name not in query.excluded
        ]
        if not usable:
            return NoBackend(AllLeaving(), wait)
        return self._selection.select(query, pool, usable, now)

    def note_sent(
        self,
        name: str,
        now: float,
        attempt: Attempt = Attempt.first,
        allowance: Allowance | None = None,
    ) -> None:
        """Count an attempt that goes out.

        :param name: the back end.
        :param now: seconds on the monotonic clock.
        :param attempt: first attempts earn budget.
        :param allowance: what the request's intent allows.
        """
        backend = self._registry.get(name)
        if backend:
            backend.note_sent(now)
        if attempt is Attempt.first:
            self._retries.earn()
            self._hedges.earn()
            if allowance:
                self._intents.earn(allowance)
            if backend:
                backend.retries.earn()

    def note_finished(
        self, name: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Count an attempt that ended.

        :param name: the back end.
        :param outcome: how it ended.
        :param seconds: time to the first token of a streamed answer, or to
            the whole of a plain one.
        :param now: seconds on the monotonic clock.
        """
        backend = self._registry.get(name)
        if backend is None:
            return
        backend.note_ended(now)
        backend.health.note(outcome, seconds, now)
        peers = self._registry.peers(backend)
        backend.health.judge_latency((peer.health for peer in peers), now)

    def note_load(self, name: str, report: LoadReport, now: float) -> None:
        """Take in a load report, however late.

        :param name: the back end.
        :param report: its report.
        :param now: seconds on the monotonic clock.
        """
        backend = self._registry.get(name)
        if backend:
            backend.note_load(report, now)

    def note_gone(self, name: str) -> None:
        """Forget a back end that left the host list.

        :param name: the back end.
        """
        self._registry.drop(name)
        self._pools.clear()

    def list_ejected(self, now: float) -> list[Host]:
        """List the back ends that are out of the choice for their health.

        :param now: seconds on the monotonic clock.
        :returns: their hosts.
        """
        return [each.host for each in self._registry.list_ejected(now)]

    def spend_retry(
        self, name: str, allowance: Allowance | None = None
    ) -> bool:
        """Take a retry out of the budgets, if all of them allow it.

        The intent's budget takes the place of the entry's; the back end's
        stays, or a ratio of 1 would double the load of one that fails.

        :param name: the back end whose attempt failed.
        :param allowance: what the request's intent allows.
        :returns: whether a retry may be sent (to any back end).
        """
        budgets = [
            self._intents.find_retries(allowance)
            if allowance
            else self._retries
        ]
        backend = self._registry.get(name)
        if backend:
            budgets.append(backend.retries)
        return spend_all(budgets)

    def spend_hedge(self, allowance: Allowance | None = None) -> bool:
        """Take a hedge out of the budgets, if all of them allow it.

        The entry's budget bounds the sum over all intents: a hedge has no
        back end of its own to be charged to.

        :param allowance: what the request's intent allows.
        :returns: whether a second attempt may be sent beside a slow one.
        """
        budgets = [self._hedges]
        if allowance:
            budgets.append(self._intents.find_hedges(allowance))
        return spend_all(budgets)

    def _find_pool(
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
        match = Match(self._settings, query)
        hosts = [host for host in candidates if match.accepts(host)]
        find = partial(self._registry.find, now=now)
        nearness = Nearness(self._me, query.zone_preference)
        pool = Pool(hosts, query.service, nearness, self._settings, find)
        if len(self._pools) >= POOLS_KEPT:
            self._pools.pop(next(iter(self._pools)))
        self._pools[key] = _Cached(candidates, pool)
        return pool
