"""Status views of an agent for entries and operators."""

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
    """Builds the status views of one agent.

    :param node: this process's fleet node.
    :param record: the execution record.
    :param drains: the drain state.
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
        """Build the agent's status.

        :returns: the current status.
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
        """Handle a status query from an entry.

        :param body: not used.
        :returns: the encoded status.
        """
        return msgspec.msgpack.encode(self.make_status())

    def show_status(self, query: Query) -> Any:
        """Render the status of the agent and its configuration.

        :param query: not used.
        :returns: the page ``/status``.
        """
        return make_plain(
            {
                'agent': self.make_status(),
                'configuration': describe_configuration(self._node),
            },
        )
