"""Agent beside a rank: what it does for all groups, and its shutdown."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.observability.events import Draining, Stopped
from ospreyford.observability.exposition import FigureServer
from ospreyford.observability.loopwatch import watch_loop
from ospreyford.observability.supervision import keep_running
from ospreyford.rebalance.agentcontext import AgentContext
from ospreyford.rebalance.datagrams import DatagramSocket
from ospreyford.rebalance.entrymessages import Hello
from ospreyford.rebalance.entryregistry import EntryRegistry
from ospreyford.rebalance.groupsessions import GroupSessions
from ospreyford.rebalance.metrics import AgentMetrics
from ospreyford.rebalance.suspectrelay import SuspectRelay
from ospreyford.sendgrants.messages import SendingRequest
from ospreyford.suspects.messages import SuspectReport

if TYPE_CHECKING:
    from ospreyford.console.stopping import Stop
    from ospreyford.rebalance.agentports import AgentPorts
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.messages import EntryMessage
    from ospreyford.rebalance.settings import AgentSettings

#: Fraction of the grace period that may be spent on leaving the group.
LEAVE_GRACE_FRACTION = 0.5


class RankAgent:
    """Polls one rank, gives it orders, and coordinates its group if elected.

    :param settings: the agent's settings.
    :param ports: the agent's external dependencies.
    """

    def __init__(self, settings: AgentSettings, ports: AgentPorts) -> None:
        self._settings = settings
        self._ports = ports
        self.datagram_socket = DatagramSocket(
            settings.datagrams, settings.link_bytes
        )
        self.metrics = AgentMetrics()
        self._entries = EntryRegistry(settings, self.datagram_socket)
        self._suspect_relay = SuspectRelay(self._entries, self.datagram_socket)
        self._sessions = GroupSessions(
            AgentContext(
                settings,
                ports,
                self.datagram_socket,
                self._entries,
                self.metrics,
            )
        )

    async def run(self, stop: Stop) -> None:
        """Run until a stop is requested.

        :param stop: signals the stop and its grace period.
        """
        log = self._ports.log
        watch = watch_loop(self.metrics.registry, log)
        for task in (self._receive_datagrams, self._poll_rank, watch.run):
            await curio.spawn(keep_running, task, log, daemon=True)
        await FigureServer(self.metrics.render).start(
            self._settings.datagrams[0], self._settings.metrics_port
        )
        await stop.requested.wait()
        log.log_change(Draining('signal', 0))
        await self._sessions.shut_down(
            time.monotonic() + LEAVE_GRACE_FRACTION * stop.deadline
        )
        log.log_change(Stopped(0))

    async def _receive_datagrams(self) -> None:
        await self.datagram_socket.receive(
            self._handle_entry_message, self._sessions.handle_datagram
        )

    async def _handle_entry_message(
        self, message: EntryMessage, address: Address
    ) -> None:
        match message:
            case Hello():
                state = self._sessions.state
                await self._entries.handle_hello(message, address, state)
                await self._suspect_relay.handle_hello(message, address)
            case SuspectReport():
                await self._suspect_relay.handle_report(message, address)
            case SendingRequest():
                await self._entries.rates.handle_request(message, address)

    async def _poll_rank(self) -> None:
        while True:
            await self._sessions.poll()
            await curio.sleep(self._settings.pace.poll)
