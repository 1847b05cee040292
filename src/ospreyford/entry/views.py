"""Admin pages of an entry."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import curio

from ospreyford.documents.explanation import explain
from ospreyford.membership.member import MemberState
from ospreyford.node.queries import (
    AgentStatus,
    gather_spans,
    query_plan,
    query_status,
)
from ospreyford.node.status import describe_configuration
from ospreyford.observability.admin import NothingFound, require_parameter
from ospreyford.observability.plain import make_plain
from ospreyford.observability.spans import merge_spans
from ospreyford.ports.fleet import HostState

if TYPE_CHECKING:
    from typing import Any

    from ospreyford.entry.directory import FleetDirectory
    from ospreyford.node.fleetnode import FleetNode
    from ospreyford.observability.admin import Provider, Query
    from ospreyford.observability.spans import Span, Tracer
    from ospreyford.placement.explanation import PlanExplanation
    from ospreyford.ports.fleet import Host

MAX_CONCURRENT_QUERIES = 32
MAX_PLAN_QUERIES = 200


class DrainProgress(NamedTuple):
    """A draining backend server.

    ``running`` counts its requests; ``None`` if the agent does not respond.
    """

    host: str
    zone: str
    causes: tuple[str, ...]
    running: int | None


class Views:
    """Providers of the admin port.

    :param node: fleet node of this process.
    :param directory: documents and hosts.
    :param tracer: spans of this process.
    """

    def __init__(
        self,
        node: FleetNode,
        directory: FleetDirectory,
        tracer: Tracer,
    ) -> None:
        self._node = node
        self._directory = directory
        self._tracer = tracer

    def list_providers(self) -> dict[str, Provider]:
        """List the pages.

        :returns: providers by path.
        """
        return {
            '/status': self.show_status,
            '/explain': self.explain_route,
            '/traces': self.find_trace,
            '/drains': self.show_drains,
            '/plan': self.show_plans,
        }

    def show_status(self, query: Query) -> Any:
        """Show the fleet state known to this entry.

        :param query: not used.
        :returns: configuration, members and hosts.
        """
        node = self._node
        return make_plain(
            {
                'entry': node.membership.me,
                'configuration': describe_configuration(node),
                'members': self._count_members(),
                'silent_zones': node.membership.list_silent_zones(),
                'membership_stale': node.membership.is_stale(),
                'hosts': len(self._directory.hosts),
                'withdrawn': self._directory.withdrawn,
                'pauses': node.pauses.pause_count,
            },
        )

    def explain_route(self, query: Query) -> Any:
        """Explain a customer's route to a service.

        :param query: ``customer`` and ``service``.
        :returns: the explanation.
        :raises BadQuery: a parameter is missing.
        """
        customer = require_parameter(query, 'customer', 'the id of a customer')
        service = require_parameter(query, 'service', 'the name of a service')
        return make_plain(
            explain(
                self._node.configuration.picture,
                self._directory.hosts.values(),
                customer,
                service,
            ),
        )

    async def find_trace(self, query: Query) -> list[Span]:
        """Find the spans of a request.

        :param query: ``request``, the request id.
        :returns: spans of this entry and of the attempted agents.
        :raises NothingFound: this entry has no spans of the request.
        """
        request_id = require_parameter(query, 'request', 'a request id')
        entry_spans = self._tracer.store.find_request(request_id)
        if not entry_spans:
            raise NothingFound(request_id)
        backend_names = {
            name
            for span in entry_spans
            for name in str(span.attributes.get('servers', '')).split()
        }
        addresses = [
            host.peer_address
            for host in map(self._directory.find_host, sorted(backend_names))
            if host is not None
        ]
        agent_spans = await gather_spans(
            self._node.peers, addresses, request_id
        )
        return merge_spans((entry_spans, agent_spans))

    async def show_drains(self, query: Query) -> Any:
        """Show draining hosts and their running requests.

        :param query: not used.
        :returns: one row per host.
        """
        draining = [
            host
            for host in self._directory.hosts.values()
            if self._list_causes(host)
        ]
        rows: list[DrainProgress] = []
        for start in range(0, len(draining), MAX_CONCURRENT_QUERIES):
            batch = draining[start : start + MAX_CONCURRENT_QUERIES]
            rows += await self._query_drains(batch)
        return make_plain(rows)

    async def show_plans(self, query: Query) -> Any:
        """Show the placement plans of the rank groups.

        :param query: ``service``, to filter by service.
        :returns: latest plans by agent name.
        """
        service = query.get('service')
        hosts = [
            host
            for host in self._directory.hosts.values()
            if service in {None, host.service}
        ]
        plans: dict[str, PlanExplanation] = {}
        for host in hosts[:MAX_PLAN_QUERIES]:
            plan = await query_plan(self._node.peers, host.peer_address)
            if plan is not None:
                plans[host.name] = plan
        return make_plain(plans)

    async def _query_drains(self, hosts: list[Host]) -> list[DrainProgress]:
        group = curio.TaskGroup()
        async with group:
            for host in hosts:
                await group.spawn(self._query_drain, host)
        rows: list[DrainProgress] = group.results
        return rows

    async def _query_drain(self, host: Host) -> DrainProgress:
        status = await query_status(self._node.peers, host.peer_address)
        causes = self._list_causes(host)
        if isinstance(status, AgentStatus):
            causes = tuple(sorted({*causes, *status.draining}))
        running = None if status is None else status.running
        return DrainProgress(host.name, host.zone, causes, running)

    def _list_causes(self, host: Host) -> tuple[str, ...]:
        found = {
            'host list': host.state is HostState.leaving,
            'agent leaving': host.name in self._directory.withdrawn,
            'drain request': self._has_drain_request(host),
        }
        return tuple(name for name in found if found[name])

    def _has_drain_request(self, host: Host) -> bool:
        picture = self._node.configuration.picture
        return picture.drain_of(host) is not None

    def _count_members(self) -> dict[str, int]:
        counts: Counter[str] = Counter()
        for member in self._node.membership.members():
            state = self._node.membership.state_of(member.name)
            named = (state or MemberState.dead).value
            counts[' '.join((member.role, member.zone, named))] += 1
        return dict(counts)
