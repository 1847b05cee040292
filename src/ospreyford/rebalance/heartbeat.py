"""Periodic messages of a coordinator to agents and entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.entrymessages import GroupStatus
from ospreyford.rebalance.messages import CoordinatorHeartbeat
from ospreyford.rebalance.rankloads import list_rank_loads

if TYPE_CHECKING:
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.groupkey import GroupKey
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.reporter import Reporter
    from ospreyford.rebalance.roster import Roster
    from ospreyford.rebalance.statuspublisher import StatusPublisher


class HeartbeatSender:
    """Sends heartbeats to agents and publishes the group's status to entries.

    :param own_address: this agent's address.
    :param key: the group.
    :param broadcast: sends a message to all agents.
    :param publisher: publishes the status to entries.
    :param reporter: reports the load of this agent's rank.
    """

    def __init__(
        self,
        own_address: Address,
        key: GroupKey,
        broadcast: TreeBroadcast,
        publisher: StatusPublisher,
        reporter: Reporter,
    ) -> None:
        self._own_address = own_address
        self._tag = key.compute_tag()
        self._broadcast = broadcast
        self._publisher = publisher
        self._reporter = reporter
        self._sent = 0

    async def send(self, token: int, leader: GroupLeader) -> None:
        """Send a heartbeat to the group's agents.

        :param token: the coordinator's fencing token.
        :param leader: the group's leader.
        """
        rotation = leader.select_turn()
        self._reporter.sums.switch_rotation(rotation)
        # Rotate the tree, so that a failed agent blocks few heartbeats.
        self._sent += 1
        await self._broadcast.broadcast(
            CoordinatorHeartbeat(token, self._own_address, rotation),
            self._sent,
        )

    async def publish(
        self, state: RankState, token: int, leader: GroupLeader, roster: Roster
    ) -> None:
        """Publish the group's status to entries.

        :param state: state of the rank beside this agent.
        :param token: the coordinator's fencing token.
        :param leader: the group's leader.
        :param roster: the group's members, as told by entries.
        """
        states = leader.ranks.read_states().values()
        status = GroupStatus(
            tag=self._tag,
            token=token,
            is_open=state.is_open,
            pass_seconds=leader.pass_timer.compute_mean_seconds(),
            epoch=state.epoch,
            running=sum(one.active for one in states),
            queued=sum(one.queued for one in states),
            entries=0,
        )
        details = roster.build_details(list_rank_loads(leader.ranks))
        await self._publisher.publish(status, details)
