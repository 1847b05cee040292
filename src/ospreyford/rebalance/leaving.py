"""The planned stop of an agent, from the signal to the end of its process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.messages import Leave, LeaveGranted

if TYPE_CHECKING:
    from ospreyford.rebalance.audience import Audience
    from ospreyford.rebalance.election import Election
    from ospreyford.rebalance.leader import GroupLeader
    from ospreyford.rebalance.orderdesk import OrderDesk
    from ospreyford.rebalance.post import Address, Post

#: Time between two looks of a stopping agent, and two sendings of what it
#: says, in seconds.
POLL_SECONDS = 0.03
#: Sendings of a message that nobody answers.
SENDINGS = 3
#: Time for which a group must look at rest before its coordinator ends, in
#: seconds, and in reports of a rank.
REST_SECONDS = 0.2
REPORTS = 2


class Leaving:
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
        me: Address,
        post: Post,
        election: Election,
        audience: Audience,
        desk: OrderDesk,
    ) -> None:
        self.may_end = False
        self._me = me
        self._post = post
        self._election = election
        self._audience = audience
        self._desk = desk

    async def leave(
        self, leader: GroupLeader | None, until: float, rest: float
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
            await self._wait_for_rest(
                leader, until, max(REST_SECONDS, REPORTS * rest)
            )
        if self._election.is_leading():
            self._election.resign()
            self.may_end = True
            await self._tell_members(Leave(self._election.highest_token))
        else:
            await self._ask_coordinator(until)
        while self._desk.is_busy() and time.monotonic() < until:
            await curio.sleep(POLL_SECONDS)

    async def answer(
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
            await self._post.send(LeaveGranted(token), address)

    def note_grant(self, grant: LeaveGranted) -> None:
        """Take over the coordinator's answer.

        :param grant: the answer.
        """
        # One that was meant for an earlier process at this address, or comes
        # from a coordinator that was replaced, allows nothing.
        is_mine = self._election.is_withdrawn
        if is_mine and grant.token >= self._election.highest_token:
            self.may_end = True

    async def _tell_members(self, leave: Leave) -> None:
        for _ in range(SENDINGS):
            for address in self._audience.members:
                if address != self._me:
                    await self._post.send(leave, address)
            await curio.sleep(POLL_SECONDS)

    async def _ask_coordinator(self, until: float) -> None:
        # Without a coordinator nobody gives orders, nor answers.
        while time.monotonic() < until and not self.may_end:
            address = self._election.leader
            if address is None or self._election.is_vacant:
                return
            await self._post.send(Leave(self._election.highest_token), address)
            await curio.sleep(POLL_SECONDS)

    async def _wait_for_rest(
        self, leader: GroupLeader, until: float, rest: float
    ) -> None:
        # What the others report is some looks old.
        now = time.monotonic()
        rest_since = now
        while now < min(until, rest_since + rest):
            await curio.sleep(POLL_SECONDS)
            now = time.monotonic()
            # Once it is replaced, what it knows of the group is not kept up.
            if not self._election.is_leading():
                return
            if leader.is_busy():
                rest_since = now
