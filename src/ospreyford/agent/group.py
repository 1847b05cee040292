"""Background tasks of an agent that belongs to a rank group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
import msgspec

from ospreyford.agent.ranks import RankGroupMember
from ospreyford.node.queries import Topic

if TYPE_CHECKING:
    from collections.abc import Coroutine, Mapping
    from typing import Any

    from ospreyford.agent.rankssettings import RankSection
    from ospreyford.console.program import Program
    from ospreyford.membership.member import Member
    from ospreyford.node.fleetnode import FleetNode
    from ospreyford.settings.programs import AgentSettings

GROUP_POLL_SECONDS = 1.0


class GroupTasks:
    """Runs the agent's rank group member.

    :param section: the group's settings.
    :param node: this process's fleet node.
    :param program: settings, stop signal and log.
    """

    def __init__(
        self,
        section: RankSection,
        node: FleetNode,
        program: Program[AgentSettings],
    ) -> None:
        self._member = RankGroupMember(section, node.peers, node.clock)
        self._node = node
        self._program = program

    def count_weights(self) -> Mapping[str, int]:
        """Count the weight loads and drops.

        :returns: counts by kind; empty if engines manage their own weights.
        """
        weights = self._member.service.weights
        return {} if weights is None else weights.counts

    def subscribe(self) -> None:
        """Subscribe to host changes and serve plan queries."""
        self._node.subscribe_to_hosts(self._member.handle_hosts)
        self._node.peers.serve(Topic.plan, self._handle_plan_query)

    def list_tasks(self) -> list[Coroutine[Any, Any, object]]:
        """List the group's background tasks.

        :returns: coroutines that have not been started.
        """
        return [
            self._run_agreement(),
            self._member.placement.run(),
            self._member.service.run_weights(),
            self._watch_fleet(),
        ]

    async def _run_agreement(self) -> None:
        self._program.changes.log_change(await self._member.run_agreement())
        await self._program.stop.requested.set()

    async def _watch_fleet(self) -> None:
        service = self._program.settings.backend.service
        members: tuple[Member, ...] = ()
        live: frozenset[str] = frozenset()
        while True:
            # The tuple is the same object until a member changes; do not
            # rehash thousands of addresses each second.
            if members is not self._node.membership.members():
                members = self._node.membership.members()
                live = frozenset(one.peer_address for one in members)
            self._member.handle_live_peers(live)
            picture = self._node.configuration.picture
            self._member.apply_published_weights(picture.placement(service))
            await curio.sleep(GROUP_POLL_SECONDS)

    async def _handle_plan_query(self, body: bytes) -> bytes | None:
        explanation = self._member.placement.explain()
        return (
            None if explanation is None else msgspec.msgpack.encode(explanation)
        )
