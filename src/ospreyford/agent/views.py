"""What an agent tells of itself, to entries and to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.node.queries import AgentStatus
from ospreyford.node.status import describe_configuration
from ospreyford.observability.plain import make_plain

if TYPE_CHECKING:
    from typing import Any

    from ospreyford.agent.drains import DrainState
    from ospreyford.agent.record import ExecutionRecord
    from ospreyford.node.fleetnode import FleetNode
    from ospreyford.observability.admin import Query


class AgentViews:
    """Answers about one agent.

    :param node: this process's part in the fleet.
    :param record: what ran here.
    :param drains: what asks for a drain.
    """

    def __init__(
        self,
        node: FleetNode,
        record: ExecutionRecord,
        drains: DrainState,
    ) -> None:
        self._node = node
        self._record = record
        self._drains = drains

    def make_status(self) -> AgentStatus:
        """Tell how this agent is.

        :returns: its state now.
        """
        memory = self._record.table
        return AgentStatus(
            name=self._node.membership.me.name,
            incarnation=self._node.incarnation,
            running=len(memory.list_unfinished()),
            records=len(memory),
            draining=tuple(one.source for one in self._drains.find_causes()),
            revision=self._node.configuration.revision,
        )

    async def handle_status_query(self, body: bytes) -> bytes:
        """Answer an entry's question.

        :param body: not used.
        :returns: the status, encoded.
        """
        return msgspec.msgpack.encode(self.make_status())

    def show_status(self, query: Query) -> Any:
        """Show the agent and the configuration in force there.

        :param query: not used.
        :returns: the page ``/status``.
        """
        return make_plain(
            {
                'agent': self.make_status(),
                'configuration': describe_configuration(self._node),
            },
        )
