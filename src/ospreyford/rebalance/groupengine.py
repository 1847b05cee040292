"""One rank as a member of one group."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.rebalance.ports import Reply

if TYPE_CHECKING:
    from ospreyford.rebalance.group import (
        Guard,
        Order,
        RankExperts,
        RankState,
    )
    from ospreyford.rebalance.ports import EnginePort


class Reading(NamedTuple):
    """What a rank told when it was read for a group.

    :param state: its state; ``None`` if it did not respond or is foreign.
    :param is_foreign: whether it belongs to another group, or to none.
    """

    state: RankState | None
    is_foreign: bool = False


class GroupEngine:
    """Engine port of a rank that gives no state of another group.

    Only for a rank last read as a member of the group are orders passed on, and
    counts and experts returned.

    :param engine: the rank.
    :param group: name of the group.

    ``foreign_reads`` counts states of other groups.
    """

    def __init__(self, engine: EnginePort, group: str) -> None:
        self.foreign_reads = 0
        self._engine = engine
        self._group = group
        self._is_foreign = False

    async def read_member(self) -> Reading:
        """Read the rank's state, and tell whether it is foreign.

        :returns: what the rank told.
        """
        state = await self._engine.read_state()
        if state is None:
            return Reading(None)
        self._is_foreign = state.group != self._group
        if self._is_foreign:
            self.foreign_reads += 1
            return Reading(None, is_foreign=True)
        return Reading(state)

    async def read_state(self) -> RankState | None:
        """Read the rank's state.

        :returns: the state; ``None`` without an answer, or of another group.
        """
        return (await self.read_member()).state

    async def read_counts(self) -> tuple[int, ...] | None:
        """Read how often each expert was selected since the rank's start.

        :returns: one count for each set and expert, set by set.
        """
        return None if self._is_foreign else await self._engine.read_counts()

    async def read_experts(self) -> RankExperts | None:
        """Read the experts that the rank holds under the current map.

        :returns: the experts of each set.
        """
        return None if self._is_foreign else await self._engine.read_experts()

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        """Send an order, unless the rank was last seen in another group.

        :param order: the order.
        :param guard: preconditions that the rank checks first.
        :returns: its reply.
        """
        if self._is_foreign:
            return Reply.no_answer
        return await self._engine.send_order(order, guard)
