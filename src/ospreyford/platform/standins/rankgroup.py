"""Stand-in of a group of ranks that begin passes in step and fail together."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, NamedTuple

import curio

from ospreyford.platform.standins.enginegroup import (
    EngineGroup,
    InconsistentMaps,
)
from ospreyford.platform.standins.orders import GroupRecord
from ospreyford.rebalance.mapdelta import build_initial_map

if TYPE_CHECKING:
    from ospreyford.platform.standins.rank import Rank
    from ospreyford.rebalance.group import ExpertMap

EVENTS: Final = 5
#: Experts chosen in a set by a request in each pass, half of them the same one.
PICKS: Final = 8


class GroupOptions(NamedTuple):
    """How a group behaves.

    :param ranks: number of ranks at its start.
    :param pass_seconds: time between two events of a stream.
    :param stall_seconds: time from a crash until the other ranks fail.
    :param form_seconds: time from the crashed rank's return to the opening.
    :param name: of the group.
    :param events: events of a stream.
    :param sets: sets of experts.
    :param experts: experts of a set.
    :param spare: maximum experts of a set that a new map adds to a rank.
    :param copy_seconds: time from the order to the end of the copy.
    :param drift_passes: passes until another expert is chosen most.
    """

    ranks: int
    pass_seconds: float = 0.02
    stall_seconds: float = 0.4
    form_seconds: float = 0.5
    name: str = 'g'
    events: int = EVENTS
    sets: int = 1
    experts: int = 12
    spare: int = 3
    copy_seconds: float = 0.02
    drift_passes: int = 60


class RankGroup:
    """What the ranks of a group share.

    :param options: how it behaves.
    :param record: receives the orders that reach its ranks.
    """

    def __init__(
        self, options: GroupOptions, record: GroupRecord | None = None
    ) -> None:
        self.options = options
        self.record = GroupRecord() if record is None else record
        self.is_open = True
        #: Times that a crash closed the group.
        self.closings = 0
        #: Its ranks, in order.
        self.members: list[Rank] = []
        self.engine = EngineGroup(
            options.ranks,
            name=options.name,
            first_map=build_first_map(options, options.ranks),
            spare=options.spare,
        )
        self._passed = curio.Event()
        self._is_running = False

    @property
    def epoch(self) -> int:
        """Number of times that the group has formed."""
        return self.engine.epoch

    def close(self) -> None:
        """Close the group after a crash."""
        if self.is_open:
            self.closings += 1
            closing = (self.options.name, time.time())
            self.record.closings.append(closing)
        self.is_open = False

    async def open_again(self) -> None:
        """Open the group after the crashed rank is back."""
        await curio.sleep(self.options.form_seconds)
        self.form()

    def form(self) -> None:
        """Form the group of its members, in a new epoch."""
        ranks = [one.engine for one in self.members]
        self.engine.form(ranks, build_first_map(self.options, len(ranks)))
        self.is_open = True

    async def move(self, rank: Rank, target: RankGroup) -> None:
        """Move a rank to another group: both form anew.

        :param rank: one of this group.
        :param target: the other group.
        """
        self.is_open = False
        target.is_open = False
        await curio.sleep(self.options.form_seconds)
        self.members.remove(rank)
        target.members.append(rank)
        rank.group = target
        self.form()
        target.form()

    async def ensure_running(self) -> None:
        """Begin passes from now on, while requests run."""
        if not self._is_running:
            self._is_running = True
            await curio.spawn(self._run_passes, daemon=True)

    async def wait_for_pass(self) -> None:
        """Wait until the next pass is due; it may be held back."""
        await self._passed.wait()

    async def _run_passes(self) -> None:
        while True:
            await curio.sleep(self.options.pass_seconds)
            if self.is_open and any(one.active for one in self.members):
                self._begin_pass()
            passed = self._passed
            self._passed = curio.Event()
            await passed.set()

    def _begin_pass(self) -> None:
        name = self.options.name
        try:
            has_begun = self.engine.begin_pass()
        except InconsistentMaps:
            self.record.mixed_passes.append((name, self.engine.step))
            return
        if has_begun:
            favourite = self.engine.step // self.options.drift_passes
            for rank in self.members:
                rank.pick_experts(favourite % self.options.experts)
            return
        held = self.record.held_seconds
        held[name] = held.get(name, 0) + self.options.pass_seconds


def build_first_map(options: GroupOptions, ranks: int) -> ExpertMap:
    """Build the map of a new epoch: experts in turn.

    :param options: of the group.
    :param ranks: number of ranks.
    :returns: the map.
    """
    return build_initial_map(options.sets, options.experts, ranks)
