"""The ranks of a group, as their coordinator reaches them."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import curio

from ospreyford.rebalance.frames import pack_order, unpack_outcome
from ospreyford.rebalance.group import (
    Order,
    Outcome,
    Prepare,
    RankState,
    Silent,
    Term,
)
from ospreyford.rebalance.member import RankMember
from ospreyford.rebalance.messages import Ask, Tell, encode

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.ports import EnginePort
    from ospreyford.rebalance.post import Address, Post

#: Time between two sendings of one question, in seconds: some round trips
#: between zones and the rank's own answer.
REPEAT_SECONDS = 0.03
#: An agent that has shown no sign of life after so many sendings is passed
#: over, and the rank itself is reached.
SIGNLESS_TRIES = 5
#: How long an order other than a copy may take, in seconds.
ORDER_SECONDS = 0.6
#: How long copying may take beyond the time of the copies, in seconds.
COPY_SECONDS = 3.0


class _Waiting:
    """A question that waits for its answer."""

    def __init__(self) -> None:
        self.seen = False
        self.outcome: Outcome | None = None
        self.done = curio.Event()


class GroupRanks:
    """Reaches each rank through its agent, or directly if that is silent.

    :param me: the rank beside this agent.
    :param member: carries out orders on that rank.
    :param post: the process's datagrams.
    :param reach: reaches a rank by its IP number, without an agent.
    :param clock: source of time.
    """

    def __init__(
        self,
        me: int,
        member: RankMember,
        post: Post,
        reach: Callable[[str], EnginePort | None],
        clock: Clock,
    ) -> None:
        self.agents: dict[int, Address] = {}
        self.direct_orders = 0
        self.me = me
        self._member = member
        self._post = post
        self._reach = reach
        self._clock = clock
        self._states: dict[int, RankState] = {}
        self._heard: dict[int, float] = {}
        self._numbers = itertools.count(int(clock.wall() * 1000) << 8)
        self._waiting: dict[int, _Waiting] = {}

    def read_states(self) -> Mapping[int, RankState]:
        """Read the newest known state of each rank.

        :returns: by rank.
        """
        return self._states

    def list_loads(self, my_host: str) -> tuple[tuple[str, int, int], ...]:
        """List what runs and waits at each rank.

        :param my_host: IP number of this agent's host.
        :returns: IP number, running and waiting requests.
        """
        hosts = {rank: address[0] for rank, address in self.agents.items()}
        hosts[self.me] = my_host
        return tuple(
            (hosts[rank], state.active, state.queued)
            for rank, state in self._states.items()
            if rank in hosts
        )

    def tell_silence(self, rank: int) -> float:
        """Tell how long a rank has not been heard of.

        :param rank: its number.
        :returns: seconds.
        """
        return self._clock.monotonic() - self._heard.get(rank, float('-inf'))

    def note_state(self, state: RankState) -> None:
        """Take over what a rank shows.

        :param state: its state.
        """
        known = self._states.get(state.rank)
        # Datagrams overtake each other: a rank never goes back in an epoch.
        if known is not None and (known.epoch, known.sequence, known.step) > (
            state.epoch,
            state.sequence,
            state.step,
        ):
            return
        self._states[state.rank] = state
        self._heard[state.rank] = self._clock.monotonic()

    def forget(self, rank: int) -> None:
        """Forget a rank that started anew.

        :param rank: its number.
        """
        self._states.pop(rank, None)

    async def note_answer(self, answer: Tell) -> None:
        """Take over an agent's answer.

        :param answer: the answer.
        """
        waiting = self._waiting.get(answer.number)
        if waiting is None:
            return
        waiting.seen = True
        if answer.outcome is not None:
            waiting.outcome = unpack_outcome(answer)
            await waiting.done.set()

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        """Have a rank carry out an order.

        :param rank: the rank.
        :param order: the order.
        :param term: whose order it is, and for which epoch.
        :returns: what came of it.
        """
        if rank == self.me:
            outcome = await self._member.carry_out(order, term)
        else:
            outcome = await self._ask(rank, order, term)
        state = getattr(outcome, 'state', None)
        if state is not None:
            self.note_state(state)
        return outcome

    async def _ask(self, rank: int, order: Order, term: Term) -> Outcome:
        address = self.agents.get(rank)
        if address is None:
            return Silent()
        number = next(self._numbers)
        waiting = _Waiting()
        self._waiting[number] = waiting
        question = encode(Ask(number, *term, pack_order(order)))
        limit = ORDER_SECONDS
        if isinstance(order, Prepare):
            limit = COPY_SECONDS
        try:
            await self._repeat(waiting, question, address, limit)
        finally:
            self._waiting.pop(number)
        if waiting.outcome is not None:
            return waiting.outcome
        if waiting.seen:
            return Silent()
        return await self._order_directly(address[0], order, term)

    async def _repeat(
        self,
        waiting: _Waiting,
        question: bytes,
        address: Address,
        limit: float,
    ) -> None:
        until = self._clock.monotonic() + limit
        tries = 0
        while waiting.outcome is None and self._clock.monotonic() < until:
            if tries >= SIGNLESS_TRIES and not waiting.seen:
                return
            await self._post.send_bytes(question, address)
            tries += 1
            await curio.ignore_after(REPEAT_SECONDS, waiting.done.wait())

    async def _order_directly(
        self, host: str, order: Order, term: Term
    ) -> Outcome:
        engine = self._reach(host)
        if engine is None:
            return Silent()
        self.direct_orders += 1
        member = RankMember(engine, self._clock, is_near=False)
        return await member.carry_out(order, term)
