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
    from ospreyford.rebalance.entryregistry import EntryRegistry
    from ospreyford.rebalance.follower import Follower
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.orderexecutor import OrderExecutor
    from ospreyford.rebalance.reporter import Reporter
    from ospreyford.rebalance.shutdown import GracefulShutdown
    from ospreyford.rebalance.watcher import RankWatcher


@dataclass
class MessageDispatcher:
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

    broadcast: TreeBroadcast
    reporter: Reporter
    order_executor: OrderExecutor
    entries: EntryRegistry
    following: Follower
    shutdown: GracefulShutdown
    watcher: RankWatcher
    leader: GroupLeader | None = None

    async def dispatch(self, message: Message, address: Address) -> None:
        """Take a message.

        :param message: the message.
        :param address: of its first sender.
        """
        match message:
            case RankReport():
                self._handle_report(message, address)
            case PartialLoad():
                self.reporter.sums.record(address[0], message)
            case OrderRequest():
                await self.order_executor.handle_request(message, address)
            case OrderResponse() if self.leader is not None:
                order_client = self.leader.ranks.order_client
                await order_client.handle_response(message, address[0])
            case RelayedMessage():
                await self._handle_relayed(message)
            case Hello():
                state = self.watcher.state
                await self.entries.handle_hello(message, address, state)
            case _:
                await self._dispatch_coordination(message, address)

    async def _dispatch_coordination(
        self, message: Message, address: Address
    ) -> None:
        match message:
            case CoordinatorHeartbeat():
                self.following.handle_heartbeat(message, address)
            case FindCoordinator():
                await self.following.answer_query(message, address)
            case Leave():
                await self.shutdown.handle_leave(message, address, self.leader)
            case LeaveGranted():
                self.shutdown.handle_leave_granted(message)

    def _handle_report(self, report: RankReport, address: Address) -> None:
        if self.leader is not None:
            self.leader.ranks.record_report(report.state, address)
            self.leader.view.record_report(report, address[0])

    async def _handle_relayed(self, relayed: RelayedMessage) -> None:
        message = decode_relayed(relayed)
        if message is None:
            return
        # Large messages go at the link's pace; what arrives must not wait.
        await curio.spawn(self.broadcast.forward, relayed, daemon=True)
        await self.dispatch(message, relayed.origin)
