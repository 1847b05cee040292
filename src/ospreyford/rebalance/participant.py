"""One rank's part in a change of maps, done by the agent beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.effects import compute_state_after
from ospreyford.rebalance.group import (
    Disarm,
    Done,
    Fenced,
    Guard,
    Order,
    Outcome,
    Prepare,
    RankState,
    Rejected,
    Silent,
    Term,
    is_satisfied,
)
from ospreyford.rebalance.ports import EnginePort, Reply

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

#: Sendings of one order to the rank beside this agent. An order that the rank
#: does not answer may be carried out seconds later; the next sending is
#: accepted at once all the same.
MAX_SEND_ATTEMPTS = 6
#: Looks at the rank while it copies experts, and the time between them in
#: seconds: a tenth of what one expert takes.
MAX_COPY_POLLS = 400
COPY_POLL_SECONDS = 0.01
#: Time between two looks for the beginning of a pass, in seconds: a tenth of a
#: pass under load.
PASS_POLL_SECONDS = 0.004


class RankParticipant:
    """Carries out a coordinator's orders on one rank.

    :param engine: the rank.
    :param clock: source of time.
    :param is_near: whether the rank shows its state without delay.
    """

    def __init__(
        self, engine: EnginePort, clock: Clock, *, is_local: bool = True
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._is_local = is_local

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        """Look at the rank until a pass begins.

        :param seconds: how long to look at most.
        :returns: the newest state, or ``None`` if the rank does not answer.
        """
        deadline = self._clock.monotonic() + seconds
        initial_step: int | None = None
        while True:
            state = await self._engine.read_state()
            if state is None:
                return None
            initial_step = state.step if initial_step is None else initial_step
            is_over = self._clock.monotonic() >= deadline
            if state.step > initial_step or is_over:
                return state
            await self._clock.sleep(PASS_POLL_SECONDS)

    async def carry_out(self, order: Order, term: Term) -> Outcome:
        """Carry out an order, however often the rank leaves it unanswered.

        Each sending carries the number of orders that the rank has accepted:
        of several sendings of one order only the first that arrives counts,
        and none of them counts any more once another order was accepted.

        :param order: the order.
        :param term: whose order it is, and for which epoch.
        :returns: what came of it.
        """
        for _ in range(MAX_SEND_ATTEMPTS):
            state = await self._engine.read_state()
            if state is not None:
                outcome = await self._send_once(order, term, state)
                if outcome is not None:
                    return outcome
        return Silent()

    async def _send_once(
        self, order: Order, term: Term, state: RankState
    ) -> Outcome | None:
        if state.epoch != term.epoch or not _may_apply(state, order):
            return Rejected(state)
        if self._is_redundant(state, order):
            return Done(state)
        guard = Guard(*term, state.sequence)
        match await self._engine.send_order(order, guard):
            case Reply.fenced:
                return Fenced()
            case Reply.accepted | Reply.already_applied as reply:
                return await self._finish(order, state, reply)
            case Reply.rejected:
                return await self._resolve_rejection(order, state)
        return None

    def _is_redundant(self, state: RankState, order: Order) -> bool:
        # A prepared map does not show whose it is: only an accepted order
        # shuts out coordinators with lower tokens. And what is seen from afar
        # is older than the orders that were accepted since.
        if isinstance(order, Prepare) or not self._is_local:
            return False
        return is_satisfied(state, order)

    async def _finish(
        self, order: Order, before: RankState, reply: Reply
    ) -> Outcome:
        """Wait until the rank has done what it accepted.

        Only copying takes time. Everything else is done with the answer: read
        back, each order would keep a held group standing for a third longer.
        """
        if not isinstance(order, Prepare):
            return Done(
                compute_state_after(
                    before, order, is_accepted=reply is Reply.accepted
                )
            )
        for _ in range(MAX_COPY_POLLS):
            state = await self._engine.read_state()
            if state is not None and is_satisfied(state, order):
                return Done(state)
            await self._clock.sleep(COPY_POLL_SECONDS)
        return Silent()

    async def _resolve_rejection(
        self, order: Order, before: RankState
    ) -> Outcome | None:
        """Tell a refusal for good from one that an earlier sending caused."""
        state = await self._engine.read_state()
        if state is None:
            return None
        if is_satisfied(state, order):
            return Done(state)
        # Another order came between reading the state and giving this one.
        if state.sequence != before.sequence and state.epoch == before.epoch:
            return None
        return Rejected(state)


def _may_apply(state: RankState, order: Order) -> bool:
    # The order carries the number of orders accepted when this state was
    # read: what comes in between makes the rank refuse it.
    if isinstance(order, Disarm) and order.held is not None:
        return state.held == order.held
    return True
