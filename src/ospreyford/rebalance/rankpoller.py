"""Polling of the rank on an agent's host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.decisions import RankChanged

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.rebalance.group import RankState
    from ospreyford.rebalance.ports import EnginePort

#: Consecutive failed polls after which the rank is considered lost.
MAX_MISSED_POLLS = 4


class RankPoller:
    """Polls a rank's state, whichever group it belongs to.

    :param engine: the rank.
    :param log: event log.

    ``state`` is the last state, or ``None`` once the rank is lost.
    """

    def __init__(self, engine: EnginePort, log: ChangeLog) -> None:
        self.state: RankState | None = None
        self._engine = engine
        self._log = log
        self._missed_polls = 0

    async def poll(self) -> RankState | None:
        """Poll the rank once.

        :returns: its state, or ``None`` without an answer.
        """
        state = await self._engine.read_state()
        if state is None:
            self._record_miss()
            return None
        self._missed_polls = 0
        previous = self.state
        self.state = state
        self._log_difference(previous, state)
        return state

    def _record_miss(self) -> None:
        self._missed_polls += 1
        if self._missed_polls == MAX_MISSED_POLLS and self.state is not None:
            self._log_change(self.state, 'lost')
            self.state = None

    def _log_difference(
        self, previous: RankState | None, state: RankState
    ) -> None:
        if previous is None or (previous.group, previous.epoch) != (
            state.group,
            state.epoch,
        ):
            self._log_change(state, 'seen')
        elif previous.is_open != state.is_open:
            self._log_change(state, 'open' if state.is_open else 'broken')

    def _log_change(self, state: RankState, change: str) -> None:
        self._log.log_change(
            RankChanged(
                state.group, state.rank, state.epoch, state.is_open, change
            )
        )
