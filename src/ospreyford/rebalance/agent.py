"""The tasks of an agent beside a rank."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.observability.events import Draining, Stopped
from ospreyford.observability.exposition import FigureServer
from ospreyford.observability.supervision import keep_running
from ospreyford.rebalance.election import HEARTBEAT_INTERVAL_SECONDS
from ospreyford.rebalance.parts import AgentParts

if TYPE_CHECKING:
    from ospreyford.console.stopping import Stop
    from ospreyford.rebalance.agentports import AgentPorts
    from ospreyford.rebalance.settings import AgentSettings

#: Part of the grace after which a stopping agent ends, whatever is under way.
LEAVE_PART = 0.5


class RankAgent:
    """Reads one rank, gives it orders, and coordinates its group if elected.

    :param settings: as read at the start.
    :param outside: what it uses of its surroundings.
    """

    def __init__(self, settings: AgentSettings, outside: AgentPorts) -> None:
        self._settings = settings
        self._outside = outside
        self._parts = AgentParts(settings, outside)
        self.post = self._parts.post
        self.metrics = self._parts.metrics

    async def run(self, stop: Stop) -> None:
        """Work until the process is told to stop.

        :param stop: tells when to stop.
        """
        log = self._outside.log
        for task in (
            self._receive,
            self._look_often,
            self._report_often,
            self._beat_often,
            self._lead_often,
        ):
            await curio.spawn(keep_running, task, log, daemon=True)
        await FigureServer(self.metrics.render).start(
            self._settings.datagrams[0], self._settings.metrics_port
        )
        await stop.requested.wait()
        log.log_change(Draining('signal', 0))
        # Ended at once, a coordinator left a pass held until its successor
        # had waited for silence, and a member an order without an answer.
        until = time.monotonic() + LEAVE_PART * stop.deadline
        pause = self._parts.reporter.tell_pause()
        await self._parts.leaving.leave(self._parts.inbox.leader, until, pause)
        log.log_change(Stopped(0))

    async def _receive(self) -> None:
        await self.post.receive(self._parts.inbox.take)

    async def _look_often(self) -> None:
        while True:
            before = self._parts.watcher.state
            if await self._parts.watcher.poll():
                self._parts.note_first_map()
                await self._report()
            state = self._parts.watcher.state
            if state is not None and self._parts.inbox.leader is not None:
                self._parts.inbox.leader.record_state(state)
                if before is None or before.is_open != state.is_open:
                    # Callers wait at every entry for the group to open.
                    await self._beat()
            await curio.sleep(self._settings.pace.poll)

    async def _report_often(self) -> None:
        while True:
            await curio.sleep(self._parts.reporter.tell_pause())
            self._parts.note_first_map()
            await self._report()

    async def _report(self) -> None:
        address = self._parts.election.leader
        if address is None or self._parts.leaving.may_end:
            return
        if address != self._settings.datagrams:
            await self._parts.reporter.report(address)
            return
        report = self._parts.reporter.make_report(address)
        leader = self._parts.inbox.leader
        if report is not None and leader is not None:
            leader.view.note_counts(report, address[0])

    async def _beat_often(self) -> None:
        while True:
            await curio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            state = self._parts.watcher.state
            members = self._parts.audience.members
            if state is None or not members:
                continue
            self._parts.meet(members)
            if self._parts.election.campaign(members, state.rank):
                self._parts.begin_leading(state)
            elif not self._parts.election.has_recent_heartbeat():
                await self._parts.following.query_coordinator(
                    state.group, members
                )
            await self._beat()

    async def _beat(self) -> None:
        state = self._parts.watcher.state
        token = self._parts.election.token
        leader = self._parts.inbox.leader
        if state is not None and token is not None and leader is not None:
            await self._parts.heartbeat.beat(state, token, leader)

    async def _lead_often(self) -> None:
        while True:
            await curio.sleep(self._settings.pace.poll)
            token = self._parts.election.token
            leader = self._parts.inbox.leader
            engine = self._parts.audience.engine
            if token is None or leader is None or engine is None:
                continue
            audience = self._parts.audience
            await leader.view.look_past_agents(audience.members)
            if not await leader.run_once(token, engine, audience.max_gap):
                self._parts.election.step_down()
