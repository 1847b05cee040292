"""Routing policies that are compared in the queue model."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol

import numpy as np
from numpy import typing as npt
from scipy.optimize import linprog

from ospreyford.measure.workload import Deployment, Job
from ospreyford.ports.fleet import Host, LoadReport
from ospreyford.routing.query import (
    Attempt,
    Choice,
    Identity,
    Outcome,
    RoutingQuery,
)
from ospreyford.routing.router import Router
from ospreyford.routing.settings import RoutingSettings

#: Part of a back end below which a class is not sent to it.
LEAST_PART = 1e-9

Vector = npt.NDArray[np.float64]


class Policy(Protocol):
    """What the model asks of a policy; one instance for each entry."""

    def choose(self, job: Job, hosts: Sequence[Host], now: float) -> str | None:
        """Choose a back end by name, or none for now."""

    def note_sent(self, name: str, job: Job, now: float) -> None:
        """Learn of a sending."""

    def note_finished(
        self, name: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Learn how an attempt ended."""

    def note_load(self, name: str, report: LoadReport, now: float) -> None:
        """Learn a report."""

    def may_retry(self, name: str) -> bool:
        """Tell whether a failed attempt may be sent again."""


class RandomChoice:
    """Any back end, each as likely.

    :param rng: source of random numbers.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng

    def choose(self, job: Job, hosts: Sequence[Host], now: float) -> str | None:
        """Draw one."""
        return self.rng.choice(hosts).name

    def note_sent(self, name: str, job: Job, now: float) -> None:
        """Learn nothing."""

    def note_finished(
        self, name: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Learn nothing."""

    def note_load(self, name: str, report: LoadReport, now: float) -> None:
        """Learn nothing."""

    def may_retry(self, name: str) -> bool:
        """Retry without a budget, as plain policies do."""
        return True


class RoundRobin(RandomChoice):
    """Each back end in turn."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._turn = rng.randrange(100)

    def choose(self, job: Job, hosts: Sequence[Host], now: float) -> str | None:
        """Take the next."""
        self._turn += 1
        return hosts[self._turn % len(hosts)].name


class LeastInFlight(RandomChoice):
    """The back end with the fewest requests reported or sent since."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._loads: dict[str, int] = {}

    def choose(self, job: Job, hosts: Sequence[Host], now: float) -> str | None:
        """Take the least, ties at random."""
        shuffled = self.rng.sample(hosts, len(hosts))
        return min(shuffled, key=self._load).name

    def note_sent(self, name: str, job: Job, now: float) -> None:
        """Count one more until the next report."""
        self._loads[name] = self._loads.get(name, 0) + 1

    def note_load(self, name: str, report: LoadReport, now: float) -> None:
        """Take the report's count."""
        self._loads[name] = report.in_flight + report.queued

    def _load(self, host: Host) -> int:
        return self._loads.get(host.name, 0)


class Chosen:
    """The router as shipped.

    :param me: the entry.
    :param settings: the router's settings.
    :param rng: source of random numbers.
    :param cached: whether the service has prefixes to cache.
    """

    def __init__(
        self,
        me: Identity,
        settings: RoutingSettings,
        rng: Random,
        cached: bool,
    ) -> None:
        self._cached = cached
        self._router = Router(settings, me, rng)

    def choose(self, job: Job, hosts: Sequence[Host], now: float) -> str | None:
        """Ask the router."""
        prefix = str(job.prefix).encode() if self._cached else None
        query = RoutingQuery(
            service=hosts[0].service,
            customer=str(job.customer),
            deadline=now + 1,
            prefix=prefix,
        )
        match self._router.choose(query, hosts, now):
            case Choice(host, _):
                return host.name
            case _:
                return None

    def note_sent(self, name: str, job: Job, now: float) -> None:
        """Pass on."""
        attempt = Attempt.retry if job.attempts > 1 else Attempt.first
        self._router.record_sent(name, now, attempt)

    def note_finished(
        self, name: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Pass on."""
        self._router.record_finished(name, outcome, seconds, now)

    def note_load(self, name: str, report: LoadReport, now: float) -> None:
        """Pass on."""
        self._router.record_load(name, report, now)

    def may_retry(self, name: str) -> bool:
        """Ask the budgets."""
        return self._router.spend_retry(name)


class LinearProgram(LeastInFlight):
    """Subset of back ends for each prefix from an allocation LP.

    Al-Azzoni and Down, "Linear Programming Based Affinity Scheduling for
    Heterogeneous Computing Systems": a class goes to the machine of its
    subset that is expected to finish first.

    :param rng: source of random numbers.
    :param subsets: names allowed for each prefix, see :func:`allocate`.
    """

    def __init__(self, rng: Random, subsets: dict[int, frozenset[str]]) -> None:
        super().__init__(rng)
        self._subsets = subsets

    def choose(self, job: Job, hosts: Sequence[Host], now: float) -> str | None:
        """Take the least loaded of the subset."""
        subset = self._subsets.get(job.prefix, frozenset())
        allowed = [host for host in hosts if host.name in subset]
        return super().choose(job, allowed or hosts, now)


def allocate(
    deployment: Deployment,
    hosts: Sequence[Host],
    rates: dict[int, float],
) -> dict[int, frozenset[str]]:
    """Solve the allocation LP of the paper: maximise the common headroom.

    :param deployment: speeds of the back ends.
    :param hosts: the back ends.
    :param rates: requests a second of each prefix, as known beforehand.
    :returns: the back ends with a part of each prefix.
    """
    classes = sorted(rates)
    parts = _solve(
        np.array([rates[prefix] for prefix in classes]),
        len(hosts),
        deployment.capacity / len(hosts),
    )
    return {
        prefix: frozenset(
            host.name
            for host, part in zip(hosts, row, strict=True)
            if part > LEAST_PART
        )
        for prefix, row in zip(classes, parts, strict=True)
    }


def _solve(rates: Vector, width: int, speed: float) -> Vector:
    """Solve for the parts, classes by back ends; the last unknown is lambda."""
    count = len(rates)
    served = np.kron(np.eye(count), np.full(width, -speed))
    used = np.kron(np.ones(count), np.eye(width))
    unused = np.zeros((width, 1))
    unknowns = count * width
    solved = linprog(
        np.append(np.zeros(unknowns), -1),
        A_ub=np.block([[served, rates.reshape(count, 1)], [used, unused]]),
        b_ub=np.append(np.zeros(count), np.ones(width)),
    )
    parts: Vector = np.resize(solved.x, (count, width))
    return parts
