"""Execution of a coordinator's orders on one rank."""

from __future__ import annotations

from dataclasses import dataclass
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

#: Attempts to send one order; a retry is safe, as stale orders are refused.
MAX_SEND_ATTEMPTS = 6
#: Polls of a rank that copies experts.
MAX_COPY_POLLS = 400
COPY_POLL_SECONDS = 0.01
#: Interval of polls for the beginning of a pass.
PASS_POLL_SECONDS = 0.004


@dataclass(frozen=True)
class _Unanswered:
    """The rank did not answer; it may have accepted the order."""


class RankParticipant:
    """Executes a coordinator's orders on one rank.

    :param engine: the rank.
    :param clock: source of time.
    :param is_local: whether the rank's state is read without delay.
    """

    def __init__(
        self, engine: EnginePort, clock: Clock, *, is_local: bool = True
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._is_local = is_local

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        """Poll the rank until a pass begins.

        :param seconds: timeout.
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
        """Execute an order, and retry it while the rank does not answer.

        Each attempt carries the number of orders that the rank has accepted, so
        a rank executes an order once and refuses it after a later one.

        :param order: the order.
        :param term: token and epoch of the coordinator.
        :returns: the outcome.
        """
        unanswered: RankState | None = None
        for _ in range(MAX_SEND_ATTEMPTS):
            state = await self._engine.read_state()
            if state is None:
                continue
            if _was_accepted(order, unanswered, state):
                return await self._finish(order, state, Reply.accepted)
            outcome = await self._send_once(order, term, state)
            if isinstance(outcome, _Unanswered):
                unanswered = state
            elif outcome is not None:
                return outcome
        return Silent()

    async def _send_once(
        self, order: Order, term: Term, state: RankState
    ) -> Outcome | _Unanswered | None:
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
        return _Unanswered()

    def _is_redundant(self, state: RankState, order: Order) -> bool:
        # Only an accepted order fences lower tokens, and the state of a remote
        # rank may be older than its last order.
        if isinstance(order, Prepare) or not self._is_local:
            return False
        return is_satisfied(state, order)

    async def _finish(
        self, order: Order, before: RankState, reply: Reply
    ) -> Outcome:
        """Wait until the rank has executed the order.

        Only copying takes time; reading back other orders would prolong a hold.
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
        """Return the outcome of a rejection, or ``None`` to retry."""
        state = await self._engine.read_state()
        if state is None:
            return None
        if is_satisfied(state, order):
            return Done(state)
        # Another order was accepted between the read and the attempt.
        if state.sequence != before.sequence and state.epoch == before.epoch:
            return None
        return Rejected(state)


def _was_accepted(
    order: Order, before: RankState | None, state: RankState
) -> bool:
    """Check whether an unanswered attempt seems to have been accepted.

    A rank that copies experts reports nothing of it until it is done, and
    refuses the order meanwhile.

    :param order: the order.
    :param before: state before the attempt without an answer, if any.
    :param state: the rank's state.
    :returns: whether the rank has accepted one order since.
    """
    return (
        isinstance(order, Prepare)
        and before is not None
        and (state.epoch, state.born_ms) == (before.epoch, before.born_ms)
        and state.sequence == before.sequence + 1
    )


def _may_apply(state: RankState, order: Order) -> bool:
    # An order accepted after this read makes the rank refuse this one.
    if isinstance(order, Disarm) and order.held is not None:
        return state.held == order.held
    return True
