"""The tasks of an agent beside a rank."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import curio

from ospreyford.observability.events import Draining, Stopped
from ospreyford.rebalance.decisions import (
    CoordinatorChanged,
    OrderCarriedOut,
    RankChanged,
)
from ospreyford.rebalance.election import BEAT_SECONDS, Election
from ospreyford.rebalance.frames import pack_outcome, unpack_order
from ospreyford.rebalance.group import Rejected, Term
from ospreyford.rebalance.leader import GroupLeader
from ospreyford.rebalance.loads import ShareTracker
from ospreyford.rebalance.member import RankMember
from ospreyford.rebalance.messages import (
    Ask,
    Counts,
    GroupNews,
    Hello,
    Lead,
    Load,
    Message,
    Tell,
    encode,
)
from ospreyford.rebalance.post import Post
from ospreyford.rebalance.ranks import GroupRanks

if TYPE_CHECKING:
    from ospreyford.console.stopping import Stop
    from ospreyford.direct.catalog import Engine
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.group import RankExperts, RankState
    from ospreyford.rebalance.ports import EnginePort
    from ospreyford.rebalance.post import Address
    from ospreyford.rebalance.settings import AgentSettings

MILLISECONDS = 1000
#: Answers kept for questions that are repeated.
ANSWERS_KEPT = 64
#: Entries that have been silent for so long are not counted, in seconds.
ENTRY_SECONDS = 3.0
#: Looks in a row without an answer after which the rank counts as gone.
LOST_LOOKS = 4


class Outside(NamedTuple):
    """What an agent uses of its surroundings.

    :param engine: the rank beside it.
    :param reach: reaches another rank by IP number and port.
    :param log: where decisions go.
    :param clock: source of time.
    """

    engine: EnginePort
    reach: Callable[[tuple[str, int]], EnginePort]
    log: ChangeLog
    clock: Clock


class RankAgent:
    """Reads one rank, gives it orders, and coordinates its group if elected.

    :param settings: as read at the start.
    :param outside: what it uses of its surroundings.
    """

    def __init__(self, settings: AgentSettings, outside: Outside) -> None:
        self._settings = settings
        self._outside = outside
        self._post = Post(settings.datagrams)
        self._member = RankMember(outside.engine, outside.clock)
        self._election = Election(settings.datagrams, outside.clock)
        self._shares = ShareTracker()
        self._state: RankState | None = None
        self._experts: RankExperts = ()
        self._experts_of: tuple[int, int] | None = None
        self._missed = 0
        self._leader: GroupLeader | None = None
        self._ranks: GroupRanks | None = None
        self._members: tuple[Address, ...] = ()
        self._backends: tuple[Address, ...] = ()
        self._digest = 0
        self._engine: Engine | None = None
        self._entries: dict[str, tuple[Address, float]] = {}
        self._service = ''
        self._answers: OrderedDict[tuple[Address, int], Tell] = OrderedDict()

    async def run(self, stop: Stop) -> None:
        """Work until the process is told to stop.

        :param stop: tells when to stop.
        """
        await curio.spawn(self._post.receive, self._handle, daemon=True)
        await curio.spawn(self._look_often, daemon=True)
        await curio.spawn(self._report_often, daemon=True)
        await curio.spawn(self._beat_often, daemon=True)
        await curio.spawn(self._lead_often, daemon=True)
        await stop.requested.wait()
        self._outside.log.log_change(Draining('signal', 0))
        self._outside.log.log_change(Stopped(0))

    async def _look_often(self) -> None:
        while True:
            await self._look()
            await curio.sleep(self._settings.pace.poll)

    async def _look(self) -> None:
        state = await self._outside.engine.read_state()
        if state is None:
            self._missed += 1
            if self._missed == LOST_LOOKS and self._state is not None:
                self._log_rank(self._state, 'lost')
                self._state = None
            return
        self._missed = 0
        before, self._state = self._state, state
        if before is None or before.epoch != state.epoch:
            self._log_rank(state, 'seen')
        elif before.is_open != state.is_open:
            self._log_rank(state, 'open' if state.is_open else 'broken')
        await self._learn_experts(state)
        if before is None or before.step != state.step:
            await self._learn_shares(state)
        if self._ranks is not None and self._leader is not None:
            self._ranks.note_state(state)
            self._leader.passes.add(state.step, time.monotonic())

    async def _learn_shares(self, state: RankState) -> None:
        counts = await self._outside.engine.read_counts()
        if counts is not None:
            self._shares.take(counts, state.epoch, state.step, state.active)

    async def _learn_experts(self, state: RankState) -> None:
        if self._experts_of == (state.epoch, state.version):
            return
        experts = await self._outside.engine.read_experts()
        if experts is not None:
            self._experts = experts
            self._experts_of = (state.epoch, state.version)
            await self._report()

    async def _report_often(self) -> None:
        while True:
            await curio.sleep(self._settings.pace.report)
            await self._report()

    async def _report(self) -> None:
        state = self._state
        leader = self._election.leader
        if state is None or leader is None:
            return
        shares = self._shares.pack(state.active)
        report = Counts(state, self._experts, shares)
        if leader != self._settings.datagrams:
            await self._post.send(report, leader)
        elif self._leader is not None:
            self._leader.note_counts(report)

    async def _beat_often(self) -> None:
        while True:
            await curio.sleep(BEAT_SECONDS)
            state = self._state
            if state is None or not self._members:
                continue
            if self._election.stand(self._members, state.rank):
                self._begin_leading(state)
            token = self._election.token
            if token is not None:
                await self._send_beats(Lead(state.group, token))
                await self._tell_entries(token)

    async def _tell_entries(self, token: int) -> None:
        if self._ranks is None or self._leader is None:
            return
        news = encode(
            GroupNews(
                self._service,
                token,
                self._leader.passes.tell_mean(),
                self._ranks.list_loads(self._settings.backend[0]),
            )
        )
        for address, _ in tuple(self._entries.values()):
            await self._post.send_bytes(news, address)

    async def _send_beats(self, beat: Lead) -> None:
        for address in self._members:
            if address != self._settings.datagrams:
                await self._post.send(beat, address)

    def _begin_leading(self, state: RankState) -> None:
        outside = self._outside
        self._ranks = GroupRanks(
            state.rank, self._member, self._post, self._reach, outside.clock
        )
        self._leader = GroupLeader(
            state.rank,
            self._ranks,
            self._settings.pace,
            outside.log,
            outside.clock,
        )
        self._log_leader(state.group, self._settings.datagrams[0])

    def _reach(self, host: str) -> EnginePort | None:
        for address in self._backends:
            if address[0] == host:
                return self._outside.reach(address)
        return None

    async def _lead_often(self) -> None:
        while True:
            await curio.sleep(self._settings.pace.poll)
            token = self._election.token
            leader = self._leader
            if token is None or leader is None or self._engine is None:
                continue
            if not await leader.work(token, self._engine):
                self._election.step_down()

    async def _handle(self, message: Message, address: Address) -> None:
        match message:
            case Counts():
                self._take_counts(message, address)
            case Ask():
                await self._take_order(message, address)
            case Tell():
                if self._ranks is not None:
                    await self._ranks.note_answer(message)
            case Lead():
                self._follow(message, address)
            case Hello():
                await self._greet(message, address)

    def _take_counts(self, counts: Counts, address: Address) -> None:
        if self._leader is None or self._ranks is None:
            return
        self._ranks.agents[counts.state.rank] = address
        self._leader.note_counts(counts)

    def _follow(self, beat: Lead, address: Address) -> None:
        state = self._state
        if state is None or state.group != beat.group:
            return
        if self._election.hear(beat.token, address):
            self._log_leader(beat.group, address[0])

    async def _greet(self, hello: Hello, address: Address) -> None:
        self._entries[hello.entry] = (address, time.monotonic())
        self._service = hello.service
        if hello.members is not None:
            self._digest = hello.digest
            self._backends = hello.members
            self._engine = hello.engine
            port = self._settings.datagrams[1]
            self._members = tuple(sorted((ip, port) for ip, _ in hello.members))
        state = self._state
        await self._post.send(
            Load(
                *self._settings.backend,
                self._digest,
                self._count_entries(),
                state is not None and state.is_open,
                0 if state is None else state.active,
                0 if state is None else state.queued,
                1 if state is None else state.pace,
            ),
            address,
        )

    def _count_entries(self) -> int:
        oldest = time.monotonic() - ENTRY_SECONDS
        self._entries = {
            name: seen
            for name, seen in self._entries.items()
            if seen[1] > oldest
        }
        return len(self._entries)

    async def _take_order(self, ask: Ask, address: Address) -> None:
        key = (address, ask.number)
        known = self._answers.get(key)
        if known is not None:
            await self._post.send(known, address)
            return
        self._answers[key] = Tell(ask.number, None)
        while len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        await curio.spawn(self._carry_out, ask, address, daemon=True)

    async def _carry_out(self, ask: Ask, address: Address) -> None:
        began = time.monotonic()
        order = unpack_order(ask.order)
        if order is None:
            return
        term = Term(ask.token, ask.epoch)
        outcome = await self._member.carry_out(order, term)
        if isinstance(outcome, Rejected):
            self._state = outcome.state
        answer = pack_outcome(ask.number, outcome)
        self._answers[address, ask.number] = answer
        await self._post.send(answer, address)
        self._outside.log.log_change(
            OrderCarriedOut(
                order=ask.order.kind,
                version=ask.order.version,
                step=ask.order.step,
                token=ask.token,
                epoch=ask.epoch,
                outcome=type(outcome).__name__,
                took_ms=int((time.monotonic() - began) * MILLISECONDS),
            )
        )

    def _log_rank(self, state: RankState, change: str) -> None:
        self._outside.log.log_change(
            RankChanged(
                state.group, state.rank, state.epoch, state.is_open, change
            )
        )

    def _log_leader(self, group: str, host: str) -> None:
        token = self._election.token or 0
        self._outside.log.log_change(CoordinatorChanged(group, host, token))
