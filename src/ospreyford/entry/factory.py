"""Builds an entry's parts from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.entry.admission import Admission
from ospreyford.entry.dispatcher import Dispatcher
from ospreyford.entry.ejections import EjectionWatch
from ospreyford.entry.sending import Wiring
from ospreyford.entry.service import Admitting, EntryService
from ospreyford.entry.waiting import WaitingRoom
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


class EntryParts(NamedTuple):
    """What serves callers, and the parts of it that the program looks at."""

    service: EntryService
    router: Router
    share: LimitShare
    room: WaitingRoom
    watch: EjectionWatch


def make_parts(
    settings: EntrySettings,
    node: FleetNode,
    directory: FleetDirectory,
    metrics: Metrics,
    tracer: Tracer,
    changes: ChangeLog,
    secrets: Secrets,
) -> EntryParts:
    """Build an entry's parts.

    :param settings: the program's settings.
    :param node: this process's part in the fleet.
    :param directory: the published documents and the hosts.
    :param metrics: counts what becomes of requests.
    :param tracer: keeps the spans.
    :param changes: the log.
    :param secrets: secures the connections to agents.
    :returns: the parts, ready to serve.
    """
    share = _make_share(settings, node)
    room = WaitingRoom(settings.queue, node.clock)
    admitting = Admitting(
        Admission(settings.requests, directory, node.clock),
        directory,
        LimitGate(settings.limits, share),
        node.pauses,
    )
    router = _make_router(settings, node)
    wiring = Wiring(
        settings.attempts,
        router,
        _make_pool(metrics.flow, node, secrets),
        node.clock,
        metrics.requests,
        room,
    )
    service = EntryService(
        admitting,
        Dispatcher(settings.requests, wiring, directory),
        node.clock,
        metrics,
        tracer,
    )
    watch = EjectionWatch(router, changes, metrics, node.clock)
    return EntryParts(service, router, share, room, watch)


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
    me = Identity(identity.name, identity.zone, identity.region)
    return Router(settings.routing, me, node.rng)


def _make_share(settings: EntrySettings, node: FleetNode) -> LimitShare:
    entries = LiveEntries(node.membership)
    node.subscribe_to_hosts(entries.handle_hosts)
    return LimitShare(
        settings.sharing,
        EntryIdentity(settings.identity.name, node.incarnation),
        node.peers,
        entries,
        node.clock,
    )
