"""Construction of an agent's components from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.agent.backend import BackendAddress, HttpBackend
from ospreyford.agent.load import LoadMeter
from ospreyford.agent.record import ExecutionRecord
from ospreyford.agent.runner import Runner
from ospreyford.agent.service import AgentService
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from ospreyford.node.fleetnode import FleetNode
    from ospreyford.observability.metrics import FlowMetrics
    from ospreyford.observability.spans import Tracer
    from ospreyford.settings.programs import AgentSettings


class AgentComponents(NamedTuple):
    """Components that serve entries."""

    record: ExecutionRecord
    meter: LoadMeter
    service: AgentService


def make_components(
    settings: AgentSettings,
    node: FleetNode,
    tracer: Tracer,
    flow: FlowMetrics,
) -> AgentComponents:
    """Build an agent's components.

    :param settings: the program's settings.
    :param node: this process's fleet node.
    :param tracer: records spans.
    :param flow: metrics of requests and connections.
    :returns: the components, ready to serve.
    """
    clock = node.clock
    backend = HttpBackend(
        BackendAddress(*split_address(settings.backend.address)),
        settings.service.connect_seconds,
    )
    record = ExecutionRecord(settings.records, node.incarnation, clock)
    meter = LoadMeter(record, backend, clock)
    runner = Runner(settings.service, record, backend, meter, clock, tracer)
    service = AgentService(
        settings.identity.name,
        settings.service,
        record,
        runner,
        meter,
        clock,
    )
    _connect_metrics(flow, settings.backend.service, meter, service)
    return AgentComponents(record, meter, service)


def _connect_metrics(
    flow: FlowMetrics,
    name: str,
    meter: LoadMeter,
    service: AgentService,
) -> None:
    service.on_heartbeat_timeout = flow.missed_beats.labels('entry').inc
    flow.in_flight.labels(name).set_function(lambda: meter.in_flight)
    flow.connections.labels('entry').set_function(service.count_connections)
