"""When expert maps change: never, seldom, or at the pace of the load."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Protocol

from ospreyford.measure.demand import Passes, Scene
from ospreyford.rebalance.group import ExpertMap
from ospreyford.rebalance.loads import (
    Incarnation,
    QuantizedLoad,
    ShareTracker,
    sum_loads_by_set,
)
from ospreyford.rebalance.planner import Plan, PlanLimits, Planner
from ospreyford.rebalance.settings import RebalanceSettings

#: How often the long-term placement plans, in seconds.
LONG_SECONDS = 300.0
UNLIMITED = 10_000

Loads = list[list[float]]


class Policy(Protocol):
    """Decides when maps change."""

    name: str

    def take(self, at: float, chosen: Passes) -> None:
        """Take the counts of a pass.

        :param at: its end, in seconds.
        :param chosen: its counts, by rank and set.
        """

    def plan(self, at: float, experts: ExpertMap) -> Plan | None:
        """Plan a change.

        :param at: seconds since the start.
        :param experts: the map in force.
        :returns: the plan, if there is one.
        """


@dataclass
class NoMaps:
    """Keeps the first map."""

    scene: Scene
    name: str = 'no maps'

    def take(self, at: float, chosen: Passes) -> None:
        """Take nothing."""

    def plan(self, at: float, experts: ExpertMap) -> None:
        """Plan nothing."""


@dataclass
class LongTerm:
    """Plans seldom, from all counts since the last plan."""

    scene: Scene
    name: str = 'every 300 s'
    _planned_at: float = 0
    _seen: Passes = field(default_factory=list)

    def take(self, at: float, chosen: Passes) -> None:
        """Add up the counts."""
        merged: list[Counter[int]] = [Counter() for _ in range(self.scene.sets)]
        for of_rank in (*self._seen, *chosen):
            for total, counter in zip(merged, of_rank, strict=True):
                total.update(counter)
        self._seen = [merged]

    def plan(self, at: float, experts: ExpertMap) -> Plan | None:
        """Plan once the time is over."""
        if at - self._planned_at < LONG_SECONDS:
            return None
        self._planned_at = at
        loads = list_loads(self.scene, self._seen)
        self._seen = []
        return plan_freely(self.scene, loads, experts)


@dataclass
class PaceOfLoad:
    """Plans as the coordinator does, from the shares that agents report."""

    scene: Scene
    name: str = 'pace of the load'
    _pace: RebalanceSettings = field(default_factory=RebalanceSettings)
    _trackers: list[ShareTracker] = field(default_factory=list)
    _counts: list[list[int]] = field(default_factory=list)
    _step: int = 0

    def __post_init__(self) -> None:
        """Begin with one tracker a rank."""
        size = self.scene.sets * self.scene.experts
        ranks = range(self.scene.ranks)
        self._trackers = [ShareTracker() for _ in ranks]
        self._counts = [[0 for _ in range(size)] for _ in ranks]

    def take(self, at: float, chosen: Passes) -> None:
        """Count on, as a rank does, and have its agent look."""
        self._step += 1
        for counts, tracker, of_rank in zip(
            self._counts, self._trackers, chosen, strict=True
        ):
            for number, counter in enumerate(of_rank):
                start = number * self.scene.experts
                for expert, times in counter.items():
                    counts[start + expert] += times
            tracker.record_counts(
                tuple(counts), Incarnation(1), self._step, self._tell_writing()
            )

    def plan(self, at: float, experts: ExpertMap) -> Plan | None:
        """Plan under the limits of a change."""
        parts: dict[int, QuantizedLoad] = {}
        for rank, tracker in enumerate(self._trackers):
            shares = tracker.quantize(self._tell_writing())
            if shares is not None:
                parts[rank] = shares
        loads = sum_loads_by_set(parts.values(), self.scene.sets)
        if not loads or not any(loads[0]):
            return None
        limits = PlanLimits(
            places=self.scene.places,
            spare=self.scene.spare,
            copies=self._pace.copies,
            least_gain=self._pace.least_gain,
            copy_cost=self._pace.copy_cost / self.scene.ranks,
        )
        return Planner(loads, experts, limits).plan()

    def _tell_writing(self) -> int:
        return max(self.scene.running // self.scene.ranks, 1)


def list_loads(scene: Scene, chosen: Passes) -> Loads:
    """Add up counts.

    :param scene: the group.
    :param chosen: by rank and set.
    :returns: for each set, the load of each expert.
    """
    return [
        [
            float(sum(of_rank[number][expert] for of_rank in chosen))
            for expert in range(scene.experts)
        ]
        for number in range(scene.sets)
    ]


def plan_freely(scene: Scene, loads: Loads, experts: ExpertMap) -> Plan | None:
    """Plan without limits but the places.

    :param scene: the group.
    :param loads: what is to be balanced.
    :param experts: the map in force.
    :returns: the plan, or ``None`` if no move pays.
    """
    limits = PlanLimits(scene.places, UNLIMITED, UNLIMITED, 0, 0)
    return Planner(loads, experts, limits).plan()
