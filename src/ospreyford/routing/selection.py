"""Selection among the back ends that may take a request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.routing.health import HealthState
from ospreyford.routing.nearness import Nearness
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

#: Share of the load bound that lower priorities may fill.
LOW_SHARE = 0.7
NORMAL_SHARE = 0.9
#: Requests by which the next home must be better than the one before, so
#: that a prefix is copied to further back ends only for load.
RANK_COST = 1


class _Eligible(NamedTuple):
    backends: Sequence[Backend]
    probe: Backend | None
    panic: bool


class _Ranked(NamedTuple):
    backend: Backend
    cost: float
    basis: Basis


class Selection:
    """Selects one of the usable back ends.

    :param settings: the router's settings.
    :param me: name, zone and region of this entry.
    :param rng: source of random numbers.
    """

    def __init__(
        self, settings: RoutingSettings, me: Identity, rng: Random
    ) -> None:
        self._settings = settings
        self._me = me
        self._rng = rng

    def select(
        self,
        query: RoutingQuery,
        pool: Pool,
        usable: Sequence[Backend],
        now: float,
    ) -> Choice | NoBackend:
        """Select a back end.

        :param query: what the request asks for.
        :param pool: where the homes of prefixes are.
        :param usable: back ends that neither drain nor are excluded; not
            empty.
        :param now: seconds on the monotonic clock.
        :returns: the back end, or that all are at their bound.
        """
        eligible = self._admit(usable, now)
        if eligible.probe and query.idempotent:
            return Choice(eligible.probe.host, Basis.probe)
        scores = score_backends(eligible.backends, now)
        ranked = self._rank(query, pool, scores)
        if not ranked:
            wait = self._settings.retry_after_seconds
            return NoBackend(Overloaded(query.priority), wait)
        best = min(ranked, key=_find_cost)
        basis = Basis.panic if eligible.panic else best.basis
        return Choice(best.backend.host, basis)

    def _admit(self, usable: Sequence[Backend], now: float) -> _Eligible:
        states = [backend.health.state(now) for backend in usable]
        admitted = [
            backend
            for backend, state in zip(usable, states, strict=True)
            if state is HealthState.admitted
        ]
        # When most back ends look bad, the cause is rather the network or
        # this entry than they; ejecting them all would answer nobody and
        # break the few that are left.
        floor = self._settings.ejection.panic_ratio * len(usable)
        if not admitted or len(admitted) < floor:
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

    def _rank(
        self, query: RoutingQuery, pool: Pool, scores: Scores
    ) -> list[_Ranked]:
        bound = self._find_bound(query.priority)
        homes = self._rank_homes(query, pool, scores)
        # Away from its homes a prefix must be computed again, which costs
        # the back end as much as some requests; under overload, spilling
        # would turn the missing capacity into yet more work.
        gain = min(self._settings.affinity_gain, bound / 2) if homes else 0
        names = {home.backend.host.name for home in homes}
        others = {
            backend: score
            for backend, score in scores.items()
            if score + gain <= bound and backend.host.name not in names
        }
        opened = [home for home in homes if scores[home.backend] <= bound]
        return opened + self._draw_ranked(
            others, gain, Nearness(self._me, query.zone_preference)
        )

    def _rank_homes(
        self, query: RoutingQuery, pool: Pool, scores: Scores
    ) -> list[_Ranked]:
        if query.prefix is None:
            return []
        homes = pool.homes(query.prefix)
        return [
            _Ranked(home, scores[home] + rank * RANK_COST, Basis.affinity)
            for rank, home in enumerate(homes)
            if home in scores
        ]

    def _find_bound(self, priority: Priority) -> float:
        bound = self._settings.max_load
        match priority:
            case Priority.low:
                return bound * LOW_SHARE
            case Priority.normal:
                return bound * NORMAL_SHARE
            case Priority.high:
                return bound

    def _draw_ranked(
        self, scores: Scores, gain: float, nearness: Nearness
    ) -> list[_Ranked]:
        local = [one for one in scores if nearness.is_near(one.host)]
        remote = [one for one in scores if not nearness.is_near(one.host)]
        wanted = self._settings.choices
        drawn = self._draw(local, wanted)
        drawn += self._draw(remote, 1 if local else wanted)
        return [
            _Ranked(
                one,
                scores[one]
                + gain
                + nearness.penalise(one.host, self._settings),
                Basis.load,
            )
            for one in drawn
        ]

    def _draw(self, backends: list[Backend], wanted: int) -> list[Backend]:
        return self._rng.sample(backends, min(wanted, len(backends)))


def _find_cost(ranked: _Ranked) -> float:
    return ranked.cost
