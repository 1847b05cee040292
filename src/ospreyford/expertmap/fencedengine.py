"""The one way of orders to the engine of this host."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ospreyford.expertmap.errors import Superseded
from ospreyford.expertmap.ports import (
    EnginePort,
    EngineStatus,
    Grant,
    OrderOutcome,
)

if TYPE_CHECKING:
    from ospreyford.expertmap.maps import ExpertMap, MapName
    from ospreyford.expertmap.windows import Window
    from ospreyford.ports.weights import Experts

#: An engine has a map in use and one that it changes to.
MAX_LOADED_MAPS = 4

WeightOrder = Callable[['Experts', int], Awaitable[OrderOutcome]]


class FencedEngine:
    """Orders to the engine, one at a time and numbered.

    Two orders under way at once could reach the engine in either order: a
    grant of a generation that was given up, arriving after the halt, would
    set the engine going again. An engine that honours fencing numbers
    refuses it; for one that ignores them this gate never has a second order
    under way.

    :param engine: the engine's port.
    """

    def __init__(self, port: EnginePort) -> None:
        self._port = port
        self._busy = False
        self._fencing = 0
        self._loaded: list[MapName] = []
        self._pending: deque[tuple[int, Window]] = deque()
        self._sent: list[Window] = []

    def has_loaded(self, name: MapName) -> bool:
        """Tell whether the engine holds a map.

        :param name: the map.
        :returns: whether it said that it has loaded it.
        """
        return name in self._loaded

    def reset(self) -> None:
        """Drop what was known of an engine that has been replaced."""
        self._loaded = []
        self._pending.clear()
        self._sent = []

    def list_windows(self, step: int) -> list[Window]:
        """List the windows that the engine may run, or will be granted.

        :param step: the last step that it ran.
        :returns: those that aren't past, the present one included.
        """
        # A grant without an answer counts: the engine may have taken it.
        self._sent = [sent for sent in self._sent if sent.last_step >= step]
        return [*self._sent, *(window for _, window in self._pending)]

    def enqueue(self, generation: int, window: Window) -> None:
        """Note a chosen window to grant.

        :param generation: number of its generation.
        :param window: the window.
        """
        self._pending.append((generation, window))

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's progress.

        :returns: its status, or ``None`` if it can't be reached.
        """
        return await self._port.read_status()

    async def take_over(self) -> EngineStatus | None:
        """Halt an engine that an earlier process may have set going.

        :returns: the status as read *after* the halt, so that its grant is
            the last that the earlier process made; ``None`` to try again.
        """
        status = await self._port.read_status()
        if status is None:
            return None
        self._fencing = max(self._fencing, status.fencing) + 1
        outcome = await self._port.halt(0, self._fencing)
        if outcome is not OrderOutcome.applied:
            return None
        return await self._port.read_status()

    async def halt(self, generation: int) -> bool:
        """Take back every grant.

        :param generation: number of the generation that takes over.
        :returns: whether the engine stands; if not, ask again.
        :raises Superseded: another process orders this engine.
        """
        if self._busy:
            return False
        self._pending.clear()
        self._busy = True
        try:
            outcome = await self._port.halt(generation, self._next_fencing())
        finally:
            self._busy = False
        if self._check_outcome(outcome):
            self._sent = []
            return True
        return False

    async def install_map(self, name: MapName, expert_map: ExpertMap) -> bool:
        """Have the engine load a map.

        :param name: the map's name.
        :param expert_map: the map.
        :returns: whether it is loaded.
        """
        if name in self._loaded:
            return True
        if self._busy:
            return False
        loaded_before = self._loaded
        self._busy = True
        try:
            loaded = await self._port.install_map(
                expert_map, self._next_fencing()
            )
        finally:
            self._busy = False
        # The list is another one if the engine was replaced meanwhile.
        if loaded and loaded_before is self._loaded:
            self._loaded.append(name)
            self._loaded = self._loaded[-MAX_LOADED_MAPS:]
        return name in self._loaded

    async def order_weights(
        self, order: WeightOrder, experts: Experts
    ) -> OrderOutcome:
        """Have the engine load or free experts.

        :param order: the engine's load or drop.
        :param experts: which.
        :returns: what became of it; ``unknown`` also if it was not sent,
            because another order is under way.
        :raises Superseded: another process orders this engine.
        """
        if self._busy:
            return OrderOutcome.unknown
        self._busy = True
        try:
            outcome = await order(experts, self._next_fencing())
        finally:
            self._busy = False
        self._check_outcome(outcome)
        # A grant that came meanwhile would otherwise wait for the next
        # window's, and the group with it.
        await self.send_pending()
        return outcome

    async def send_pending(self) -> None:
        """Send the grants that wait, in order.

        :raises Superseded: another process orders this engine.
        """
        if self._busy:
            return
        self._busy = True
        try:
            await self._send_queued()
        finally:
            self._busy = False

    async def _send_queued(self) -> None:
        while self._pending:
            entry = self._pending[0]
            generation, window = entry
            order = Grant(
                generation,
                self._next_fencing(),
                window.map_name,
                window.first_step,
                window.last_step,
            )
            if window not in self._sent:
                self._sent.append(window)
            if not self._check_outcome(await self._port.grant(order)):
                return
            if self._pending and self._pending[0] is entry:
                self._pending.popleft()

    def _next_fencing(self) -> int:
        self._fencing += 1
        return self._fencing

    def _check_outcome(self, outcome: OrderOutcome) -> bool:
        if outcome is OrderOutcome.refused:
            raise Superseded
        return outcome is OrderOutcome.applied
