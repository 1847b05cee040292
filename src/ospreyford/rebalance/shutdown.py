"""The planned stop of an agent, from the signal to the end of its process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.messages import Leave, LeaveGranted

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address, DatagramSocket
    from ospreyford.rebalance.election import Election
    from ospreyford.rebalance.entryregistry import EntryRegistry
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.orderexecutor import OrderExecutor

#: Time between two looks of a stopping agent, and two sendings of what it
#: says, in seconds.
POLL_SECONDS = 0.03
#: Sendings of a message that nobody answers.
ANNOUNCEMENT_COUNT = 3
#: Time for which a group must look at rest before its coordinator ends, in
#: seconds, and in reports of a rank.
MIN_QUIESCENT_SECONDS = 0.2
QUIESCENT_REPORT_COUNT = 2


class GracefulShutdown:
    """Ends what is under way and hands the group over before an agent ends.

    :param me: this agent's address.
    :param post: the process's datagrams.
    :param election: who coordinates.
    :param audience: knows the other agents.
    :param desk: orders under way at the rank beside this agent.

    ``may_end`` tells that no coordinator counts on this agent any more.
    """

    def __init__(
        self,
        own_address: Address,
        datagram_socket: DatagramSocket,
        election: Election,
        entries: EntryRegistry,
        order_executor: OrderExecutor,
    ) -> None:
        self.may_end = False
        self._own_address = own_address
        self._datagram_socket = datagram_socket
        self._election = election
        self._entries = entries
        self._order_executor = order_executor

    async def run(
        self, leader: GroupLeader | None, deadline: float, report_seconds: float
    ) -> None:
        """Return when this agent can end without leaving anything behind.

        :param leader: of the group, if this agent has ever coordinated.
        :param until: ends then whatever is under way; seconds on the
            monotonic clock.
        :param rest: time between two reports of a rank, in seconds.
        """
        # From now on: one that is replaced while it waits must not stand anew.
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
        if self._election.is_leading():
            self._election.resign()
            self.may_end = True
            await self._announce_leave(Leave(self._election.highest_token))
        else:
            await self._request_leave(deadline)
        while self._order_executor.is_busy() and time.monotonic() < deadline:
            await curio.sleep(POLL_SECONDS)

    async def handle_leave(
        self, leave: Leave, address: Address, leader: GroupLeader | None
    ) -> None:
        """Answer another agent that is about to end.

        :param leave: what it says.
        :param address: its address.
        :param leader: of the group, if this agent has ever coordinated.
        """
        token = self._election.token
        if token is None or leader is None:
            self._election.handle_leave(leave.token, address)
        elif leader.grant_leave():
            await self._datagram_socket.send(LeaveGranted(token), address)

    def handle_leave_granted(self, grant: LeaveGranted) -> None:
        """Take over the coordinator's answer.

        :param grant: the answer.
        """
        # One that was meant for an earlier process at this address, or comes
        # from a coordinator that was replaced, allows nothing.
        is_requested = self._election.is_withdrawn
        if is_requested and grant.token >= self._election.highest_token:
            self.may_end = True

    async def _announce_leave(self, leave: Leave) -> None:
        for _ in range(ANNOUNCEMENT_COUNT):
            for address in self._entries.members:
                if address != self._own_address:
                    await self._datagram_socket.send(leave, address)
            await curio.sleep(POLL_SECONDS)

    async def _request_leave(self, deadline: float) -> None:
        # Without a coordinator nobody gives orders, nor answers.
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
        # What the others report is some looks old.
        now = time.monotonic()
        quiescent_since = now
        while now < min(deadline, quiescent_since + quiescent_seconds):
            await curio.sleep(POLL_SECONDS)
            now = time.monotonic()
            # Once it is replaced, what it knows of the group is not kept up.
            if not self._election.is_leading():
                return
            if leader.is_busy():
                quiescent_since = now
