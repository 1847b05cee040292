"""Readiness of a member's engine to step on a map."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.expertmap.errors import Superseded
from ospreyford.expertmap.messages import Install, Installed, Refused, Response
from ospreyford.expertmap.weights import RequiredMaps

if TYPE_CHECKING:
    from ospreyford.expertmap.acceptor import RankAcceptor
    from ospreyford.expertmap.fencedengine import FencedEngine
    from ospreyford.expertmap.maps import MapCache, MapName
    from ospreyford.expertmap.weights import MemberWeights
    from ospreyford.expertmap.windows import Ballot


class Readiness:
    """Installs maps and their weights on a member's engine.

    :param engine: the fenced engine.
    :param maps: the maps held by this process.
    :param weights: loads and drops; ``None`` for an engine that loads weights
        on its own.
    """

    def __init__(
        self,
        engine: FencedEngine,
        maps: MapCache,
        weights: MemberWeights | None,
    ) -> None:
        self.weights = weights
        self.forming = False
        self._engine = engine
        self._maps = maps

    def is_ready(self, name: MapName) -> bool:
        """Return whether the engine can step on a map.

        :param name: the map.
        :returns: whether the map and the weights it needs are loaded.
        """
        # Missing expert weights would corrupt the whole group's step.
        if self.weights is not None and not self.weights.holds(name):
            return False
        return self._engine.has_loaded(name)

    async def install(
        self, request: Install, promised: Ballot, incarnation: int
    ) -> Response | None:
        """Continue installing a map.

        :param request: the map and the read credit for it.
        :param promised: the ballot that this member promised.
        :param incarnation: this member's incarnation.
        :returns: the progress; ``None`` for a stale request.
        """
        credit = request.credit
        if credit is not None:
            if credit.ballot < promised or credit.incarnation != incarnation:
                return Refused(promised)
            if self.weights and not self.weights.apply_credit(credit):
                # A stale request would set an older target map.
                return None
        name = request.name
        if request.expert_map is not None and request.expert_map.name() == name:
            self._maps.put(request.expert_map)
        expert_map = self._maps.find(name)
        if expert_map is None:
            return Installed(held=False, loaded=False)
        if credit is not None and self.weights is not None:
            self.weights.required.select_target(name, expert_map)
            if not self.weights.holds(name):
                credits_needed = self.weights.count_credits_needed()
                return Installed(
                    held=True, loaded=False, credits_needed=credits_needed
                )
        await self._engine.install_map(name, expert_map)
        return Installed(held=True, loaded=self.is_ready(name))

    def reset(self) -> None:
        """Clear the state of an engine that has been replaced."""
        self._engine.reset()
        if self.weights is not None:
            self.weights.reset()

    async def reconcile_weights(self, acceptor: RankAcceptor) -> None:
        """Order the loads and drops that are due.

        :param acceptor: this member.
        """
        if self.weights is None or acceptor.superseded:
            return
        try:
            await self.weights.reconcile(
                lambda: acceptor.instance,
                lambda step: self._find_required(step, acceptor),
            )
        except Superseded:
            acceptor.superseded = True

    def _find_required(self, step: int, acceptor: RankAcceptor) -> RequiredMaps:
        windows = self._engine.list_windows(step)
        required_windows = list(windows)
        if acceptor.vote is not None:
            required_windows.append(acceptor.vote.window)
        return RequiredMaps(
            names=frozenset(window.map_name for window in required_windows),
            active=any(
                window.first_step <= step <= window.last_step
                for window in windows
            ),
            halted=not windows,
        )
