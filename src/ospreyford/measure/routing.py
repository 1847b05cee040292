"""Compare routing policies: ``python -m ospreyford.measure.routing``."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from random import Random

from ospreyford.measure.policies import (
    Chosen,
    LeastInFlight,
    LinearProgram,
    Policy,
    RandomChoice,
    RoundRobin,
    allocate,
)
from ospreyford.measure.routing_runs import (
    Case,
    Fault,
    Figures,
    Model,
    make_hosts,
)
from ospreyford.measure.routing_tables import Row, write_page
from ospreyford.measure.workload import (
    CATERER,
    OFFICE,
    ORDER_DESK,
    QUOTATION,
    Arrivals,
    Deployment,
)
from ospreyford.routing.query import Identity
from ospreyford.routing.settings import RoutingSettings

SEED = 7
#: Zones of the entries.
ENTRIES = 'abc'
LOADS = (0.5, 0.8, 0.95, 1.2)
LAGS = (0, 0.5, 2)
POLICIES = ('random', 'round robin', 'least in flight', 'chosen')
LINEAR_PROGRAM = 'linear program'
#: Requests looked at to learn the rates for the linear program.
SAMPLE = 5000
#: Requests on one back end, in multiples of its slots, that an operator
#: would set as the bound.
BOUND = 3


def build_policy(name: str, deployment: Deployment, zone: str) -> Policy:
    """Make one entry's policy.

    :param name: which.
    :param deployment: sizes.
    :param zone: zone of the entry.
    :returns: the policy.
    """
    rng = Random(f'{SEED}{zone}')
    match name:
        case 'random':
            return RandomChoice(rng)
        case 'round robin':
            return RoundRobin(rng)
        case 'least in flight':
            return LeastInFlight(rng)
        case 'linear program':
            rates = learn_rates(deployment)
            subsets = allocate(deployment, make_hosts(deployment), rates)
            return LinearProgram(rng, subsets)
        case _:
            settings = RoutingSettings(max_load=deployment.slots * BOUND)
            me = Identity(f'entry-{zone}', zone, 'r')
            cached = deployment.prefix_seconds > 0
            return Chosen(me, settings, rng, cached)


def learn_rates(deployment: Deployment) -> dict[int, float]:
    """Count the requests of each prefix in an earlier stretch.

    :param deployment: whose requests.
    :returns: requests a second at full load.
    """
    arrivals = Arrivals(deployment, 1, SEED + 1)
    now: float = 0
    counts: dict[int, float] = {}
    for _ in range(SAMPLE):
        job = arrivals.next(now)
        now = job.arrived_at
        counts[job.prefix] = counts.get(job.prefix, 0) + 1
    return {prefix: count / now for prefix, count in counts.items()}


def measure_case(case: Case, policy: str) -> Figures:
    """Play one case.

    :param case: what to play.
    :param policy: name of the policy.
    :returns: the figures.
    """
    fair = case._replace(fair=policy == 'chosen')
    policies = [build_policy(policy, case.deployment, zone) for zone in ENTRIES]
    return Model(fair, policies, SEED).run()


def list_cases() -> Iterator[Case]:
    """List the cases of the tables.

    :yields: loads by lags, then faults, for both deployments.
    """
    for deployment in (OFFICE, CATERER):
        for lag in LAGS:
            for load in LOADS:
                yield Case(deployment, load, lag)
        for fault in list(Fault)[1:]:
            yield Case(deployment, LOADS[1], LAGS[1], fault)
    for plain in (QUOTATION, ORDER_DESK):
        for load in LOADS:
            yield Case(plain, load, LAGS[1])


def main() -> None:
    """Play every case and write the page and its plots."""
    docs = Path(sys.argv[1] if len(sys.argv) > 1 else 'docs')
    rows: list[Row] = []
    for case in list_cases():
        names = list(POLICIES)
        if case.deployment.prefix_seconds:
            names.append(LINEAR_PROGRAM)
        rows.extend(Row(case, name, measure_case(case, name)) for name in names)
    write_page(docs, rows)


if __name__ == '__main__':
    main()
