"""Time per decision: ``python -m ospreyford.measure.routing_timing``."""

from __future__ import annotations

import sys
from functools import partial
from random import Random
from time import perf_counter

from tabulate import tabulate

from ospreyford.limits.gate import LimitGate
from ospreyford.limits.limit import Limit
from ospreyford.limits.settings import GateSettings
from ospreyford.measure.routing_runs import make_hosts
from ospreyford.measure.workload import OFFICE
from ospreyford.ports.fleet import Host
from ospreyford.routing.query import Identity, RoutingQuery
from ospreyford.routing.router import Router
from ospreyford.routing.settings import RoutingSettings

CANDIDATES = (3, 12, 64, 540, 4300)
REPEATS = 2000
CUSTOMERS = 37_000
MICROSECONDS = 1e6


def time_router(count: int) -> tuple[float, ...]:
    """Time the choices of one router.

    :param count: candidates.
    :returns: microseconds of the first choice with a new host list, of one
        without a prefix, and of one with a prefix seen before.
    """
    hosts = make_hosts(OFFICE._replace(replicas=count))
    me = Identity('entry', 'a', 'r')
    router = Router(RoutingSettings(), me, Random(1))
    plain = RoutingQuery('model', 'customer', float('inf'))
    cached = plain._replace(prefix=b'letter')
    return (
        _time(router, plain, hosts, 1),
        _time(router, plain, hosts, REPEATS),
        _time(router, cached, hosts, REPEATS),
    )


def _time(
    router: Router, query: RoutingQuery, hosts: tuple[Host, ...], times: int
) -> float:
    choose = partial(router.choose, query, hosts, 1)
    started = perf_counter()
    for _ in range(times):
        choose()
    return (perf_counter() - started) / times * MICROSECONDS


def time_gate() -> float:
    """Time the admission over many customers.

    :returns: microseconds for each.
    """
    gate = LimitGate(GateSettings())
    limit = Limit(requests=10)
    started = perf_counter()
    for number in range(CUSTOMERS):
        gate.admit(f'customer-{number}', limit, 1, 0)
    return (perf_counter() - started) / CUSTOMERS * MICROSECONDS


def main() -> None:
    """Print the tables."""
    headers = ('candidates', 'new list µs', 'choice µs', 'with prefix µs')
    rows = [(count, *time_router(count)) for count in CANDIDATES]
    table = tabulate(rows, headers, tablefmt='github', floatfmt='.1f')
    sys.stdout.write(f'{table}\n\n')
    sys.stdout.write(f'admission of a new customer: {time_gate():.1f} µs\n')


if __name__ == '__main__':
    main()
