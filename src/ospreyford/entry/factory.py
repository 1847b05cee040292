"""Builds an entry's parts from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.entry.admission import Admission
from ospreyford.entry.dispatcher import Dispatcher
from ospreyford.entry.service import Admitting, EntryService
from ospreyford.limits.gate import LimitGate
from ospreyford.routing.query import Identity
from ospreyford.routing.router import Router
from ospreyford.wire.pool import ConnectionPool, PoolSettings

if TYPE_CHECKING:
    from ospreyford.entry.directory import FleetDirectory
    from ospreyford.node.fleetnode import FleetNode
    from ospreyford.observability.metrics import Metrics
    from ospreyford.observability.spans import Tracer
    from ospreyford.settings.programs import EntrySettings


class EntryParts(NamedTuple):
    """What serves callers, and the parts of it that the program looks at."""

    service: EntryService
    router: Router
    gate: LimitGate


def make_parts(
    settings: EntrySettings,
    node: FleetNode,
    directory: FleetDirectory,
    metrics: Metrics,
    tracer: Tracer,
) -> EntryParts:
    """Build an entry's parts.

    :param settings: the program's settings.
    :param node: this process's part in the fleet.
    :param directory: the published documents and the hosts.
    :param metrics: counts what becomes of requests.
    :param tracer: keeps the spans.
    :returns: the parts, ready to serve.
    """
    identity = settings.identity
    me = Identity(identity.name, identity.zone, identity.region)
    router = Router(settings.routing, me, node.rng)
    gate = LimitGate(settings.limits)
    admission = Admission(settings.requests, directory, node.clock)
    dispatcher = Dispatcher(
        settings.requests,
        settings.attempts,
        router,
        ConnectionPool(PoolSettings(), node.clock),
        directory,
        node.clock,
        metrics.requests,
    )
    service = EntryService(
        Admitting(admission, directory, gate, node.pauses),
        dispatcher,
        node.clock,
        metrics,
        tracer,
    )
    return EntryParts(service, router, gate)
