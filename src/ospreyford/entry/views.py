"""What an entry shows to operators."""

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

#: Agents asked at the same time for one page.
ASKED_AT_ONCE = 32
#: Agents asked for their plans by one call.
MOST_ASKED = 200


class DrainProgress(NamedTuple):
    """A backend server that takes no new work.

    ``causes`` tells who asked for it. ``running`` is ``None`` when its agent
    does not answer: then nobody knows what still runs there.
    """

    host: str
    zone: str
    causes: tuple[str, ...]
    running: int | None


class Views:
    """Answers of the admin port.

    :param node: this process's part in the fleet.
    :param directory: documents and hosts.
    :param tracer: this process's spans.
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
        """Show the system as this entry sees it.

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
        :raises BadQuery: one of them is missing.
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
        """Find the hops of a request.

        :param query: ``request``, the id that the caller was told.
        :returns: the spans of this entry and of the agents that it used.
        :raises NothingFound: this entry did not serve it, or it is too long
            ago.
        """
        request_id = require_parameter(query, 'request', 'a request id')
        own = self._tracer.store.find_request(request_id)
        if not own:
            raise NothingFound(request_id)
        names = {
            name
            for span in own
            for name in str(span.attributes.get('servers', '')).split()
        }
        addresses = [
            host.peer_address
            for host in map(self._directory.find_host, sorted(names))
            if host is not None
        ]
        others = await gather_spans(self._node.peers, addresses, request_id)
        return merge_spans((own, others))

    async def show_drains(self, query: Query) -> Any:
        """Show the hosts that drain and what each still waits for.

        :param query: not used.
        :returns: a row for each.
        """
        draining = [
            host
            for host in self._directory.hosts.values()
            if self._list_causes(host)
        ]
        rows: list[DrainProgress] = []
        for number in range(0, len(draining), ASKED_AT_ONCE):
            share = draining[number : number + ASKED_AT_ONCE]
            rows += await self._ask_drains(share)
        return make_plain(rows)

    async def show_plans(self, query: Query) -> Any:
        """Show what the placement policy would move, for each rank group.

        :param query: ``service`` limits it to one service.
        :returns: the last judgement of each group, by the agent that made it.
        """
        service = query.get('service')
        asked = [
            host
            for host in self._directory.hosts.values()
            if service in {None, host.service}
        ]
        plans: dict[str, PlanExplanation] = {}
        for host in asked[:MOST_ASKED]:
            plan = await query_plan(self._node.peers, host.peer_address)
            if plan is not None:
                plans[host.name] = plan
        return make_plain(plans)

    async def _ask_drains(self, hosts: list[Host]) -> list[DrainProgress]:
        group = curio.TaskGroup()
        async with group:
            for host in hosts:
                await group.spawn(self._ask_drain, host)
        rows: list[DrainProgress] = group.results
        return rows

    async def _ask_drain(self, host: Host) -> DrainProgress:
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
            'drain request': self._is_requested(host),
        }
        return tuple(name for name in found if found[name])

    def _is_requested(self, host: Host) -> bool:
        picture = self._node.configuration.picture
        return picture.drain_of(host) is not None

    def _count_members(self) -> dict[str, int]:
        counts: Counter[str] = Counter()
        for member in self._node.membership.members():
            state = self._node.membership.state_of(member.name)
            named = (state or MemberState.dead).value
            counts[' '.join((member.role, member.zone, named))] += 1
        return dict(counts)
