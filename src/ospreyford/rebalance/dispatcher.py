"""Dispatch of received messages to the components of a group's session."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.broadcast import decode_relayed
from ospreyford.rebalance.memberstates import fill_group
from ospreyford.rebalance.messages import (
    CoordinatorHeartbeat,
    FindCoordinator,
    Leave,
    LeaveGranted,
    MemberMessage,
    OrderRequest,
    OrderResponse,
    PartialLoad,
    RankReport,
    RelayedMessage,
)

if TYPE_CHECKING:
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.follower import Follower
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.orderexecutor import OrderExecutor
    from ospreyford.rebalance.reporter import Reporter
    from ospreyford.rebalance.shutdown import GracefulShutdown


@dataclass
class MessageDispatcher:
    """Dispatches each message of a group's member to its handler.

    :param group: the group's name.
    :param broadcast: forwards broadcast messages.
    :param reporter: aggregates the loads of other ranks.
    :param order_executor: carries out orders.
    :param follower: follows the coordinator.
    :param shutdown: ends this agent's part in the group.
    :param leader: the group's leader, once this agent has coordinated.
    """

    group: str
    broadcast: TreeBroadcast
    reporter: Reporter
    order_executor: OrderExecutor
    follower: Follower
    shutdown: GracefulShutdown
    leader: GroupLeader | None = None

    async def dispatch(self, message: MemberMessage, address: Address) -> None:
        """Dispatch a message.

        :param message: the message.
        :param address: address of its original sender.
        """
        match fill_group(message, self.group):
            case RankReport() as report:
                self._handle_report(report, address)
            case PartialLoad() as load:
                self.reporter.sums.record(address[0], load)
            case OrderRequest() as request:
                await self.order_executor.handle_request(request, address)
            case OrderResponse() as response if self.leader is not None:
                order_client = self.leader.ranks.order_client
                await order_client.handle_response(response, address[0])
            case RelayedMessage() as relayed:
                await self._handle_relayed(relayed)
            case _:
                await self._dispatch_coordination(message, address)

    async def _dispatch_coordination(
        self, message: MemberMessage, address: Address
    ) -> None:
        match message:
            case CoordinatorHeartbeat():
                self.follower.handle_heartbeat(message, address)
            case FindCoordinator():
                await self.follower.answer_query(address)
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
        # Large messages are paced and must not block receiving.
        await curio.spawn(self.broadcast.forward, relayed, daemon=True)
        await self.dispatch(message, relayed.origin)
