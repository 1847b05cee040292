"""Which part of an agent takes a message."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.broadcast import decode_relayed
from ospreyford.rebalance.entrymessages import Hello
from ospreyford.rebalance.messages import (
    CoordinatorHeartbeat,
    FindCoordinator,
    Leave,
    LeaveGranted,
    Message,
    OrderRequest,
    OrderResponse,
    PartialLoad,
    RankReport,
    RelayedMessage,
)

if TYPE_CHECKING:
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.entryregistry import Audience
    from ospreyford.rebalance.following import Following
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.orderexecutor import OrderDesk
    from ospreyford.rebalance.reporter import Reporter
    from ospreyford.rebalance.shutdown import Leaving
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

    relays: TreeBroadcast
    reporter: Reporter
    desk: OrderDesk
    audience: Audience
    following: Following
    leaving: Leaving
    watcher: RankWatcher
    leader: GroupLeader | None = None

    async def take(self, message: Message, address: Address) -> None:
        """Take a message.

        :param message: the message.
        :param address: of its first sender.
        """
        match message:
            case RankReport():
                self._take_counts(message, address)
            case PartialLoad():
                self.reporter.sums.record(address[0], message)
            case OrderRequest():
                await self.desk.take(message, address)
            case OrderResponse() if self.leader is not None:
                questions = self.leader.ranks.questions
                await questions.note_answer(message, address[0])
            case RelayedMessage():
                await self._take_passed(message)
            case Hello():
                state = self.watcher.state
                await self.audience.greet(message, address, state)
            case _:
                await self._take_leading(message, address)

    async def _take_leading(self, message: Message, address: Address) -> None:
        match message:
            case CoordinatorHeartbeat():
                self.following.take(message, address)
            case FindCoordinator():
                await self.following.tell(message, address)
            case Leave():
                await self.leaving.answer(message, address, self.leader)
            case LeaveGranted():
                self.leaving.note_grant(message)

    def _take_counts(self, counts: RankReport, address: Address) -> None:
        if self.leader is not None:
            self.leader.ranks.note_report(counts.state, address)
            self.leader.view.note_counts(counts, address[0])

    async def _take_passed(self, passed: RelayedMessage) -> None:
        inner = decode_relayed(passed)
        if inner is None:
            return
        # Large messages go at the link's pace; what arrives must not wait.
        await curio.spawn(self.relays.forward, passed, daemon=True)
        await self.take(inner, passed.origin)
