"""The parts of an agent, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.audience import Audience
from ospreyford.rebalance.election import Election
from ospreyford.rebalance.follower import Follower
from ospreyford.rebalance.heartbeat import Heartbeat
from ospreyford.rebalance.inbox import Inbox
from ospreyford.rebalance.leader import GroupLeader
from ospreyford.rebalance.leaving import Leaving
from ospreyford.rebalance.metrics import AgentMetrics
from ospreyford.rebalance.orderdesk import OrderDesk
from ospreyford.rebalance.participant import RankParticipant
from ospreyford.rebalance.post import Post
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.relays import Relays
from ospreyford.rebalance.reporter import Reporter
from ospreyford.rebalance.watcher import RankWatcher

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.rebalance.agentports import AgentPorts
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.ports import EnginePort
    from ospreyford.rebalance.post import Address
    from ospreyford.rebalance.settings import AgentSettings


class AgentParts:
    """What an agent consists of.

    :param settings: as read at the start.
    :param outside: what it uses of its surroundings.
    """

    def __init__(self, settings: AgentSettings, outside: AgentPorts) -> None:
        me = settings.datagrams
        self._settings = settings
        self._outside = outside
        self.metrics = AgentMetrics()
        self.post = Post(me, settings.link_bytes)
        self._relays = Relays(me, self.post)
        self._member = RankParticipant(outside.engine, outside.clock)
        self.watcher = RankWatcher(outside.engine, outside.log, outside.clock)
        self.election = Election(me, outside.clock)
        self.audience = Audience(settings, self.post)
        self.desk = OrderDesk(
            self._member, self.post, self.metrics, outside.log
        )
        self.reporter = Reporter(
            settings, self.post, self.watcher, outside.clock
        )
        self.heartbeat = Heartbeat(
            me, self._relays, self.audience, self.reporter
        )
        self.following = Follower(
            me,
            self.post,
            self.election,
            self.watcher,
            self.reporter,
            outside.log,
        )
        self.leaving = Leaving(
            me, self.post, self.election, self.audience, self.desk
        )
        self.inbox = Inbox(
            self._relays,
            self.reporter,
            self.desk,
            self.audience,
            self.following,
            self.leaving,
            self.watcher,
        )

    def meet(self, members: Sequence[Address]) -> None:
        """Take over the list of the group's agents.

        :param members: their addresses, sorted.
        """
        self._relays.members = members
        self.reporter.members = members
        self.election.record_members(members)

    def begin_leading(self, state: RankState) -> None:
        """Begin to coordinate the group.

        :param state: of the rank beside this agent.
        """
        outside = self._outside
        me = self._settings.datagrams
        ranks = GroupRanks(
            state.rank,
            me[0],
            self._member,
            self.post,
            self._reach,
            outside.clock,
            self._relays,
        )
        self.inbox.leader = GroupLeader(
            ranks,
            self.desk.maps,
            self.election.previous_host,
            self._settings.pace,
            self.metrics,
            outside,
        )
        self.following.log_coordinator(state.group, me[0])

    def note_first_map(self) -> None:
        """Work out the first map of the group once its rank shows enough."""
        maps = self.desk.maps
        first = None if maps.get(0) else self.watcher.build_initial_map()
        if first is not None:
            maps.put(0, first)

    def _reach(self, host: str) -> EnginePort | None:
        address = self.audience.find_backend(host)
        return None if address is None else self._outside.reach(address)
