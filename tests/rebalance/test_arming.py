"""Order in which the ranks of a group are armed."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import curio

from ospreyford.rebalance.coordinator import Change, Coordinator, Group
from ospreyford.rebalance.group import (
    Arm,
    Armed,
    Done,
    Go,
    Hold,
    Order,
    Outcome,
    Prepare,
    RankState,
    Term,
)
from ospreyford.rebalance.holdscheduler import HoldScheduler
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import make_state

RANK_COUNT = 5
OWN_RANK = 2
VERSION = 9
MAP = (((0,), (1,), (2,), (3,), (4,)),)


class HostFrozen(Exception):
    """The coordinator's host has frozen."""


@dataclass
class FreezingRanks:
    """Ranks that execute all orders; the host freezes at a given request."""

    freeze_at_request: int
    states: dict[int, RankState] = field(
        default_factory=lambda: {
            rank: make_state(rank) for rank in range(RANK_COUNT)
        }
    )
    requests: int = 0

    def read_states(self) -> Mapping[int, RankState]:
        return self.states

    async def wait_for_pass(self, seconds: float) -> RankState | None:
        return self.states[OWN_RANK]

    def select_holder(self, ranks: Sequence[int]) -> int:
        return 0

    async def broadcast(self, order: Prepare, term: Term) -> None:
        """Do nothing; the orders follow one by one."""

    async def carry_out(self, rank: int, order: Order, term: Term) -> Outcome:
        self._apply(rank, order)
        return Done(self.states[rank])

    async def run_concurrently(self, parts: Sequence[Any]) -> Sequence[Outcome]:
        """Execute the orders, also if the host freezes right after."""
        outcomes = [await part for part in parts]
        self.requests += 1
        if self.requests == self.freeze_at_request:
            raise HostFrozen
        return outcomes

    def _apply(self, rank: int, order: Order) -> None:
        state = self.states[rank]
        match order:
            case Hold(step=step):
                state = state._replace(held=step)
            case Arm(version=version, step=step):
                state = state._replace(armed=Armed(version, step))
            case Go():
                self.states = {
                    one: known._replace(version=VERSION, armed=None, held=None)
                    for one, known in self.states.items()
                }
                return
        self.states[rank] = state


async def change_map(ranks: FreezingRanks) -> Change:
    coordinator = Coordinator(
        OWN_RANK,
        1,
        ranks,
        ranks.run_concurrently,
        FakeClock(),
        HoldScheduler(),
    )
    group = Group(ranks.states[OWN_RANK].epoch, tuple(range(RANK_COUNT)))
    return await coordinator.change(group, VERSION, MAP)


def test_successor_detects_that_unreachable_rank_is_not_armed() -> None:
    """Only one freeze may leave the successor unsure about the lost rank.

    If all other ranks are armed at once, the group stalls until the frozen host
    is back, since only that host knows whether its own rank is armed.
    """
    ambiguous = []
    for request in range(1, 20):
        ranks = FreezingRanks(request)
        try:
            assert curio.run(change_map, ranks) is Change.made
        except HostFrozen:
            mine = ranks.states.pop(OWN_RANK).armed
            others = [one.armed is not None for one in ranks.states.values()]
            ambiguous.append(all(others) and mine is None)
            assert all(others) or mine is None
    assert sum(ambiguous) == 1
    # The coordinator freezes after the hold.
    assert not ambiguous[2]
