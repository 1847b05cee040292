"""The ranks of a group, as their coordinator reaches them."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.effects import tell_after
from ospreyford.rebalance.far import FarRanks
from ospreyford.rebalance.frames import (
    pack_change,
    pack_order,
    unpack_outcome,
)
from ospreyford.rebalance.group import (
    Done,
    Fenced,
    Guard,
    Hold,
    Order,
    Outcome,
    Prepare,
    RankState,
    Silent,
    Term,
)
from ospreyford.rebalance.knownmaps import KnownMaps
from ospreyford.rebalance.member import RankMember
from ospreyford.rebalance.messages import (
    NO_MAP,
    UNKNOWN_BASE,
    Ask,
    OrderFrame,
    RankLoad,
    Tell,
    encode,
)
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.silence import SilentAgents

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.ports import EnginePort
    from ospreyford.rebalance.post import Address, Post

#: Time between two sendings of one question, in seconds: some round trips
#: between zones and the rank's own answer.
REPEAT_SECONDS = 0.03
#: Time between two sendings, as a part of what one round of questions to all
#: ranks takes on this host's link.
ROUND_PART = 1.5
#: An agent that has shown no sign of life after so many sendings is passed
#: over, and the rank itself is reached.
SIGNLESS_TRIES = 5
#: How long an order other than a copy may take, in seconds.
ORDER_SECONDS = 0.6
#: How long copying may take beyond the time of the copies, in seconds.
COPY_SECONDS = 3.0


class _Waiting:
    """A question that waits for its answer.

    :param short: the question, with what the map changes only.
    :param whole: the same with the map that is changed.
    """

    def __init__(self, short: Ask, whole: OrderFrame) -> None:
        self.question = encode(short)
        self.whole = encode(Ask(short.number, short.token, short.epoch, whole))
        self.seen = False
        self.outcome: Outcome | None = None
        self.done = curio.Event()


class GroupRanks:
    """Reaches each rank through its agent, or directly if that is silent.

    :param me: the rank beside this agent.
    :param my_host: IP number of this agent's host.
    :param member: carries out orders on that rank.
    :param post: the process's datagrams.
    :param reach: reaches a rank by its IP number, without an agent.
    :param clock: source of time.
    """

    def __init__(
        self,
        me: int,
        my_host: str,
        member: RankMember,
        post: Post,
        reach: Callable[[str], EnginePort | None],
        clock: Clock,
    ) -> None:
        self.agents: dict[int, Address] = {}
        self.maps = KnownMaps()
        self.me = me
        self._my_host = my_host
        self._member = member
        self._post = post
        self._far = FarRanks(reach, clock)
        self._clock = clock
        self._states: dict[int, RankState] = {}
        self.silent = SilentAgents(clock)
        self._numbers = itertools.count(int(clock.wall() * 1000) << 8)
        self._waiting: dict[int, _Waiting] = {}

    def read_states(self) -> Mapping[int, RankState]:
        """Read the newest known state of each rank.

        :returns: by rank.
        """
        return self._states

    def list_loads(self) -> tuple[RankLoad, ...]:
        """List what runs and waits at each rank.

        :returns: the load of each rank that is known.
        """
        hosts = {rank: address[0] for rank, address in self.agents.items()}
        hosts[self.me] = self._my_host
        return tuple(
            RankLoad(
                host=hosts[rank],
                active=state.active,
                queued=state.queued,
                pace=state.pace,
                is_silent=rank != self.me
                and self.silent.is_silent(hosts[rank]),
            )
            for rank, state in self._states.items()
            if rank in hosts
        )

    def note_report(self, state: RankState, agent: Address) -> None:
        """Take over an agent's report.

        :param state: of the rank beside it.
        :param agent: the agent's address.
        """
        self.agents[state.rank] = agent
        self.silent.note_report(agent[0])
        self.note_state(state)

    async def look_past_agents(
        self, members: Sequence[Address]
    ) -> list[tuple[int, EnginePort]]:
        """Look directly at the ranks whose agents are silent.

        An agent that is frozen or cut off says nothing of a rank that goes on
        stepping. Without its state the group could not be changed, nor, if an
        earlier coordinator left it held, be let go.

        :param members: the agents of the group.
        :returns: the ranks that were looked at, and how they are reached.
        """
        seen = []
        for address in members:
            host = address[0]
            if host != self._my_host and self.silent.take_look(host):
                engine = self._far.find(host)
                state = None if engine is None else await engine.read_state()
                if engine is not None and state is not None:
                    self.agents[state.rank] = address
                    self.note_state(state)
                    seen.append((state.rank, engine))
        return seen

    def note_state(self, state: RankState) -> None:
        """Take over what a rank shows.

        :param state: its state.
        """
        known = self._states.get(state.rank)
        if known is not None and _tell_order(known) > _tell_order(state):
            return
        self._states[state.rank] = state

    def note_switch(self, version: int) -> None:
        """Note that a pass has begun for which all ranks were armed.

        What the others reported is some passes old: taken for the present, it
        would look like a group in the middle of a change.

        :param version: of the map that is in force now.
        """
        for rank, state in tuple(self._states.items()):
            if state.armed is not None and state.armed.version == version:
                self._states[rank] = state._replace(
                    version=version, prepared=None, armed=None
                )

    async def note_answer(self, answer: Tell) -> None:
        """Take over an agent's answer.

        :param answer: the answer.
        """
        waiting = self._waiting.get(answer.number)
        if waiting is None:
            return
        waiting.seen = True
        if answer.outcome == UNKNOWN_BASE:
            waiting.question = waiting.whole
        elif answer.outcome is not None:
            waiting.outcome = unpack_outcome(answer)
            await waiting.done.set()

    async def watch_pass(self, seconds: float) -> RankState | None:
        """Look at the rank beside this agent until a pass begins.

        :param seconds: how long to look at most.
        :returns: the newest state, or ``None`` if the rank does not answer.
        """
        state = await self._member.watch_pass(seconds)
        if state is not None:
            self.note_state(state)
        return state

    def choose_holder(self, ranks: Sequence[int]) -> int:
        """Choose the rank at which a pass is held.

        :param ranks: the ranks of the group.
        :returns: one whose agent is heard of, another than this agent's own if
            there is one.
        """
        following = sorted(ranks, key=lambda rank: (rank <= self.me, rank))
        for rank in following:
            agent = self.agents.get(rank)
            if rank != self.me and agent is not None:
                if not self.silent.is_silent(agent[0]):
                    return rank
        return self.me

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        """Have a rank carry out an order.

        :param rank: the rank.
        :param order: the order.
        :param term: whose order it is, and for which epoch.
        :returns: what came of it.
        """
        if rank == self.me:
            outcome = await self._member.carry_out(order, term)
        elif isinstance(order, Hold):
            outcome = await self._hold(rank, order, term)
        else:
            outcome = await self._ask(rank, order, term)
        state = getattr(outcome, 'state', None)
        if state is not None:
            self.note_state(state)
        return outcome

    async def _hold(self, rank: int, order: Hold, term: Term) -> Outcome:
        """Hold a pass at a rank from here, without the agent beside it.

        A host that freezes takes its rank out of reach. Held by its own agent,
        the group stood still for as long as the freeze that met that agent
        with the hold just given: nobody else can let the pass begin. Held from
        here, the rank stays in reach when this host freezes. The order from
        afar has its price; it takes one exchange in place of three.
        """
        agent = self.agents.get(rank)
        known = self._states.get(rank)
        engine = None if agent is None else self._far.find(agent[0])
        if engine is None or known is None:
            return await self._ask(rank, order, term)
        match await self._far.give(engine, order, Guard(*term, known.sequence)):
            case Reply.begun | Reply.holds as reply:
                return Done(
                    tell_after(known, order, is_new=reply is Reply.begun)
                )
            case Reply.fenced:
                return Fenced()
        # What is known of the rank may be too old, or the order is on its way
        # still: the agent reads the rank first, and a late order is refused
        # for its sequence number.
        return await self._ask(rank, order, term)

    async def _ask(self, rank: int, order: Order, term: Term) -> Outcome:
        address = self.agents.get(rank)
        if address is None:
            return Silent()
        if self.silent.is_silent(address[0]):
            return await self._far.carry_out(address[0], order, term)
        number = next(self._numbers)
        short = pack_order(order)
        whole = short
        limit = ORDER_SECONDS
        if isinstance(order, Prepare):
            limit = COPY_SECONDS
            known = self._states.get(rank)
            base = NO_MAP if known is None else known.version
            short, whole = pack_change(order, base, self.maps)
        waiting = _Waiting(Ask(number, *term, short), whole)
        self._waiting[number] = waiting
        try:
            await self._repeat(waiting, address, limit)
        finally:
            self._waiting.pop(number)
        if waiting.outcome is not None:
            return waiting.outcome
        if waiting.seen:
            return Silent()
        return await self._far.carry_out(address[0], order, term)

    async def _repeat(
        self,
        waiting: _Waiting,
        address: Address,
        limit: float,
    ) -> None:
        until = self._clock.monotonic() + limit
        tries = 0
        link_bytes = self._post.link_bytes
        while waiting.outcome is None and self._clock.monotonic() < until:
            if tries >= SIGNLESS_TRIES and not waiting.seen:
                return
            await self._post.send_paced(waiting.question, address)
            tries += 1
            # All ranks are asked at once: repeated before the link has carried
            # the first round, large questions would never arrive.
            round_bytes = len(waiting.question) * max(len(self.agents), 1)
            pause = max(REPEAT_SECONDS, ROUND_PART * round_bytes / link_bytes)
            await curio.ignore_after(pause, waiting.done.wait())


def _tell_order(state: RankState) -> tuple[int, int, int, int]:
    """Tell which of two states of one rank is newer.

    Datagrams overtake each other. Within an epoch a rank goes back only when
    its process starts again: its numbers begin at zero, and without its start
    the old ones would stand until they were passed.
    """
    return (state.epoch, state.born_ms, state.sequence, state.step)
