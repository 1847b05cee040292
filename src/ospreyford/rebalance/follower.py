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
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.rebalance.election import Election
    from ospreyford.rebalance.reporter import Reporter
    from ospreyford.rebalance.watcher import RankWatcher

#: Agents queried in addition to the last known coordinator.
MAX_QUERIED_AGENTS = 2


class Follower:
    """Handles heartbeats, and queries other agents while none arrive.

    :param own_address: this agent's address.
    :param post: the process's datagram endpoint.
    :param election: state of the election.
    :param watcher: polls the rank on this host.
    :param reporter: reports that rank's load.
    :param log: event log.
    """

    def __init__(
        self,
        own_address: Address,
        post: DatagramSocket,
        election: Election,
        watcher: RankWatcher,
        reporter: Reporter,
        log: ChangeLog,
    ) -> None:
        self._own_address = own_address
        self._post = post
        self._election = election
        self._watcher = watcher
        self._reporter = reporter
        self._log = log

    def handle_heartbeat(
        self, heartbeat: CoordinatorHeartbeat, sender: Address
    ) -> None:
        """Handle a coordinator's heartbeat.

        :param heartbeat: the heartbeat.
        :param sender: the agent that sent it first.
        """
        if not self._is_own_group(heartbeat.group):
            return
        is_changed = self._election.handle_heartbeat(
            heartbeat.token,
            heartbeat.address,
            is_relayed=sender != heartbeat.address,
        )
        if self._election.highest_token == heartbeat.token:
            self._reporter.sums.switch_rotation(heartbeat.rotation)
        if is_changed:
            self.log_coordinator(heartbeat.group, heartbeat.address[0])

    async def query_coordinator(
        self, group: str, members: Sequence[Address]
    ) -> None:
        """Ask other agents for the coordinator before this agent campaigns.

        Heartbeats are missing if an agent that relays them has stopped, or if
        the coordinator does not know this agent yet.

        :param group: the group's name.
        :param members: its agents.
        """
        recipients = {self._election.leader}
        recipients.update(
            random.sample(members, min(MAX_QUERIED_AGENTS, len(members)))
        )
        for address in recipients.difference((None, self._own_address)):
            if address is not None:
                await self._post.send(FindCoordinator(group), address)

    async def answer_query(
        self, query: FindCoordinator, address: Address
    ) -> None:
        """Answer another agent's query if the coordinator is known for certain.

        :param query: the query.
        :param address: the agent's address.
        """
        leader = self._election.leader
        is_known = (
            self._is_own_group(query.group)
            and self._election.has_recent_heartbeat()
        )
        if is_known and leader is not None:
            turn = self._reporter.sums.rotation
            heartbeat = CoordinatorHeartbeat(
                query.group, self._election.highest_token, leader, turn
            )
            await self._post.send(heartbeat, address)

    def log_coordinator(self, group: str, host: str) -> None:
        """Log a change of the coordinator.

        :param group: the group's name.
        :param host: IP address of the coordinator's host.
        """
        self._log.log_change(
            CoordinatorChanged(
                group, host, self._election.highest_token, int(time.time())
            )
        )

    def _is_own_group(self, group: str) -> bool:
        state = self._watcher.state
        return state is not None and state.group == group
