"""A rank that accepts an order, and whose response comes too late."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio

from ospreyford.ports.clock import SystemClock
from ospreyford.rebalance.group import (
    Done,
    Guard,
    Order,
    Prepare,
    RankState,
    Term,
)
from ospreyford.rebalance.mapdelta import build_initial_map
from ospreyford.rebalance.participant import RankParticipant
from ospreyford.rebalance.ports import Reply
from tests.rebalance.fakegroup import FakeGroup

#: Reads of the rank's state until its copy is complete.
COPY_READS = 4


@dataclass
class LateRank:
    """A rank of which the first response is lost; copies take time."""

    group: FakeGroup = field(default_factory=FakeGroup)
    sent: int = 0
    reads: int = 0

    async def read_state(self) -> RankState:
        state = self.group.read_state(0)
        self.reads += 1
        is_copying = self.reads <= COPY_READS
        return state._replace(prepared=None) if is_copying else state

    async def read_counts(self) -> None:
        """Tell no counts."""

    async def read_experts(self) -> None:
        """Tell no experts."""

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        self.sent += 1
        reply = self.group.execute(0, order, guard)
        return Reply.no_answer if self.sent == 1 else reply


def test_a_map_being_copied_is_not_refused() -> None:
    """Guards against a change given up since a rank answered late."""
    participant = RankParticipant(LateRank(), SystemClock())
    order = Prepare(1024, build_initial_map(1, 3, 3))
    outcome = curio.run(participant.carry_out, order, Term(1, 1))
    assert isinstance(outcome, Done)
