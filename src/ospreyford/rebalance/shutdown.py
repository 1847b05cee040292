"""Graceful shutdown of an agent."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.messages import Leave, LeaveGranted

if TYPE_CHECKING:
    from ospreyford.rebalance.broadcast import TreeBroadcast
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.election import Election
    from ospreyford.rebalance.groupsocket import GroupSocket
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.orderexecutor import OrderExecutor

POLL_SECONDS = 0.03
ANNOUNCEMENT_COUNT = 3
#: Quiet period before a coordinator exits, in seconds and in report intervals.
MIN_QUIESCENT_SECONDS = 0.2
QUIESCENT_REPORT_COUNT = 2


class GracefulShutdown:
    """Completes running orders and hands over coordination.

    :param own_address: this agent's address.
    :param datagram_socket: sends messages to the group's agents.
    :param election: the election of the coordinator.
    :param broadcast: knows the other agents.
    :param order_executor: the orders running at this agent's rank.

    ``may_end`` is set once no coordinator depends on this agent.
    """

    def __init__(
        self,
        own_address: Address,
        datagram_socket: GroupSocket,
        election: Election,
        broadcast: TreeBroadcast,
        order_executor: OrderExecutor,
    ) -> None:
        self.may_end = False
        self._own_address = own_address
        self._datagram_socket = datagram_socket
        self._election = election
        self._broadcast = broadcast
        self._order_executor = order_executor

    async def run(
        self, leader: GroupLeader | None, deadline: float, report_seconds: float
    ) -> None:
        """Wait until this agent can exit without disrupting its group.

        :param leader: the group's leader, if this agent has coordinated.
        :param deadline: latest return, in seconds on the monotonic clock.
        :param report_seconds: interval between two reports of a rank.
        """
        was_leading = await self._hand_over(leader, deadline, report_seconds)
        if not was_leading:
            await self._request_leave(deadline)
        await self._wait_for_orders(deadline)

    async def leave(
        self, leader: GroupLeader | None, deadline: float, report_seconds: float
    ) -> None:
        """Leave a group that the rank beside this agent belongs to no more.

        Its coordinator needs no orders answered here, so it isn't asked.

        :param leader: the group's leader, if this agent has coordinated.
        :param deadline: latest return, in seconds on the monotonic clock.
        :param report_seconds: interval between two reports of a rank.
        """
        self.may_end = True
        await self._hand_over(leader, deadline, report_seconds)
        await self._wait_for_orders(deadline)

    async def handle_leave(
        self, leave: Leave, address: Address, leader: GroupLeader | None
    ) -> None:
        """Handle the shutdown of another agent.

        :param leave: the message.
        :param address: the other agent's address.
        :param leader: the group's leader, if this agent has coordinated.
        """
        token = self._election.token
        if token is None or leader is None:
            self._election.handle_leave(leave.token, address)
        elif leader.grant_leave():
            await self._datagram_socket.send(LeaveGranted(token), address)

    def handle_leave_granted(self, grant: LeaveGranted) -> None:
        """Handle the coordinator's permission to exit.

        :param grant: the message.
        """
        # Ignore grants to an earlier process or from a replaced coordinator.
        is_requested = self._election.is_withdrawn
        if is_requested and grant.token >= self._election.highest_token:
            self.may_end = True

    async def _hand_over(
        self, leader: GroupLeader | None, deadline: float, report_seconds: float
    ) -> bool:
        """Give up the term, if there is one, once the group is quiet."""
        # A coordinator replaced during shutdown must not stand again.
        self._election.withdraw()
        if leader is not None and self._election.is_leading():
            leader.leave()
            await self._wait_for_quiescence(
                leader,
                deadline,
                max(
                    MIN_QUIESCENT_SECONDS,
                    QUIESCENT_REPORT_COUNT * report_seconds,
                ),
            )
        if not self._election.is_leading():
            return False
        self._election.resign()
        self.may_end = True
        await self._announce_leave(Leave(self._election.highest_token))
        return True

    async def _wait_for_orders(self, deadline: float) -> None:
        while self._order_executor.is_busy() and time.monotonic() < deadline:
            await curio.sleep(POLL_SECONDS)

    async def _announce_leave(self, leave: Leave) -> None:
        for _ in range(ANNOUNCEMENT_COUNT):
            for address in self._broadcast.members:
                if address != self._own_address:
                    await self._datagram_socket.send(leave, address)
            await curio.sleep(POLL_SECONDS)

    async def _request_leave(self, deadline: float) -> None:
        # Without a coordinator there are no orders to wait for.
        while time.monotonic() < deadline and not self.may_end:
            address = self._election.leader
            if address is None or self._election.is_vacant:
                return
            await self._datagram_socket.send(
                Leave(self._election.highest_token), address
            )
            await curio.sleep(POLL_SECONDS)

    async def _wait_for_quiescence(
        self, leader: GroupLeader, deadline: float, quiescent_seconds: float
    ) -> None:
        # Reports lag, so the group must appear quiescent for some time.
        now = time.monotonic()
        quiescent_since = now
        while now < min(deadline, quiescent_since + quiescent_seconds):
            await curio.sleep(POLL_SECONDS)
            now = time.monotonic()
            # A replaced coordinator receives no more reports.
            if not self._election.is_leading():
                return
            if leader.is_busy():
                quiescent_since = now
