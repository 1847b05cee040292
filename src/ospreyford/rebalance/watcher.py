"""What an agent sees of the rank beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.decisions import RankChanged
from ospreyford.rebalance.loads import Life, ShareTracker
from ospreyford.rebalance.messages import Counts

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.rebalance.group import RankExperts, RankState
    from ospreyford.rebalance.ports import EnginePort

#: Looks in a row without an answer after which the rank counts as gone.
LOST_LOOKS = 4


class RankWatcher:
    """Looks at a rank: its state, its map and what its requests choose.

    :param engine: the rank.
    :param log: where changes go.
    """

    def __init__(self, engine: EnginePort, log: ChangeLog) -> None:
        self.state: RankState | None = None
        self._engine = engine
        self._log = log
        self._shares = ShareTracker()
        self._experts: RankExperts = ()
        self._experts_of: tuple[int, int] | None = None
        self._missed = 0

    async def look(self) -> bool:
        """Look once.

        :returns: whether the rank has changed its map since the last look.
        """
        state = await self._engine.read_state()
        if state is None:
            self._note_miss()
            return False
        self._missed = 0
        before = self.state
        self.state = state
        self._log_difference(before, state)
        if before is None or before.step != state.step:
            await self._learn_shares(state)
        return await self._learn_experts(state)

    def count_ranks(self) -> int:
        """Count the ranks of the group.

        :returns: how many there are; 1 where that is not known yet.
        """
        return 1 if self.state is None else self.state.size

    def make_report(self) -> Counts | None:
        """Make a report for the coordinator.

        :returns: the report, or ``None`` if the rank does not answer.
        """
        if self.state is None:
            return None
        shares = self._shares.pack(self.state.active)
        is_known = self._experts_of == (self.state.epoch, self.state.version)
        return Counts(
            self.state,
            self._experts if is_known else (),
            None if shares is None else shares.pack_large(),
        )

    def _note_miss(self) -> None:
        self._missed += 1
        if self._missed == LOST_LOOKS and self.state is not None:
            self._log_change(self.state, 'lost')
            self.state = None

    def _log_difference(
        self, before: RankState | None, state: RankState
    ) -> None:
        if before is None or before.epoch != state.epoch:
            self._log_change(state, 'seen')
        elif before.is_open != state.is_open:
            self._log_change(state, 'open' if state.is_open else 'broken')

    async def _learn_shares(self, state: RankState) -> None:
        counts = await self._engine.read_counts()
        if counts is not None:
            life = Life(state.epoch, state.born_ms)
            self._shares.take(counts, life, state.step, state.active)

    async def _learn_experts(self, state: RankState) -> bool:
        if self._experts_of == (state.epoch, state.version):
            return False
        experts = await self._engine.read_experts()
        if experts is None:
            return False
        self._experts = experts
        self._experts_of = (state.epoch, state.version)
        return True

    def _log_change(self, state: RankState, change: str) -> None:
        self._log.log_change(
            RankChanged(
                state.group, state.rank, state.epoch, state.is_open, change
            )
        )
