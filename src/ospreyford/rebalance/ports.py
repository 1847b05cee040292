"""Ports through which a coordinator reaches the ranks."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Protocol

from ospreyford.rebalance.group import (
    Guard,
    Order,
    Outcome,
    Prepare,
    RankExperts,
    RankState,
    Term,
)


class Reply(Enum):
    """A rank's reply to an order."""

    accepted = 'begun'
    already_applied = 'holds'
    rejected = 'unfit'
    fenced = 'fenced'
    no_answer = 'none'


class EnginePort(Protocol):
    """One rank, as reached from an agent."""

    async def read_state(self) -> RankState | None:
        """Read the rank's state.

        :returns: the state, or ``None`` without an answer.
        """

    async def read_counts(self) -> tuple[int, ...] | None:
        """Read how often each expert was selected since the rank's start.

        :returns: one count for each set and expert, set by set.
        """

    async def read_experts(self) -> RankExperts | None:
        """Read the experts that the rank holds under the current map.

        :returns: the experts of each set.
        """

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        """Send an order.

        :param order: the order.
        :param guard: preconditions that the rank checks first.
        :returns: its reply.
        """


class RanksPort(Protocol):
    """All ranks of a group, as reached from its coordinator."""

    def read_states(self) -> Mapping[int, RankState]:
        """Return the latest known state of each rank.

        :returns: states by rank.
        """

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        """Poll the coordinator's own rank until a pass begins.

        :param seconds: timeout.
        :returns: the newest state, or ``None`` if the rank does not answer.
        """

    def select_holder(self, ranks: Sequence[int]) -> int:
        """Select the rank at which a pass is held.

        :param ranks: the ranks of the group.
        :returns: a rank with a responsive agent, preferably not the
            coordinator's own.
        """

    async def broadcast(self, order: Prepare, term: Term) -> None:
        """Send an order to all ranks without waiting for the outcomes.

        :param order: the order.
        :param term: token and epoch of the coordinator.
        """

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        """Execute an order on a rank.

        :param rank: the rank.
        :param order: the order.
        :param term: token and epoch of the coordinator.
        :returns: the outcome.
        """
