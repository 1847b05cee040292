"""Fake engines, and a checker of the invariants on the steps they run."""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreyford.expertmap.maps import MapName
from ospreyford.expertmap.ports import Grant
from ospreyford.ports.weights import Experts
from ospreyford.standins.rankengine import RankEngine


class ConflictingMaps(AssertionError):
    """Two ranks used different maps in one step."""


class MissingWeights(AssertionError):
    """A rank ran a step without the weights that its map requires."""


class StaleGenerationRan(AssertionError):
    """A member ran a step of a generation after a later one had started."""


@dataclass
class InvariantChecker:
    """Checks the steps that engines run.

    The order of generations is checked only while each slot has one process:
    a replaced one may finish its granted steps in an old generation.
    """

    one_process_per_slot: bool = True
    maps: dict[int, MapName] = field(default_factory=dict)
    generation: int = 0
    checks_weights: bool = False

    def check_map(self, step: int, name: MapName) -> None:
        if self.maps.setdefault(step, name) != name:
            raise ConflictingMaps(step, self.maps[step], name)

    def check_weights(self, step: int, missing: Experts) -> None:
        if self.checks_weights and missing:
            raise MissingWeights(step, missing)

    def check_generation(self, honours: bool, grant: Grant) -> None:
        if not (honours and self.one_process_per_slot):
            return
        if grant.generation < self.generation:
            raise StaleGenerationRan(grant, self.generation)
        self.generation = grant.generation


class FakeEngine(RankEngine):
    """Runs any granted step without waiting for other ranks.

    In a real group the collective would turn a wrong grant into a stall.
    """

    def __init__(
        self,
        checker: InvariantChecker,
        instance: str,
        honours: bool,
        rank: int = 0,
    ) -> None:
        super().__init__(instance, honours, loading_orders=2)
        self.checker = checker
        self.rank = rank

    def run_step(self) -> bool:
        """Run the next granted step."""
        step = self.next_step()
        grant = None if step is None else self.find_grant(step)
        if step is None or grant is None:
            return False
        self.step = step
        self.checker.check_map(step, grant.map_name)
        missing = self.find_lacks(grant.map_name, self.rank)
        self.checker.check_weights(step, missing)
        self.checker.check_generation(self.honours, grant)
        return True
