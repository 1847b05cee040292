"""Builds the components of an entry from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.entry.admission import Admission
from ospreyford.entry.dispatcher import Dispatcher
from ospreyford.entry.ejections import EjectionMonitor
from ospreyford.entry.requestqueue import RequestQueue
from ospreyford.entry.sender import AttemptDependencies
from ospreyford.entry.service import AdmissionDependencies, EntryService
from ospreyford.limits.gate import LimitGate
from ospreyford.limits.share import EntryIdentity, LimitShare
from ospreyford.node.entries import LiveEntries
from ospreyford.routing.query import Identity
from ospreyford.routing.router import Router
from ospreyford.wire.pool import ConnectionPool, PoolSettings

if TYPE_CHECKING:
    from ospreyford.entry.directory import FleetDirectory
    from ospreyford.node.fleetnode import FleetNode
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.observability.metrics import FlowMetrics, Metrics
    from ospreyford.observability.spans import Tracer
    from ospreyford.security.secrets import Secrets
    from ospreyford.settings.programs import EntrySettings


class EntryComponents(NamedTuple):
    """Components that the entry program runs."""

    service: EntryService
    router: Router
    limit_share: LimitShare
    queue: RequestQueue
    ejections: EjectionMonitor


def make_components(
    settings: EntrySettings,
    node: FleetNode,
    directory: FleetDirectory,
    metrics: Metrics,
    tracer: Tracer,
    changes: ChangeLog,
    secrets: Secrets,
) -> EntryComponents:
    """Build the components of an entry.

    :param settings: entry settings.
    :param node: fleet node of this process.
    :param directory: documents and hosts.
    :param metrics: metrics registry.
    :param tracer: records spans.
    :param changes: change log.
    :param secrets: credentials for connections to agents.
    :returns: the components, not started.
    """
    limit_share = _make_limit_share(settings, node)
    queue = RequestQueue(settings.queue, node.clock)
    admission = AdmissionDependencies(
        Admission(settings.requests, directory, node.clock),
        directory,
        LimitGate(settings.limits, limit_share),
        node.pauses,
    )
    router = _make_router(settings, node)
    dependencies = AttemptDependencies(
        settings.attempts,
        router,
        _make_pool(metrics.flow, node, secrets),
        node.clock,
        metrics.requests,
        queue,
    )
    service = EntryService(
        admission,
        Dispatcher(settings.requests, dependencies, directory),
        node.clock,
        metrics,
        tracer,
    )
    ejections = EjectionMonitor(router, changes, metrics, node.clock)
    return EntryComponents(service, router, limit_share, queue, ejections)


def _make_pool(
    flow: FlowMetrics, node: FleetNode, secrets: Secrets
) -> ConnectionPool:
    pool = ConnectionPool(
        PoolSettings(),
        node.clock,
        secrets.connect_agent,
        flow.missed_beats.labels('agent').inc,
    )
    flow.connections.labels('agent').set_function(pool.count_open)
    return pool


def _make_router(settings: EntrySettings, node: FleetNode) -> Router:
    identity = settings.identity
    router_identity = Identity(identity.name, identity.zone, identity.region)
    return Router(settings.routing, router_identity, node.rng)


def _make_limit_share(settings: EntrySettings, node: FleetNode) -> LimitShare:
    entries = LiveEntries(node.membership)
    node.subscribe_to_hosts(entries.handle_hosts)
    return LimitShare(
        settings.sharing,
        EntryIdentity(settings.identity.name, node.incarnation),
        node.peers,
        entries,
        node.clock,
    )
