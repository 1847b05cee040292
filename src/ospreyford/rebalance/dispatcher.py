"""Dispatch of received messages to an agent's components."""

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
from ospreyford.sendgrants.messages import SendingRequest
from ospreyford.suspects.messages import SuspectReport

if TYPE_CHECKING:
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.entryregistry import EntryRegistry
    from ospreyford.rebalance.follower import Follower
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.orderexecutor import OrderExecutor
    from ospreyford.rebalance.reporter import Reporter
    from ospreyford.rebalance.shutdown import GracefulShutdown
    from ospreyford.rebalance.suspectrelay import SuspectRelay
    from ospreyford.rebalance.watcher import RankWatcher


@dataclass
class MessageDispatcher:
    """Dispatches each received message to its handler.

    :param broadcast: forwards broadcast messages.
    :param reporter: aggregates the loads of other ranks.
    :param order_executor: carries out orders.
    :param entries: replies to entries.
    :param follower: follows the coordinator.
    :param shutdown: shuts this agent down.
    :param watcher: polls the rank beside this agent.
    :param suspect_relay: relays suspected requests between entries.
    :param leader: the group's leader, once this agent has coordinated.
    """

    broadcast: TreeBroadcast
    reporter: Reporter
    order_executor: OrderExecutor
    entries: EntryRegistry
    follower: Follower
    shutdown: GracefulShutdown
    watcher: RankWatcher
    suspect_relay: SuspectRelay
    leader: GroupLeader | None = None

    async def dispatch(self, message: Message, address: Address) -> None:
        """Dispatch a message.

        :param message: the message.
        :param address: address of its original sender.
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
                await self.suspect_relay.handle_hello(message, address)
            case _:
                await self._dispatch_coordination(message, address)

    async def _dispatch_coordination(
        self, message: Message, address: Address
    ) -> None:
        match message:
            case CoordinatorHeartbeat():
                self.follower.handle_heartbeat(message, address)
            case FindCoordinator():
                await self.follower.answer_query(message, address)
            case Leave():
                await self.shutdown.handle_leave(message, address, self.leader)
            case LeaveGranted():
                self.shutdown.handle_leave_granted(message)
            case SuspectReport():
                await self.suspect_relay.handle_report(message, address)
            case SendingRequest():
                await self.entries.rates.handle_request(message, address)

    def _handle_report(self, report: RankReport, address: Address) -> None:
        if self.leader is not None:
            self.leader.ranks.record_report(report.state, address)
            self.leader.view.record_report(report, address[0])

    async def _handle_relayed(self, relayed: RelayedMessage) -> None:
        message = decode_relayed(relayed)
        if message is None:
            return
        # Large messages are paced and must not block receiving.
        await curio.spawn(self.broadcast.forward, relayed, daemon=True)
        await self.dispatch(message, relayed.origin)
