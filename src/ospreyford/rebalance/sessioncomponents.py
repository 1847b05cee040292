"""Wiring of the components of a group's session."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.broadcast import TreeBroadcast
from ospreyford.rebalance.dispatcher import MessageDispatcher
from ospreyford.rebalance.election import Election
from ospreyford.rebalance.follower import Follower
from ospreyford.rebalance.groupengine import GroupEngine
from ospreyford.rebalance.groupsocket import GroupSocket
from ospreyford.rebalance.heartbeat import HeartbeatSender
from ospreyford.rebalance.incidents import GroupIncidents
from ospreyford.rebalance.leader import GroupLeader
from ospreyford.rebalance.orderexecutor import OrderExecutor
from ospreyford.rebalance.participant import RankParticipant
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.reporter import Reporter
from ospreyford.rebalance.roster import Roster
from ospreyford.rebalance.shutdown import GracefulShutdown
from ospreyford.rebalance.statuspublisher import StatusPublisher
from ospreyford.rebalance.watcher import RankWatcher

if TYPE_CHECKING:
    from ospreyford.rebalance.agentcontext import AgentContext
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.groupkey import GroupKey


class SessionComponents:
    """Everything of an agent that concerns one group.

    :param key: the group.
    :param context: what all sessions of the agent share.

    ``roster`` lists the group's members, as told last.
    """

    def __init__(self, key: GroupKey, context: AgentContext) -> None:
        settings, ports, datagram_socket, entries, metrics = context
        own_address = settings.datagrams
        self.roster = Roster(key)
        self._key = key
        self._context = context
        self._socket = GroupSocket(datagram_socket, key)
        self._broadcast = TreeBroadcast(own_address, self._socket)
        engine = GroupEngine(ports.engine, key.name)
        self._participant = RankParticipant(engine, ports.clock)
        self.watcher = RankWatcher(engine, ports.clock)
        self.election = Election(own_address, ports.clock)
        self.order_executor = OrderExecutor(
            self._participant, self._socket, metrics, ports.log
        )
        self.reporter = Reporter(
            settings, self._socket, self.watcher, ports.clock
        )
        self.heartbeat = HeartbeatSender(
            own_address,
            key,
            self._broadcast,
            StatusPublisher(entries, datagram_socket),
            self.reporter,
        )
        self.follower = Follower(
            own_address,
            self._socket,
            self.election,
            key.name,
            self.reporter,
            ports.log,
        )
        self.shutdown = GracefulShutdown(
            own_address,
            self._socket,
            self.election,
            self._broadcast,
            self.order_executor,
        )
        self.incidents = GroupIncidents(key.name, metrics, ports.log)
        self.dispatcher = MessageDispatcher(
            key.name,
            self._broadcast,
            self.reporter,
            self.order_executor,
            self.follower,
            self.shutdown,
        )

    def refresh_roster(self) -> Roster:
        """Take over the group's members as entries tell them.

        :returns: the members; those told last while none are told.
        """
        roster = self._context.entries.find_roster(self._key)
        if roster is not None and roster is not self.roster:
            self.roster = roster
            self._broadcast.members = roster.members
            self.reporter.members = roster.members
        return self.roster

    def start_coordinating(self, state: RankState) -> None:
        """Start to coordinate the group.

        :param state: state of the rank beside this agent.
        """
        settings, ports, _, _, metrics = self._context
        own_host = settings.datagrams[0]
        ranks = GroupRanks(
            state.rank,
            own_host,
            self._participant,
            self._socket,
            self._find_engine,
            ports.clock,
            self._broadcast,
        )
        ranks.incidents = self.incidents
        self.dispatcher.leader = GroupLeader(
            ranks,
            self.order_executor.maps,
            self.election.previous_host,
            settings.pace,
            metrics,
            ports,
        )
        self.follower.log_coordinator(own_host)

    def stop_coordinating(self) -> None:
        """Give up the term, if there is one, without a successor."""
        leader = self.dispatcher.leader
        if leader is None:
            return
        leader.leave()
        self.dispatcher.leader = None
        if self.election.is_leading():
            self.election.step_down()

    def record_initial_map(self) -> None:
        """Record the group's initial map once the rank's state implies it."""
        maps = self.order_executor.maps
        initial_map = None if maps.get(0) else self.watcher.build_initial_map()
        if initial_map is not None:
            maps.put(0, initial_map)

    def _find_engine(self, host: str) -> GroupEngine | None:
        address = self.roster.find_backend(host)
        if address is None:
            return None
        return GroupEngine(self._context.ports.reach(address), self._key.name)
