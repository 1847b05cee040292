"""Which coordinator an agent follows, and how it finds one."""

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

#: Agents beside the last coordinator that one asks which hears of none.
MAX_QUERIED_AGENTS = 2


class Follower:
    """Takes heartbeats, and asks who coordinates where none arrive.

    :param me: this agent's address.
    :param post: the process's datagrams.
    :param election: who coordinates.
    :param watcher: looks at the rank beside this agent.
    :param reporter: reports that rank's load.
    :param log: where changes go.
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
        """Take a coordinator's heartbeat.

        :param beat: the heartbeat.
        :param sender: who sent it first.
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
        """Ask who coordinates, before this agent stands itself.

        The coordinator's heartbeats may be lost on their way: an agent between
        it and this one has ended, or this one is not among the members that it
        was told of.

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
        """Tell another agent who coordinates, if that is known for certain.

        :param find: its question.
        :param address: its address.
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
        """Log who coordinates from now on.

        :param group: the group's name.
        :param host: IP number of the coordinator's host.
        """
        self._log.log_change(
            CoordinatorChanged(
                group, host, self._election.highest_token, int(time.time())
            )
        )

    def _is_own_group(self, group: str) -> bool:
        state = self._watcher.state
        return state is not None and state.group == group
