"""Selection of a backend by health, prefix affinity and load."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.routing.health import HealthState
from ospreyford.routing.locality import Locality
from ospreyford.routing.query import (
    Basis,
    Choice,
    NoBackend,
    Overloaded,
    Priority,
)
from ospreyford.routing.scores import Scores, score_backends

if TYPE_CHECKING:
    from random import Random

    from ospreyford.routing.backend import Backend
    from ospreyford.routing.pool import Pool
    from ospreyford.routing.query import Identity, RoutingQuery
    from ospreyford.routing.settings import RoutingSettings

#: Share of the load bound available to lower priorities.
LOW_PRIORITY_SHARE = 0.7
NORMAL_PRIORITY_SHARE = 0.9
#: Cost, in requests, of each further affinity backend of a prefix.
AFFINITY_RANK_COST = 1


class _Eligible(NamedTuple):
    backends: Sequence[Backend]
    probe: Backend | None
    panic: bool


class _Ranked(NamedTuple):
    backend: Backend
    cost: float
    basis: Basis


class BackendSelector:
    """Selects one of the usable backends.

    :param settings: the router's settings.
    :param identity: name, zone and region of this entry.
    :param rng: source of random numbers.
    """

    def __init__(
        self, settings: RoutingSettings, identity: Identity, rng: Random
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._rng = rng

    def select(
        self,
        query: RoutingQuery,
        pool: Pool,
        usable: Sequence[Backend],
        now: float,
    ) -> Choice | NoBackend:
        """Select a backend.

        :param query: the requirements of the request.
        :param pool: provides the affinity backends of the prefix.
        :param usable: backends that are neither draining nor excluded; not
            empty.
        :param now: seconds on the monotonic clock.
        :returns: the choice, or that all backends are overloaded.
        """
        eligible = self._filter_by_health(usable, now)
        if eligible.probe and query.idempotent:
            return Choice(eligible.probe.host, Basis.probe)
        scores = score_backends(eligible.backends, now)
        ranked = self._rank_candidates(query, pool, scores)
        if not ranked:
            retry_after = self._settings.retry_after_seconds
            return NoBackend(Overloaded(query.priority), retry_after)
        best = min(ranked, key=_get_cost)
        basis = Basis.panic if eligible.panic else best.basis
        return Choice(best.backend.host, basis)

    def _filter_by_health(
        self, usable: Sequence[Backend], now: float
    ) -> _Eligible:
        states = [backend.health.compute_state(now) for backend in usable]
        admitted = [
            backend
            for backend, state in zip(usable, states, strict=True)
            if state is HealthState.admitted
        ]
        # Panic mode: when most backends are ejected, the fault is probably
        # in the network or this entry, and the rest would be overloaded.
        min_admitted = self._settings.ejection.panic_ratio * len(usable)
        if not admitted or len(admitted) < min_admitted:
            return _Eligible(usable, None, panic=True)
        probe = next(
            (
                backend
                for backend, state in zip(usable, states, strict=True)
                if state is HealthState.probing and not backend.in_flight
            ),
            None,
        )
        return _Eligible(admitted, probe, panic=False)

    def _rank_candidates(
        self, query: RoutingQuery, pool: Pool, scores: Scores
    ) -> list[_Ranked]:
        bound = self._compute_load_bound(query.priority)
        affinity = self._rank_by_affinity(query, pool, scores)
        # A cache miss on another backend costs as much as some requests, so
        # spilling under overload would add load.
        affinity_gain = (
            min(self._settings.affinity_gain, bound / 2) if affinity else 0
        )
        names = {ranked.backend.host.name for ranked in affinity}
        others = {
            backend: score
            for backend, score in scores.items()
            if score + affinity_gain <= bound and backend.host.name not in names
        }
        below_bound = [
            ranked for ranked in affinity if scores[ranked.backend] <= bound
        ]
        return below_bound + self._rank_by_load(
            others,
            affinity_gain,
            Locality(self._identity, query.zone_preference),
        )

    def _rank_by_affinity(
        self, query: RoutingQuery, pool: Pool, scores: Scores
    ) -> list[_Ranked]:
        if query.prefix is None:
            return []
        backends = pool.find_affinity_backends(query.prefix)
        return [
            _Ranked(
                backend,
                scores[backend] + rank * AFFINITY_RANK_COST,
                Basis.affinity,
            )
            for rank, backend in enumerate(backends)
            if backend in scores
        ]

    def _compute_load_bound(self, priority: Priority) -> float:
        bound = self._settings.max_load
        match priority:
            case Priority.low:
                return bound * LOW_PRIORITY_SHARE
            case Priority.normal:
                return bound * NORMAL_PRIORITY_SHARE
            case Priority.high:
                return bound

    def _rank_by_load(
        self, scores: Scores, affinity_gain: float, locality: Locality
    ) -> list[_Ranked]:
        local = [
            backend for backend in scores if locality.is_preferred(backend.host)
        ]
        remote = [
            backend
            for backend in scores
            if not locality.is_preferred(backend.host)
        ]
        count = self._settings.choices
        sampled = self._sample(local, count)
        sampled += self._sample(remote, 1 if local else count)
        return [
            _Ranked(
                backend,
                scores[backend]
                + affinity_gain
                + locality.compute_penalty(backend.host, self._settings),
                Basis.load,
            )
            for backend in sampled
        ]

    def _sample(self, backends: list[Backend], count: int) -> list[Backend]:
        return self._rng.sample(backends, min(count, len(backends)))


def _get_cost(ranked: _Ranked) -> float:
    return ranked.cost
