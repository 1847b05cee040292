"""State, experts and load of the rank on an agent's host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.loads import Incarnation, QuantizedLoad, ShareTracker
from ospreyford.rebalance.mapdelta import build_initial_map

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.group import ExpertMap, RankExperts, RankState
    from ospreyford.rebalance.ports import EnginePort

#: Minimum interval of count reads, per count, to bound their cost.
READ_SECONDS_PER_COUNT = 0.000025
EMPTY_SHARES = QuantizedLoad(0, b'')


class RankWatcher:
    """Follows a rank's state, and reads its experts and selection counts.

    :param engine: the rank.
    :param clock: source of time.

    ``counted_at`` is the time at which the newest counts were read.
    """

    def __init__(self, engine: EnginePort, clock: Clock) -> None:
        self.counted_at = clock.monotonic()
        self._clock = clock
        self._count_total = 0
        self._counts_step: int | None = None
        self.state: RankState | None = None
        self._engine = engine
        self._shares = ShareTracker()
        self._experts: RankExperts = ()
        self._experts_version: tuple[int, int] | None = None

    async def update(self, state: RankState) -> bool:
        """Record a state of the rank, and read what changes with it.

        :param state: its state, just read.
        :returns: whether the rank has changed its map since the last state.
        """
        previous = self.state
        self.state = state
        if previous is None or previous.step != state.step:
            await self._update_shares(state)
        elif self._counts_step == state.step:
            # No pass has run since, so the known counts are current.
            self.counted_at = self._clock.monotonic()
        return await self._update_experts(state)

    def count_ranks(self) -> int:
        """Return the number of ranks of the group.

        :returns: the number; 1 if it is unknown.
        """
        return 1 if self.state is None else self.state.size

    def encode_shares(self) -> QuantizedLoad:
        """Encode the rank's part of the load.

        :returns: its shares; empty before the first counts.
        """
        writing = 0 if self.state is None else self.state.active
        return self._shares.quantize(writing) or EMPTY_SHARES

    def list_experts(self) -> RankExperts:
        """List the experts that the rank holds.

        :returns: the experts of each set; empty if unknown.
        """
        state = self.state
        if state is None or self._experts_version != (
            state.epoch,
            state.version,
        ):
            return ()
        return self._experts

    def build_initial_map(self) -> ExpertMap | None:
        """Build the initial map of the group from the state of its rank.

        :returns: the map, or ``None`` if the rank's state is unknown or does
            not match it.
        """
        state = self.state
        sets = len(self._experts)
        if state is None or not sets or not self._count_total:
            return None
        initial_map = build_initial_map(
            sets, self._count_total // sets, state.size
        )
        expected = tuple(of_set[state.rank] for of_set in initial_map)
        is_consistent = state.version != 0 or expected == self.list_experts()
        return initial_map if is_consistent else None

    async def _update_shares(self, state: RankState) -> None:
        now = self._clock.monotonic()
        if now < self.counted_at + READ_SECONDS_PER_COUNT * self._count_total:
            return
        counts = await self._engine.read_counts()
        if counts is not None:
            self.counted_at = now
            self._count_total = len(counts)
            self._counts_step = state.step
            life = Incarnation(state.epoch, state.born_ms)
            self._shares.record_counts(counts, life, state.step, state.active)

    async def _update_experts(self, state: RankState) -> bool:
        if self._experts_version == (state.epoch, state.version):
            return False
        experts = await self._engine.read_experts()
        if experts is None:
            return False
        self._experts = experts
        self._experts_version = (state.epoch, state.version)
        return True
