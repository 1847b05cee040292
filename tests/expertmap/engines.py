"""Fake engines that run whatever they are allowed, and their referee."""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.ports import EngineStatus, Grant, OrderOutcome


class TwoMapsInOneStep(AssertionError):
    """The promise is broken: two ranks used different maps in a step."""


class OldGenerationRan(AssertionError):
    """A survivor ran a step of a generation after a later one had begun."""


@dataclass
class Referee:
    """What the engines themselves wrote down.

    The order of generations is judged for as long as a slot has one living
    process. Of two, each may be a member of another generation, and the one
    that no later generation counts runs its granted steps to their end: of
    that promise only the one map in each step is left.
    """

    one_process_a_slot: bool = True
    maps: dict[int, MapName] = field(default_factory=dict)
    generation: int = 0

    def note(self, step: int, name: MapName) -> None:
        if self.maps.setdefault(step, name) != name:
            raise TwoMapsInOneStep(step, self.maps[step], name)

    def note_generation(self, honours: bool, grant: Grant) -> None:
        if not (honours and self.one_process_a_slot):
            return
        if grant.generation < self.generation:
            raise OldGenerationRan(grant, self.generation)
        self.generation = grant.generation


@dataclass
class FakeEngine:
    """Runs any granted step, without waiting for the other ranks.

    A real group's collective would hide a wrong grant as a stalled step;
    here each engine goes as far as it may, so that a wrong one shows.
    """

    referee: Referee
    instance: str
    honours: bool = True
    step: int = 0
    granted_step: int = 0
    fencing: int = 0
    grants: list[Grant] = field(default_factory=list)
    loaded: set[MapName] = field(default_factory=set)
    asked: set[MapName] = field(default_factory=set)

    def grant(self, order: Grant) -> OrderOutcome:
        if not self._admit(order.fencing):
            return OrderOutcome.refused
        if order.map_name not in self.loaded:
            return OrderOutcome.unknown
        self.grants.append(order)
        self.granted_step = max(self.granted_step, order.last_step)
        return OrderOutcome.applied

    def halt(self, generation: int, fencing: int) -> OrderOutcome:
        if not self._admit(fencing):
            return OrderOutcome.refused
        self.grants.clear()
        return OrderOutcome.applied

    def install(self, expert_map: ExpertMap, fencing: int) -> bool:
        if not self._admit(fencing):
            return False
        name = expert_map.name()
        if name in self.asked:
            self.loaded.add(name)
        self.asked.add(name)
        return name in self.loaded

    def read_status(self) -> EngineStatus:
        fencing = self.fencing if self.honours else 0
        return EngineStatus(
            self.instance, self.step, self.granted_step, fencing
        )

    def run_step(self) -> bool:
        """Run the next step that a grant covers."""
        grant = self._next_grant()
        if grant is None:
            return False
        self.step = max(self.step + 1, grant.first_step)
        self.referee.note(self.step, grant.map_name)
        self.referee.note_generation(self.honours, grant)
        return True

    def _next_grant(self) -> Grant | None:
        # The latest order for a step stands.
        usable = [grant for grant in self.grants if grant.last_step > self.step]
        if not usable:
            return None
        first = min(max(grant.first_step, self.step + 1) for grant in usable)
        covering = [grant for grant in usable if grant.first_step <= first]
        return covering[-1]

    def _admit(self, fencing: int) -> bool:
        if self.honours and fencing <= self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        return True
