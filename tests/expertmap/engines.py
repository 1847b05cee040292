"""Fake engines that run whatever they are allowed, and their referee."""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreyford.expertmap.maps import MapName
from ospreyford.expertmap.ports import Grant
from ospreyford.ports.weights import Experts
from ospreyford.standins.rankengine import RankEngine


class ConflictingMaps(AssertionError):
    """The promise is broken: two ranks used different maps in a step."""


class MissingWeights(AssertionError):
    """A rank stepped on a map without the weights that the map needs."""


class StaleGenerationRan(AssertionError):
    """A survivor ran a step of a generation after a later one had begun."""


@dataclass
class InvariantChecker:
    """What the engines themselves wrote down.

    The order of generations is judged for as long as a slot has one living
    process. Of two, each may be a member of another generation, and the one
    that no later generation counts runs its granted steps to their end: of
    that promise only the one map in each step is left.
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
    """Runs any granted step, without waiting for the other ranks.

    A real group's collective would hide a wrong grant as a stalled step;
    here each engine goes as far as it may, so that a wrong one shows.
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
        """Run the next step that a grant covers."""
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
