"""Agent beside a rank: its periodic tasks and its shutdown."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.observability.events import Draining, Stopped
from ospreyford.observability.exposition import FigureServer
from ospreyford.observability.supervision import keep_running
from ospreyford.rebalance.components import AgentComponents
from ospreyford.rebalance.election import HEARTBEAT_INTERVAL_SECONDS

if TYPE_CHECKING:
    from ospreyford.console.stopping import Stop
    from ospreyford.rebalance.agentports import AgentPorts
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
        self._components = AgentComponents(settings, ports)
        self.datagram_socket = self._components.datagram_socket
        self.metrics = self._components.metrics

    async def run(self, stop: Stop) -> None:
        """Run until a stop is requested.

        :param stop: signals the stop and its grace period.
        """
        log = self._ports.log
        for task in (
            self._receive_datagrams,
            self._poll_rank,
            self._send_reports,
            self._send_heartbeats,
            self._coordinate,
        ):
            await curio.spawn(keep_running, task, log, daemon=True)
        await FigureServer(self.metrics.render).start(
            self._settings.datagrams[0], self._settings.metrics_port
        )
        await stop.requested.wait()
        log.log_change(Draining('signal', 0))
        # Release held passes and answer orders, so that no rank is blocked.
        deadline = time.monotonic() + LEAVE_GRACE_FRACTION * stop.deadline
        report_seconds = self._components.reporter.compute_interval()
        await self._components.shutdown.run(
            self._components.dispatcher.leader, deadline, report_seconds
        )
        log.log_change(Stopped(0))

    async def _receive_datagrams(self) -> None:
        await self.datagram_socket.receive(self._components.dispatcher.dispatch)

    async def _poll_rank(self) -> None:
        while True:
            before = self._components.watcher.state
            if await self._components.watcher.poll():
                self._components.record_initial_map()
                await self._send_report()
            state = self._components.watcher.state
            if (
                state is not None
                and self._components.dispatcher.leader is not None
            ):
                self._components.dispatcher.leader.record_state(state)
                if before is None or before.is_open != state.is_open:
                    # Entries queue requests until the group opens.
                    await self._send_heartbeat()
            await curio.sleep(self._settings.pace.poll)

    async def _send_reports(self) -> None:
        while True:
            await curio.sleep(self._components.reporter.compute_interval())
            self._components.record_initial_map()
            await self._send_report()

    async def _send_report(self) -> None:
        address = self._components.election.leader
        if address is None or self._components.shutdown.may_end:
            return
        if address != self._settings.datagrams:
            await self._components.reporter.send_report(address)
            return
        report = self._components.reporter.build_report(address)
        leader = self._components.dispatcher.leader
        if report is not None and leader is not None:
            leader.view.record_report(report, address[0])

    async def _send_heartbeats(self) -> None:
        while True:
            await curio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            state = self._components.watcher.state
            members = self._components.entries.members
            if state is None or not members:
                continue
            self._components.set_members(members)
            if self._components.election.campaign(members, state.rank):
                self._components.start_coordinating(state)
            elif not self._components.election.has_recent_heartbeat():
                await self._components.follower.query_coordinator(
                    state.group, members
                )
            await self._send_heartbeat()

    async def _send_heartbeat(self) -> None:
        state = self._components.watcher.state
        token = self._components.election.token
        leader = self._components.dispatcher.leader
        if state is not None and token is not None and leader is not None:
            await self._components.heartbeat.send(state, token, leader)

    async def _coordinate(self) -> None:
        while True:
            await curio.sleep(self._settings.pace.poll)
            token = self._components.election.token
            leader = self._components.dispatcher.leader
            engine = self._components.entries.engine
            if token is None or leader is None or engine is None:
                continue
            entries = self._components.entries
            await leader.view.probe_silent_ranks(entries.members)
            if not await leader.run_once(token, engine, entries.max_gap):
                self._components.election.step_down()
