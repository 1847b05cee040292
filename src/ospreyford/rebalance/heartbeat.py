"""What a coordinator says, ten times a second, to agents and entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.messages import Lead
from ospreyford.rebalance.news import GroupNews
from ospreyford.rebalance.rankloads import list_loads

if TYPE_CHECKING:
    from ospreyford.rebalance.audience import Audience
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.post import Address
    from ospreyford.rebalance.relays import Relays
    from ospreyford.rebalance.reporter import Reporter


class Heartbeat:
    """Tells the agents that their coordinator lives, and the entries its news.

    :param me: this agent's address.
    :param relays: sends a message to all agents.
    :param audience: tells the entries.
    :param reporter: reports the load of the rank beside this agent.
    """

    def __init__(
        self,
        me: Address,
        relays: Relays,
        audience: Audience,
        reporter: Reporter,
    ) -> None:
        self._me = me
        self._relays = relays
        self._audience = audience
        self._reporter = reporter
        self._beats = 0

    async def beat(
        self, state: RankState, token: int, leader: GroupLeader
    ) -> None:
        """Send a heartbeat and the group's news.

        :param state: of the rank beside this agent.
        :param token: the coordinator's fencing token.
        :param leader: of the group.
        """
        turn = leader.select_turn()
        self._reporter.sums.follow(turn)
        # Each one through another tree: a lost agent holds back single ones.
        self._beats += 1
        await self._relays.spread(
            Lead(state.group, token, self._me, turn), self._beats
        )
        states = leader.ranks.read_states().values()
        news = GroupNews(
            service=self._audience.service,
            token=token,
            is_open=state.is_open,
            pass_seconds=leader.pass_timer.compute_mean_seconds(),
            epoch=state.epoch,
            running=sum(one.active for one in states),
            queued=sum(one.queued for one in states),
            entries=0,
        )
        details = self._audience.make_details(list_loads(leader.ranks))
        await self._audience.tell_all(news, details)
