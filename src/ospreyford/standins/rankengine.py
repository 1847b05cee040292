"""What one rank's engine may do: grants, maps, weights, fencing number."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.ports import EngineStatus, Grant, OrderOutcome
from ospreyford.expertmap.requiredexperts import find_experts
from ospreyford.ports.weights import Expert, Experts, Inventory
from ospreyford.standins.rankmemory import RankMemory


@dataclass
class RankEngine:
    """Takes orders; knows which steps it may run and with which map.

    ``loading_orders`` is how many install orders a map takes to be loaded.
    An engine that doesn't honour fencing numbers takes every order. It steps
    without the weights that it lacks, so that a referee can see it.
    """

    instance: str
    honours: bool = True
    loading_orders: int = 1
    step: int = 0
    granted_step: int = 0
    fencing: int = 0
    grants: list[Grant] = field(default_factory=list)
    installs: dict[MapName, int] = field(default_factory=dict)
    maps: dict[MapName, ExpertMap] = field(default_factory=dict)
    memory: RankMemory = field(default_factory=RankMemory)

    def grant(self, order: Grant) -> OrderOutcome:
        """Take a grant.

        :param order: the grant.
        :returns: ``unknown`` if the map isn't loaded.
        """
        if not self._admit(order.fencing):
            return OrderOutcome.refused
        if not self._has_loaded(order.map_name):
            return OrderOutcome.unknown
        self.grants = [
            grant for grant in self.grants if grant.last_step > self.step
        ]
        self.grants.append(order)
        self.granted_step = max(self.granted_step, order.last_step)
        return OrderOutcome.applied

    def halt(self, fencing: int) -> OrderOutcome:
        """Drop every grant.

        :param fencing: number of the order.
        :returns: what became of it.
        """
        if not self._admit(fencing):
            return OrderOutcome.refused
        self.grants.clear()
        return OrderOutcome.applied

    def install(self, expert_map: ExpertMap, fencing: int) -> bool:
        """Load a map, a little further with each order.

        :param expert_map: the map.
        :param fencing: number of the order.
        :returns: whether it is loaded.
        """
        if not self._admit(fencing):
            return False
        name = expert_map.name()
        self.maps[name] = expert_map
        self.installs[name] = self.installs.get(name, 0) + 1
        return self._has_loaded(name)

    def load(self, experts: Iterable[Expert], fencing: int) -> OrderOutcome:
        """Begin to read experts.

        :param experts: which.
        :param fencing: number of the order.
        :returns: what became of it.
        """
        if not self._admit(fencing):
            return OrderOutcome.refused
        self.memory.enqueue(experts)
        return OrderOutcome.applied

    def drop(self, experts: Iterable[Expert], fencing: int) -> OrderOutcome:
        """Free experts.

        :param experts: which.
        :param fencing: number of the order.
        :returns: what became of it.
        """
        if not self._admit(fencing):
            return OrderOutcome.refused
        self.memory.drop(experts)
        return OrderOutcome.applied

    def read_weights(self) -> Inventory:
        """Tell what is held.

        :returns: the inventory.
        """
        memory = self.memory
        return Inventory(
            instance=self.instance,
            step=self.step,
            held=frozenset(memory.held),
            loading=frozenset(memory.queue),
            refused=memory.refused,
            failed=memory.failed,
            retry_after=memory.retry_after,
            read_bytes=memory.read_bytes,
        )

    def find_lacks(self, name: MapName, rank: int) -> Experts:
        """Tell what a step on a map would miss.

        :param name: the map.
        :param rank: this engine's rank.
        :returns: the experts that the map has here and that aren't held.
        """
        return find_experts(self.maps[name], rank) - self.memory.held

    def read_status(self) -> EngineStatus:
        """Tell the engine's progress.

        :returns: its status; one that ignores fencing knows no number.
        """
        fencing = self.fencing if self.honours else 0
        return EngineStatus(
            self.instance, self.step, self.granted_step, fencing
        )

    def next_step(self) -> int | None:
        """Tell the next step that may run.

        :returns: the step, or ``None`` when the engine stands.
        """
        steps = [
            max(grant.first_step, self.step + 1)
            for grant in self.grants
            if grant.last_step > self.step
        ]
        return min(steps, default=None)

    def find_grant(self, step: int) -> Grant | None:
        """Find the latest grant for a step.

        :param step: the step.
        :returns: the grant, or ``None`` if the step may not run.
        """
        covering = [
            grant
            for grant in self.grants
            if grant.first_step <= step <= grant.last_step
        ]
        return covering[-1] if covering and step > self.step else None

    def _has_loaded(self, name: MapName) -> bool:
        return self.installs.get(name, 0) >= self.loading_orders

    def _admit(self, fencing: int) -> bool:
        if self.honours and fencing <= self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        return True
