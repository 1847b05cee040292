"""What the agreement on maps needs of the ranks."""

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
    """How a rank answered an order."""

    accepted = 'begun'
    already_applied = 'holds'
    rejected = 'unfit'
    fenced = 'fenced'
    no_answer = 'none'


class EnginePort(Protocol):
    """One rank, as the agent beside it reaches it."""

    async def read_state(self) -> RankState | None:
        """Read the rank's state.

        :returns: the state, or ``None`` without an answer.
        """

    async def read_counts(self) -> tuple[int, ...] | None:
        """Read how often each expert was chosen since the rank's start.

        :returns: one count for each set and expert, set by set.
        """

    async def read_experts(self) -> RankExperts | None:
        """Read which experts the rank holds by the map in force.

        :returns: the experts of each set.
        """

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        """Give an order.

        :param order: the order.
        :param guard: what the rank checks first.
        :returns: its answer.
        """


class RanksPort(Protocol):
    """All ranks of a group, as its coordinator reaches them."""

    def read_states(self) -> Mapping[int, RankState]:
        """Read the newest known state of each rank.

        :returns: by rank.
        """

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        """Look at the coordinator's own rank until a pass begins.

        :param seconds: how long to look at most.
        :returns: the newest state, or ``None`` if the rank does not answer.
        """

    def select_holder(self, ranks: Sequence[int]) -> int:
        """Choose the rank at which a pass is held.

        :param ranks: the ranks of the group.
        :returns: one whose agent is heard of, another than the
            coordinator's own if there is one.
        """

    async def broadcast(self, order: Prepare, term: Term) -> None:
        """Send an order to all ranks; its outcomes are asked for afterwards.

        :param order: the order.
        :param term: whose order it is, and for which epoch.
        """

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        """Have a rank carry out an order.

        :param rank: the rank.
        :param order: the order.
        :param term: whose order it is, and for which epoch.
        :returns: what came of it.
        """
