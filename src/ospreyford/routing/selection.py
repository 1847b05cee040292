"""Selection among the back ends that may take a request."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.routing.health import HealthState
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

    from ospreyford.ports.fleet import Host
    from ospreyford.routing.backend import Backend
    from ospreyford.routing.pool import Pool
    from ospreyford.routing.query import Identity, RoutingQuery
    from ospreyford.routing.settings import RoutingSettings

#: Share of the load bound that lower priorities may fill.
LOW_SHARE = 0.7
NORMAL_SHARE = 0.9


class _Eligible(NamedTuple):
    backends: Sequence[Backend]
    probe: Backend | None
    panic: bool


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
        scores = self._find_open(eligible.backends, query.priority, now)
        if not scores:
            wait = self._settings.retry_after_seconds
            return NoBackend(Overloaded(query.priority), wait)
        home = self._find_home(query, pool, scores)
        if home:
            return Choice(home.host, Basis.affinity)
        best = self._compare(scores)
        return Choice(best.host, Basis.panic if eligible.panic else Basis.load)

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

    def _find_open(
        self, backends: Sequence[Backend], priority: Priority, now: float
    ) -> Scores:
        bound = self._settings.max_load
        match priority:
            case Priority.low:
                bound *= LOW_SHARE
            case Priority.normal:
                bound *= NORMAL_SHARE
            case Priority.high:
                """May fill the whole."""
        scores = score_backends(backends, now)
        return {
            backend: score
            for backend, score in scores.items()
            if score <= bound
        }

    def _find_home(
        self, query: RoutingQuery, pool: Pool, scores: Scores
    ) -> Backend | None:
        if query.prefix is None:
            return None
        bound = fmean(scores.values()) * self._settings.affinity_ratio
        bound += self._settings.affinity_slack
        for home in pool.homes(query.prefix):
            if scores.get(home, bound + 1) <= bound:
                return home
        return None

    def _compare(self, scores: Scores) -> Backend:
        zone = self._me.zone
        local = [one for one in scores if one.host.zone == zone]
        remote = [one for one in scores if one.host.zone != zone]
        wanted = self._settings.choices
        drawn = self._draw(local, wanted)
        drawn += self._draw(remote, 1 if local else wanted)
        return min(drawn, key=lambda one: scores[one] + self._penalty(one.host))

    def _draw(self, backends: list[Backend], wanted: int) -> list[Backend]:
        return self._rng.sample(backends, min(wanted, len(backends)))

    def _penalty(self, host: Host) -> float:
        if host.region != self._me.region:
            return self._settings.region_penalty
        if host.zone != self._me.zone:
            return self._settings.zone_penalty
        return 0
