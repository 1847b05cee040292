"""The sessions of an agent: one for the group of its rank."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.decisions import SessionEnded, SessionStarted
from ospreyford.rebalance.groupsession import GroupSession
from ospreyford.rebalance.messages import decode_member
from ospreyford.rebalance.rankpoller import RankPoller
from ospreyford.rebalance.sessiondecisions import select_group
from ospreyford.rebalance.shutdown import POLL_SECONDS

if TYPE_CHECKING:
    from ospreyford.rebalance.agentcontext import AgentContext
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.groupkey import GroupKey
    from ospreyford.rebalance.groupprefix import GroupDatagram


class GroupSessions:
    """Polls the rank, and keeps a session for the group that it reports.

    :param context: what all sessions of the agent share.

    ``state`` is the rank's last state, or ``None`` if it does not respond.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._poller = RankPoller(context.ports.engine, context.ports.log)
        self._current: GroupSession | None = None
        self._leaving: list[GroupSession] = []
        self._is_stopping = False

    @property
    def state(self) -> RankState | None:
        """Return the rank's last state.

        :returns: the state, or ``None`` if the rank does not respond.
        """
        return self._poller.state

    async def poll(self) -> None:
        """Poll the rank once, and replace the session if its group changed."""
        state = await self._poller.poll()
        entries = self._context.entries
        is_changed = state is not None and entries.record_group(state.group)
        await self._select_session(state)
        if is_changed and state is not None:
            # Entries must stop sending requests for the old group.
            await entries.announce_group(state)
        session = self._current
        if session is None:
            return
        if state is not None:
            await session.update(state)
        elif self._poller.state is None:
            session.record_loss()

    async def handle_datagram(
        self, datagram: GroupDatagram, address: Address
    ) -> None:
        """Pass a datagram on to the session of its group, if there is one.

        :param datagram: the datagram of a group's member.
        :param address: the sender's address.
        """
        session = self._find_session(datagram.tag)
        if session is None:
            self._context.metrics.foreign_datagrams.inc()
            return
        message = decode_member(datagram.payload)
        if message is None:
            self._context.datagram_socket.malformed += 1
            return
        await session.handle_message(message, address)

    async def shut_down(self, deadline: float) -> None:
        """Leave the group before the process ends.

        :param deadline: latest return, in seconds on the monotonic clock.
        """
        self._is_stopping = True
        if self._current is not None:
            await self._current.shut_down(deadline)
        while self._leaving and time.monotonic() < deadline:
            await curio.sleep(POLL_SECONDS)

    def _find_session(self, tag: int) -> GroupSession | None:
        sessions = (self._current, *self._leaving)
        for session in sessions:
            if session is not None and session.tag == tag:
                return session
        return None

    async def _select_session(self, state: RankState | None) -> None:
        session = self._current
        current = None if session is None else session.key
        key = select_group(
            current,
            [one.key for one in self._leaving],
            state,
            self._context.entries.service,
        )
        if key == current:
            return
        self._context.metrics.record_group(key)
        if session is not None:
            self._current = None
            self._leaving.append(session)
            await curio.spawn(self._retire, session, daemon=True)
        if key is not None and state is not None and not self._is_stopping:
            await self._start(key, state)

    async def _start(self, key: GroupKey, state: RankState) -> None:
        session = GroupSession(key, self._context)
        self._current = session
        self._context.ports.log.log_change(
            SessionStarted(key.service, key.name, state.rank, state.epoch)
        )
        await session.start()

    async def _retire(self, session: GroupSession) -> None:
        try:
            await session.leave()
        finally:
            self._leaving.remove(session)
            self._context.ports.log.log_change(
                SessionEnded(session.key.service, session.key.name)
            )
