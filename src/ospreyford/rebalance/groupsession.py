"""An agent's part in one group: its periodic tasks and its end."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.observability.supervision import keep_running
from ospreyford.rebalance.election import HEARTBEAT_INTERVAL_SECONDS
from ospreyford.rebalance.memberstates import fill_group
from ospreyford.rebalance.messages import MemberMessage, RankReport
from ospreyford.rebalance.sessioncomponents import SessionComponents
from ospreyford.rebalance.shutdown import POLL_SECONDS

if TYPE_CHECKING:
    from ospreyford.rebalance.agentcontext import AgentContext
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.groupkey import GroupKey
    from ospreyford.rebalance.leader import GroupLeader

#: Time for which a coordinator that leaves waits until its group is quiet.
LEAVE_SECONDS = 0.8
#: Further time after which its last change is given up.
LAST_CHANGE_SECONDS = 3.0


class GroupSession:
    """Takes part in one group, and coordinates it if elected.

    :param key: the group.
    :param context: what all sessions of the agent share.
    """

    def __init__(self, key: GroupKey, context: AgentContext) -> None:
        self.key = key
        self.tag = key.compute_tag()
        self._context = context
        self._parts = SessionComponents(key, context)
        self._tasks: list[curio.Task] = []
        self._is_leaving = False
        #: Kept while the rank does not respond: it may come back with another
        #: number, in a group of another size.
        self._last_state: RankState | None = None

    async def start(self) -> None:
        """Start the periodic tasks."""
        for task in (
            self._send_reports,
            self._send_heartbeats,
            self._coordinate,
        ):
            self._tasks.append(
                await curio.spawn(
                    keep_running, task, self._context.ports.log, daemon=True
                )
            )

    async def handle_message(
        self, message: MemberMessage, address: Address
    ) -> None:
        """Handle a message of another member.

        :param message: the message.
        :param address: the sender's address.
        """
        await self._parts.dispatcher.dispatch(message, address)

    async def update(self, state: RankState) -> None:
        """Record a state of the rank.

        :param state: its state, just read, of this group.
        """
        was_lost = self._parts.watcher.state is None
        before = self._last_state
        self._last_state = state
        if before is not None and before.size != state.size:
            # The initial map of each size is version 0.
            self._parts.order_executor.maps.clear()
        if await self._parts.watcher.update(state):
            self._parts.record_initial_map()
            await self._send_report()
        if before is not None and before.rank != state.rank:
            # A term is that of one rank; its token bears the rank's number.
            self._parts.stop_coordinating()
        leader = self._parts.dispatcher.leader
        if leader is None:
            return
        leader.record_state(state)
        if was_lost or before is None or before.is_open != state.is_open:
            # Entries queue requests until the group opens.
            await self._send_heartbeat()

    def record_loss(self) -> None:
        """Record that the rank does not respond any more."""
        self._parts.watcher.state = None

    async def leave(self) -> None:
        """Leave the group, since the rank belongs to it no more.

        A running change ends by itself; its messages are still to be handled.
        """
        self._is_leaving = True
        began = time.monotonic()
        leader = self._parts.dispatcher.leader
        try:
            await self._parts.shutdown.leave(
                leader,
                began + LEAVE_SECONDS,
                self._parts.reporter.compute_interval(),
            )
            await _wait_for_change(
                leader, began + LEAVE_SECONDS + LAST_CHANGE_SECONDS
            )
        finally:
            for task in self._tasks:
                await task.cancel()

    async def shut_down(self, deadline: float) -> None:
        """Prepare for the end of the process.

        :param deadline: latest return, in seconds on the monotonic clock.
        """
        # Release held passes and answer orders, so that no rank is blocked.
        await self._parts.shutdown.run(
            self._parts.dispatcher.leader,
            deadline,
            self._parts.reporter.compute_interval(),
        )

    async def _send_reports(self) -> None:
        while True:
            await curio.sleep(self._parts.reporter.compute_interval())
            self._parts.record_initial_map()
            await self._send_report()

    async def _send_report(self) -> None:
        address = self._parts.election.leader
        is_over = self._is_leaving or self._parts.shutdown.may_end
        if address is None or is_over:
            return
        if address != self._context.settings.datagrams:
            await self._parts.reporter.send_report(address)
            return
        report = self._parts.reporter.build_report(address)
        leader = self._parts.dispatcher.leader
        if report is not None and leader is not None:
            own = fill_group(report, self.key.name)
            if isinstance(own, RankReport):
                leader.view.record_report(own, address[0])

    async def _send_heartbeats(self) -> None:
        while True:
            await curio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            state = self._parts.watcher.state
            roster = self._parts.refresh_roster()
            if state is None or not roster.members:
                continue
            if not self._is_leaving:
                await self._seek_coordinator(state)
            await self._send_heartbeat()

    async def _seek_coordinator(self, state: RankState) -> None:
        election = self._parts.election
        roster = self._parts.roster
        election.record_members(
            roster.members, is_complete=len(roster.members) >= state.size
        )
        if election.campaign(
            roster.members,
            state.rank,
            unassigned=roster.unassigned,
            size=state.size,
        ):
            self._parts.start_coordinating(state)
        elif not election.has_recent_heartbeat():
            await self._parts.follower.query_coordinator(roster.members)

    async def _send_heartbeat(self) -> None:
        state = self._parts.watcher.state
        token = self._parts.election.token
        leader = self._parts.dispatcher.leader
        if state is None or token is None or leader is None:
            return
        await self._parts.heartbeat.send(token, leader)
        if not self._is_leaving:
            await self._parts.heartbeat.publish(
                state, token, leader, self._parts.roster
            )

    async def _coordinate(self) -> None:
        while True:
            await curio.sleep(self._context.settings.pace.poll)
            token = self._parts.election.token
            leader = self._parts.dispatcher.leader
            roster = self._parts.roster
            if token is None or leader is None or self._is_leaving:
                continue
            if roster.engine is None:
                continue
            await leader.view.probe_silent_ranks(
                roster.members, roster.unassigned
            )
            if not await leader.run_once(token, roster.engine, roster.max_gap):
                self._parts.incidents.record_fenced_term(token)
                self._parts.election.step_down()


async def _wait_for_change(leader: GroupLeader | None, latest: float) -> None:
    """Wait until no change is under way, or until ``latest``."""
    while leader is not None and leader.is_changing():
        if time.monotonic() >= latest:
            return
        await curio.sleep(POLL_SECONDS)
