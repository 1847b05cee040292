"""Parts of an entry's and an agent's state, filled by the code that runs."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import cycle, islice
from random import Random

from ospreyford.distribution.replica import Replica
from ospreyford.documents.parsing import is_well_formed
from ospreyford.entry.call import Plan
from ospreyford.entry.directory import FleetDirectory
from ospreyford.limits.gate import LimitGate
from ospreyford.limits.limit import Limit
from ospreyford.limits.owners import EntryView, OwnerDirectory
from ospreyford.limits.settings import GateSettings, ShareSettings
from ospreyford.limits.share import EntryIdentity, LimitShare
from ospreyford.measure.capacity_samples import (
    SilentPeers,
    make_start,
    write_entries,
)
from ospreyford.measure.capacity_size import CUSTOMERS, MODELS, NODES
from ospreyford.measure.samples import SEED
from ospreyford.observability.spans import Tracer
from ospreyford.ports.clock import SystemClock
from ospreyford.routing.query import Choice, Outcome, RoutingQuery
from ospreyford.routing.router import Router
from ospreyford.settings.sections import Identity, Traces

PREFIXES = 2_000
#: Requests through the router, so that its records fill.
ROUTED = 40_000


class FixedMembers:
    """All entries of the fleet, live."""

    def __init__(self) -> None:
        names = (f'entry-{number}' for number in range(NODES))
        self._view = EntryView({name: f'{name}:7001' for name in names}, NODES)

    def view(self) -> EntryView:
        """Tell the view.

        :returns: always the same.
        """
        return self._view


def list_pairs() -> Iterator[tuple[str, str]]:
    """List customers and services in a fixed random order.

    :yields: a customer and a service.
    """
    rng = Random(SEED)
    numbers = rng.sample(range(CUSTOMERS), CUSTOMERS)
    for customer in numbers:
        for service in range(MODELS):
            yield f'customer-{customer}', f'model-{service}'


def list_plans(directory: FleetDirectory, count: int) -> list[Plan]:
    """Have a directory work out plans of different customers.

    :param directory: documents and hosts.
    :param count: how many plans.
    :returns: the plans.
    """
    found = (directory.find_plan(*pair) for pair in list_pairs())
    plans = (plan for plan in found if isinstance(plan, Plan))
    return list(islice(plans, count))


def route(router: Router, plans: list[Plan], requests: int = ROUTED) -> int:
    """Send requests through a router.

    :param router: the router.
    :param plans: what the requests may use, in turn.
    :param requests: how many.
    :returns: how many back ends it knows.
    """
    names: set[str] = set()
    for number, plan in zip(range(requests), cycle(plans)):
        for pool in filter(None, plan.pools):
            query = RoutingQuery(
                pool[0].service,
                '',
                float('inf'),
                prefix=bytes(str(number % PREFIXES), 'ascii'),
            )
            choice = router.choose(query, pool, number)
            if isinstance(choice, Choice):
                names.add(choice.host.name)
                router.record_sent(choice.host.name, number)
                router.record_finished(
                    choice.host.name, Outcome.answered, 1, number
                )
    return len(names)


def hold_documents() -> Replica:
    """Hold all published documents as a process of the fleet does.

    :returns: the texts by name.
    """
    replica = Replica(is_well_formed)
    for entry in write_entries():
        replica.accept(entry)
    return replica


def fill_gate(customers: int) -> tuple[int, LimitGate]:
    """Let customers through a gate.

    :param customers: how many.
    :returns: their number and the gate.
    """
    gate = LimitGate(GateSettings())
    limit = Limit(requests=10, tokens=1000, concurrency=10)
    for number in range(customers):
        gate.admit(f'customer-{number}', limit, 1, 0)
    return customers, gate


def make_homes() -> OwnerDirectory:
    """Make the homes of customers among all entries.

    :returns: the homes, none looked up yet.
    """
    return OwnerDirectory('entry-0', FixedMembers(), ShareSettings(), 0)


def fill_share(customers: int) -> tuple[int, LimitShare]:
    """Have customers ask for parts of their limits.

    :param customers: how many.
    :returns: their number and the sharing.
    """
    share = LimitShare(
        ShareSettings(),
        EntryIdentity('entry-0', 'incarnation'),
        SilentPeers(),
        FixedMembers(),
        SystemClock(),
    )
    for number in range(customers):
        share.record_demand(f'customer-{number}', 0)
    return customers, share


def fill_spans() -> tuple[int, Tracer]:
    """Fill both rings of spans.

    :returns: the number of spans and their owner.
    """
    identity = Identity(
        name='entry-0', instance='instance', zone='zone', region='region'
    )
    settings = Traces()
    tracer = Tracer(settings, identity)
    for number in range(settings.max_spans):
        for failed in (False, True):
            span = tracer.start('entry', make_start(idempotent=True).execution)
            span.attributes['backend'] = f'host-{number}'
            span.attributes['status'] = 200
            span.end('answered', failed)
    return 2 * settings.max_spans, tracer
