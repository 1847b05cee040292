"""Which maps a member's engine can step on: installed, weights and all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.expertmap.errors import Superseded
from ospreyford.expertmap.messages import Answer, Install, Installed, Refused
from ospreyford.expertmap.weights import Needed

if TYPE_CHECKING:
    from ospreyford.expertmap.gate import EngineGate
    from ospreyford.expertmap.keeper import RankKeeper
    from ospreyford.expertmap.maps import MapName, MapShelf
    from ospreyford.expertmap.weights import MemberWeights
    from ospreyford.expertmap.windows import Ballot


class Readiness:
    """Brings a member's engine to where it can step on a map.

    :param gate: the way to the engine.
    :param maps: the maps that are held here.
    :param weights: loads and drops; ``None`` for an engine that sees to its
        weights itself when it is given a map.
    """

    def __init__(
        self,
        gate: EngineGate,
        maps: MapShelf,
        weights: MemberWeights | None,
    ) -> None:
        self.weights = weights
        self.forming = False
        self._gate = gate
        self._maps = maps

    def is_ready(self, name: MapName) -> bool:
        """Tell whether the engine can step on a map.

        :param name: the map.
        :returns: whether it has loaded the map and all weights it needs.
        """
        # A rank that stepped without an expert's weights would answer for
        # that expert with nothing or with rubbish, in the whole group's step.
        if self.weights is not None and not self.weights.holds(name):
            return False
        return self._gate.has_loaded(name)

    async def install(
        self, question: Install, promised: Ballot, incarnation: int
    ) -> Answer | None:
        """Go on towards a map.

        :param question: which one, and what may be read for it.
        :param promised: the ballot that this member promised.
        :param incarnation: this member's life.
        :returns: how far it is.
        """
        leave = question.leave
        if leave is not None:
            if leave.ballot < promised or leave.incarnation != incarnation:
                return Refused(promised)
            if self.weights and not self.weights.take_leave(leave):
                # A late one would turn the engine back to an older plan.
                return None
        name = question.name
        if question.body is not None and question.body.name() == name:
            self._maps.put(question.body)
        expert_map = self._maps.find(name)
        if expert_map is None:
            return Installed(held=False, loaded=False)
        if leave is not None and self.weights is not None:
            self.weights.wants.aim(name, expert_map)
            if not self.weights.holds(name):
                wants = self.weights.count_wants()
                return Installed(held=True, loaded=False, wants=wants)
        await self._gate.install_map(name, expert_map)
        return Installed(held=True, loaded=self.is_ready(name))

    def forget(self) -> None:
        """Drop what was known of an engine that has been replaced."""
        self._gate.forget()
        if self.weights is not None:
            self.weights.forget()

    async def tend(self, keeper: RankKeeper) -> None:
        """Have the engine load what is due and free what has become spare.

        :param keeper: this member.
        """
        if self.weights is None or keeper.superseded:
            return
        try:
            await self.weights.tend(
                lambda: keeper.instance,
                lambda step: self._find_needed(step, keeper),
            )
        except Superseded:
            keeper.superseded = True

    def _find_needed(self, step: int, keeper: RankKeeper) -> Needed:
        windows = self._gate.list_windows(step)
        agreed = list(windows)
        if keeper.vote is not None:
            agreed.append(keeper.vote.window)
        return Needed(
            names=frozenset(window.map_name for window in agreed),
            in_force=any(
                window.first_step <= step <= window.last_step
                for window in windows
            ),
            halted=not windows,
        )
