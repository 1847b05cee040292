"""The tasks of an agent beside a rank."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.observability.events import Draining, Stopped
from ospreyford.observability.exposition import FigureServer
from ospreyford.observability.supervision import keep_running
from ospreyford.rebalance.audience import Audience
from ospreyford.rebalance.decisions import CoordinatorChanged
from ospreyford.rebalance.election import BEAT_SECONDS, Election
from ospreyford.rebalance.leader import GroupLeader
from ospreyford.rebalance.leaving import Leaving
from ospreyford.rebalance.member import RankMember
from ospreyford.rebalance.messages import (
    Ask,
    Counts,
    GroupNews,
    Hello,
    Lead,
    Leave,
    LeaveGranted,
    Message,
    Tell,
    encode,
)
from ospreyford.rebalance.metrics import AgentMetrics
from ospreyford.rebalance.orderdesk import OrderDesk
from ospreyford.rebalance.post import Address, Post
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.watcher import RankWatcher

if TYPE_CHECKING:
    from ospreyford.console.stopping import Stop
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.outside import Outside
    from ospreyford.rebalance.ports import EnginePort
    from ospreyford.rebalance.settings import AgentSettings


#: Part of the coordinator's link that the reports of all ranks may take; orders
#: and their answers need the rest. Links of one group's hosts are alike.
REPORT_PART = 0.4
#: Part of the grace after which a stopping agent ends, whatever is under way.
LEAVE_PART = 0.5


class RankAgent:
    """Reads one rank, gives it orders, and coordinates its group if elected.

    :param settings: as read at the start.
    :param outside: what it uses of its surroundings.
    """

    def __init__(self, settings: AgentSettings, outside: Outside) -> None:
        self._settings = settings
        self._outside = outside
        self.post = Post(settings.datagrams, settings.link_bytes)
        self._member = RankMember(outside.engine, outside.clock)
        self.metrics = AgentMetrics()
        self._desk = OrderDesk(
            self._member,
            self.post,
            self.metrics,
            outside.log,
        )
        self._watcher = RankWatcher(outside.engine, outside.log)
        self._audience = Audience(settings, self.post)
        self._election = Election(settings.datagrams, outside.clock)
        self._leader: GroupLeader | None = None
        self._report_bytes = 0
        self._leaving = Leaving(
            settings.datagrams,
            self.post,
            self._election,
            self._audience,
            self._desk,
        )

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
        pause = tell_report_pause(
            self._settings, self._watcher.count_ranks(), self._report_bytes
        )
        await self._leaving.leave(self._leader, until, pause)
        log.log_change(Stopped(0))

    async def _receive(self) -> None:
        await self.post.receive(self._handle_message)

    async def _look_often(self) -> None:
        while True:
            before = self._watcher.state
            if await self._watcher.look():
                await self._report()
            state = self._watcher.state
            if state is not None and self._leader is not None:
                self._leader.note_pass(state)
                if before is None or before.is_open != state.is_open:
                    # Callers wait at every entry for the group to open.
                    await self._beat()
            await curio.sleep(self._settings.pace.poll)

    async def _report_often(self) -> None:
        while True:
            ranks = self._watcher.count_ranks()
            await curio.sleep(
                tell_report_pause(self._settings, ranks, self._report_bytes)
            )
            await self._report()

    async def _report(self) -> None:
        report = self._watcher.make_report()
        address = self._election.leader
        if report is None or address is None or self._leaving.may_end:
            return
        datagram = encode(report)
        self._report_bytes = len(datagram)
        if address != self._settings.datagrams:
            await self.post.send_bytes(datagram, address)
        elif self._leader is not None:
            self._leader.view.note_counts(report)

    async def _beat_often(self) -> None:
        while True:
            await curio.sleep(BEAT_SECONDS)
            state = self._watcher.state
            members = self._audience.members
            if state is None or not members:
                continue
            if self._election.stand(members, state.rank):
                self._begin_leading(state)
            await self._beat()

    async def _beat(self) -> None:
        state = self._watcher.state
        token = self._election.token
        leader = self._leader
        if state is None or token is None or leader is None:
            return
        beat = Lead(state.group, token)
        for address in self._audience.members:
            if address != self._settings.datagrams:
                await self.post.send(beat, address)
        news = GroupNews(
            service=self._audience.service,
            token=token,
            is_open=state.is_open,
            pass_seconds=leader.passes.tell_mean(),
            ranks=leader.ranks.list_loads(),
            epoch=state.epoch,
        )
        await self._audience.tell_all(news)

    def _begin_leading(self, state: RankState) -> None:
        outside = self._outside
        ranks = GroupRanks(
            state.rank,
            self._settings.datagrams[0],
            self._member,
            self.post,
            self._reach,
            outside.clock,
        )
        self._leader = GroupLeader(
            ranks,
            self._desk.maps,
            self._election.lost,
            self._settings.pace,
            self.metrics,
            outside,
        )
        self._log_leader(state.group, self._settings.datagrams[0])

    def _reach(self, host: str) -> EnginePort | None:
        address = self._audience.find_backend(host)
        return None if address is None else self._outside.reach(address)

    async def _lead_often(self) -> None:
        while True:
            await curio.sleep(self._settings.pace.poll)
            token = self._election.token
            leader = self._leader
            engine = self._audience.engine
            if token is None or leader is None or engine is None:
                continue
            await leader.view.look_past_agents(self._audience.members)
            if not await leader.work(token, engine, self._audience.max_gap):
                self._election.step_down()

    async def _handle_message(self, message: Message, address: Address) -> None:
        match message:
            case Counts() if self._leader is not None:
                self._leader.ranks.note_report(message.state, address)
                self._leader.view.note_counts(message)
            case Ask():
                await self._desk.take(message, address)
            case Tell() if self._leader is not None:
                await self._leader.ranks.note_answer(message)
            case Lead():
                self._follow(message, address)
            case Leave():
                await self._leaving.answer(message, address, self._leader)
            case LeaveGranted():
                self._leaving.note_grant(message)
            case Hello():
                await self._audience.greet(
                    message, address, self._watcher.state
                )

    def _follow(self, beat: Lead, address: Address) -> None:
        state = self._watcher.state
        if state is None or state.group != beat.group:
            return
        if self._election.hear(beat.token, address):
            self._log_leader(beat.group, address[0])

    def _log_leader(self, group: str, host: str) -> None:
        self._outside.log.log_change(
            CoordinatorChanged(
                group, host, self._election.highest, int(time.time())
            )
        )


def tell_report_pause(
    settings: AgentSettings, ranks: int, report_bytes: int
) -> float:
    """Tell how long to wait for the next report.

    Load pattern: 72 ranks report to one host over a link of 4 Mbit/s. Reports
    that come faster than it carries them are lost, and with them the orders'
    answers and the heartbeats of the group.

    :param settings: of the agent.
    :param ranks: that report to the same coordinator.
    :param report_bytes: of the last report.
    :returns: seconds.
    """
    round_seconds = ranks * report_bytes / (REPORT_PART * settings.link_bytes)
    return max(settings.pace.report, round_seconds)
