"""Which part of an agent takes a message."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.messages import (
    Ask,
    Counts,
    FindLead,
    Lead,
    Leave,
    LeaveGranted,
    LoadPart,
    Message,
    Passed,
    Tell,
)
from ospreyford.rebalance.news import Hello
from ospreyford.rebalance.relays import unpack

if TYPE_CHECKING:
    from ospreyford.rebalance.audience import Audience
    from ospreyford.rebalance.follower import Follower
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.leaving import Leaving
    from ospreyford.rebalance.orderdesk import OrderDesk
    from ospreyford.rebalance.post import Address
    from ospreyford.rebalance.relays import Relays
    from ospreyford.rebalance.reporter import Reporter
    from ospreyford.rebalance.watcher import RankWatcher


@dataclass
class Inbox:
    """Hands each message that arrives to the part that it is for.

    :param relays: passes messages on.
    :param reporter: adds up the loads of other ranks.
    :param desk: carries out orders.
    :param audience: answers entries.
    :param following: knows who coordinates.
    :param leaving: ends this agent.
    :param watcher: looks at the rank beside this agent.
    :param leader: of the group, once this agent has coordinated.
    """

    relays: Relays
    reporter: Reporter
    desk: OrderDesk
    audience: Audience
    following: Follower
    leaving: Leaving
    watcher: RankWatcher
    leader: GroupLeader | None = None

    async def take(self, message: Message, address: Address) -> None:
        """Take a message.

        :param message: the message.
        :param address: of its first sender.
        """
        match message:
            case Counts():
                self._take_counts(message, address)
            case LoadPart():
                self.reporter.sums.note(address[0], message)
            case Ask():
                await self.desk.take(message, address)
            case Tell() if self.leader is not None:
                questions = self.leader.ranks.questions
                await questions.note_answer(message, address[0])
            case Passed():
                await self._take_passed(message)
            case Hello():
                state = self.watcher.state
                await self.audience.greet(message, address, state)
            case _:
                await self._take_leading(message, address)

    async def _take_leading(self, message: Message, address: Address) -> None:
        match message:
            case Lead():
                self.following.handle_heartbeat(message, address)
            case FindLead():
                await self.following.answer_query(message, address)
            case Leave():
                await self.leaving.answer(message, address, self.leader)
            case LeaveGranted():
                self.leaving.note_grant(message)

    def _take_counts(self, counts: Counts, address: Address) -> None:
        if self.leader is not None:
            self.leader.ranks.note_report(counts.state, address)
            self.leader.view.note_counts(counts, address[0])

    async def _take_passed(self, passed: Passed) -> None:
        inner = unpack(passed)
        if inner is None:
            return
        # Large messages go at the link's pace; what arrives must not wait.
        await curio.spawn(self.relays.pass_on, passed, daemon=True)
        await self.take(inner, passed.origin)
