"""The ranks of a group, as their coordinator reaches them."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

import curio

from ospreyford.rebalance.effects import compute_state_after
from ospreyford.rebalance.failuredetector import FailureDetector
from ospreyford.rebalance.far import FarRanks
from ospreyford.rebalance.frames import (
    pack_change,
    pack_order,
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
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.messages import (
    NO_MAP,
    OrderFrame,
)
from ospreyford.rebalance.participant import RankParticipant
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.questions import Questions

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.ports import EnginePort
    from ospreyford.rebalance.post import Address, Post
    from ospreyford.rebalance.relays import Relays


class _Packed(NamedTuple):
    """An order as it is sent to all ranks that use the same map.

    :param order: the order.
    :param base: version of the map that they use.
    :param frames: the order in several forms, the shortest first.
    """

    order: Prepare
    base: int
    frames: tuple[OrderFrame, ...]


class GroupRanks:
    """Reaches each rank through its agent, or directly if that is silent.

    :param me: the rank beside this agent.
    :param my_host: IP number of this agent's host.
    :param member: carries out orders on that rank.
    :param post: the process's datagrams.
    :param reach: reaches a rank by its IP number, without an agent.
    :param clock: source of time.
    :param relays: sends a message to all agents.
    """

    def __init__(
        self,
        me: int,
        my_host: str,
        member: RankParticipant,
        post: Post,
        reach: Callable[[str], EnginePort | None],
        clock: Clock,
        relays: Relays,
    ) -> None:
        self.agents: dict[int, Address] = {}
        self.maps = MapCache()
        self.me = me
        self.my_host = my_host
        self._member = member
        self._far = FarRanks(reach, clock)
        self._clock = clock
        self._states: dict[int, RankState] = {}
        self._packed: _Packed | None = None
        self.silent = FailureDetector(clock)
        self.questions = Questions(post, relays, clock)

    def read_states(self) -> Mapping[int, RankState]:
        """Read the newest known state of each rank.

        :returns: by rank.
        """
        return self._states

    def note_report(self, state: RankState, agent: Address) -> None:
        """Take over an agent's report.

        :param state: of the rank beside it.
        :param agent: the agent's address.
        """
        self.agents[state.rank] = agent
        self.silent.record_report(agent[0])
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
        silent = [
            address
            for address in members
            if address[0] != self.my_host and self.silent.try_probe(address[0])
        ]
        # One after the other, the hosts of an availability zone that is cut
        # off would hold up all plans for as many time limits.
        async with curio.TaskGroup() as group:
            looks = [await group.spawn(self._look, one) for one in silent]
        return [look.result for look in looks if look.result is not None]

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

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        """Look at the rank beside this agent until a pass begins.

        :param seconds: how long to look at most.
        :returns: the newest state, or ``None`` if the rank does not answer.
        """
        state = await self._member.wait_for_pass(seconds)
        if state is not None:
            self.note_state(state)
        return state

    def select_holder(self, ranks: Sequence[int]) -> int:
        """Choose the rank at which a pass is held.

        :param ranks: the ranks of the group.
        :returns: one whose agent is heard of, another than this agent's own if
            there is one.
        """
        following = sorted(ranks, key=lambda rank: (rank <= self.me, rank))
        for rank in following:
            agent = self.agents.get(rank)
            if rank != self.me and agent is not None:
                if not self.silent.is_suspected(agent[0]):
                    return rank
        return self.me

    async def broadcast(self, order: Prepare, term: Term) -> None:
        """Send an order to all ranks, through the tree of their agents.

        Each rank is asked for its outcome, as ever, by :meth:`carry_out`, which
        sends the order directly to those that have not answered in time.

        :param order: the order.
        :param term: whose order it is, and for which epoch.
        """
        short, _ = self._pack(self.me, order)
        await self.questions.spread(order, term, short, len(self.agents) + 1)

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

    async def _look(self, address: Address) -> tuple[int, EnginePort] | None:
        engine = self._far.find(address[0])
        state = None if engine is None else await engine.read_state()
        if engine is None or state is None:
            return None
        self.agents[state.rank] = address
        self.note_state(state)
        return state.rank, engine

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
            case Reply.accepted | Reply.already_applied as reply:
                return Done(
                    compute_state_after(
                        known, order, is_accepted=reply is Reply.accepted
                    )
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
        if self.silent.is_suspected(address[0]):
            return await self._far.carry_out(address[0], order, term)
        waiting = await self.questions.ask(
            address, order, term, self._pack(rank, order)
        )
        if waiting.outcome is not None:
            return waiting.outcome
        if waiting.seen:
            return Silent()
        return await self._far.carry_out(address[0], order, term)

    def _pack(self, rank: int, order: Order) -> tuple[OrderFrame, ...]:
        if not isinstance(order, Prepare):
            return (pack_order(order),)
        known = self._states.get(rank)
        base = NO_MAP if known is None else known.version
        packed = self._packed
        if packed is None or packed.order is not order or packed.base != base:
            frames = pack_change(order, base, self.maps)
            packed = _Packed(order, base, frames)
            self._packed = packed
        return packed.frames


def _tell_order(state: RankState) -> tuple[int, int, int, int]:
    """Tell which of two states of one rank is newer.

    Datagrams overtake each other. Within an epoch a rank goes back only when
    its process starts again: its numbers begin at zero, and without its start
    the old ones would stand until they were passed.
    """
    return (state.epoch, state.born_ms, state.sequence, state.step)
