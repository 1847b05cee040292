"""Serialized, fenced orders to the local engine."""

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

MAX_LOADED_MAPS = 4

WeightOrder = Callable[['Experts', int], Awaitable[OrderOutcome]]


class FencedEngine:
    """Sends orders to the engine one at a time, with fencing numbers.

    A grant reordered after a halt would restart the engine. Fencing numbers
    prevent this; one order in flight covers engines that ignore them.

    :param port: the engine's port.
    """

    def __init__(self, port: EnginePort) -> None:
        self._port = port
        self._busy = False
        self._fencing = 0
        self._loaded: list[MapName] = []
        self._pending: deque[tuple[int, Window]] = deque()
        self._sent: list[Window] = []

    def has_loaded(self, name: MapName) -> bool:
        """Return whether the engine has loaded a map.

        :param name: the map.
        :returns: whether it has confirmed the load.
        """
        return name in self._loaded

    def reset(self) -> None:
        """Clear the state of an engine that has been replaced."""
        self._loaded = []
        self._pending.clear()
        self._sent = []

    def list_windows(self, step: int) -> list[Window]:
        """List the unfinished windows, granted or queued.

        :param step: the last step that the engine ran.
        :returns: the windows that end at or after the step.
        """
        # An unconfirmed grant counts: it may have been applied.
        self._sent = [sent for sent in self._sent if sent.last_step >= step]
        return [*self._sent, *(window for _, window in self._pending)]

    def enqueue(self, generation: int, window: Window) -> None:
        """Queue a chosen window for granting.

        :param generation: number of its generation.
        :param window: the window.
        """
        self._pending.append((generation, window))

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's progress.

        :returns: its status, or ``None`` if it is unreachable.
        """
        return await self._port.read_status()

    async def take_over(self) -> EngineStatus | None:
        """Halt an engine that an earlier process may have started.

        :returns: the status read *after* the halt, which includes every
            earlier grant; ``None`` if the caller must retry.
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
        """Revoke every grant.

        :param generation: number of the new generation.
        :returns: whether the engine halted; if not, retry.
        :raises Superseded: another process controls this engine.
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
        """Load a map into the engine.

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
        # ``reset`` replaces the list if the engine was replaced meanwhile.
        if loaded and loaded_before is self._loaded:
            self._loaded.append(name)
            self._loaded = self._loaded[-MAX_LOADED_MAPS:]
        return name in self._loaded

    async def order_weights(
        self, order: WeightOrder, experts: Experts
    ) -> OrderOutcome:
        """Send a load or drop of experts.

        :param order: the engine's load or drop.
        :param experts: the experts.
        :returns: the outcome; ``unknown`` also if another order is in flight
            and this one was not sent.
        :raises Superseded: another process controls this engine.
        """
        if self._busy:
            return OrderOutcome.unknown
        self._busy = True
        try:
            outcome = await order(experts, self._next_fencing())
        finally:
            self._busy = False
        self._check_outcome(outcome)
        # Grants queued meanwhile must not wait for the next window.
        await self.send_pending()
        return outcome

    async def send_pending(self) -> None:
        """Send the queued grants in order.

        :raises Superseded: another process controls this engine.
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
