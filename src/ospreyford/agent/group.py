"""The rank group's tasks in an agent."""

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
    """Runs the rank group's part beside everything else of the agent.

    :param section: the group's settings.
    :param node: this process's part in the fleet.
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
        """Tell the counts of loads and drops.

        :returns: by kind; none where engines see to their weights.
        """
        weights = self._member.service.weights
        return {} if weights is None else weights.counts

    def subscribe(self) -> None:
        """Follow the host list and answer operators."""
        self._node.subscribe_to_hosts(self._member.handle_hosts)
        self._node.peers.serve(Topic.plan, self._handle_plan_query)

    def list_tasks(self) -> list[Coroutine[Any, Any, object]]:
        """List what runs for ever.

        :returns: coroutines, not started yet.
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
            # The same tuple comes until a member changes: thousands of
            # addresses are hashed once for each change, not each second.
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
