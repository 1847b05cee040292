"""Tracking and discovery of the coordinator by an agent."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ospreyford.rebalance.decisions import CoordinatorChanged
from ospreyford.rebalance.messages import CoordinatorHeartbeat, FindCoordinator

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.election import Election
    from ospreyford.rebalance.groupsocket import GroupSocket
    from ospreyford.rebalance.reporter import Reporter

#: Agents queried in addition to the last known coordinator.
MAX_QUERIED_AGENTS = 2


class Follower:
    """Handles heartbeats, and queries other agents while none arrive.

    :param own_address: this agent's address.
    :param post: sends messages to the group's agents.
    :param election: state of the election.
    :param group: the group's name.
    :param reporter: reports that rank's load.
    :param log: event log.
    """

    def __init__(
        self,
        own_address: Address,
        post: GroupSocket,
        election: Election,
        group: str,
        reporter: Reporter,
        log: ChangeLog,
    ) -> None:
        self._own_address = own_address
        self._post = post
        self._election = election
        self._group = group
        self._reporter = reporter
        self._log = log

    def handle_heartbeat(
        self, heartbeat: CoordinatorHeartbeat, sender: Address
    ) -> None:
        """Handle a coordinator's heartbeat.

        :param heartbeat: the heartbeat.
        :param sender: the agent that sent it first.
        """
        is_changed = self._election.handle_heartbeat(
            heartbeat.token,
            heartbeat.address,
            is_relayed=sender != heartbeat.address,
        )
        if self._election.highest_token == heartbeat.token:
            self._reporter.sums.switch_rotation(heartbeat.rotation)
        if is_changed:
            self.log_coordinator(heartbeat.address[0])

    async def query_coordinator(self, members: Sequence[Address]) -> None:
        """Ask other agents for the coordinator before this agent campaigns.

        Heartbeats are missing if an agent that relays them has stopped, or if
        the coordinator does not know this agent yet.

        :param members: the group's agents.
        """
        recipients = {self._election.leader}
        recipients.update(
            random.sample(members, min(MAX_QUERIED_AGENTS, len(members)))
        )
        for address in recipients.difference((None, self._own_address)):
            if address is not None:
                await self._post.send(FindCoordinator(), address)

    async def answer_query(self, address: Address) -> None:
        """Answer another agent's query if the coordinator is known for certain.

        :param address: the agent's address.
        """
        leader = self._election.leader
        if leader is not None and self._election.has_recent_heartbeat():
            turn = self._reporter.sums.rotation
            heartbeat = CoordinatorHeartbeat(
                self._election.highest_token, leader, turn
            )
            await self._post.send(heartbeat, address)

    def log_coordinator(self, host: str) -> None:
        """Log a change of the coordinator.

        :param host: IP address of the coordinator's host.
        """
        self._log.log_change(
            CoordinatorChanged(
                self._group,
                host,
                self._election.highest_token,
                int(time.time()),
            )
        )
