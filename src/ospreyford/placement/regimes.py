"""Estimation of recurring popularity regimes, as distinct from drift."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import combinations
from typing import NamedTuple

from ospreyford.placement.estimate import (
    Loads,
    MovingAverageEstimator,
    compute_decay,
    compute_distance,
    interpolate_loads,
)
from ospreyford.placement.layer import LoadScenario


@dataclass(frozen=True)
class Regime:
    """Expert loads and their decayed duration."""

    loads: Loads
    duration_seconds: float


class _Pair(NamedTuple):
    distance: float
    first: int
    second: int


@dataclass
class RecurringRegimes:
    """Clusters reports into a few regimes, weighted by recent duration.

    Recurring swings in demand keep a regime of their own, so that one map can
    serve all of them; drift shifts the regime it occurs in.

    :param max_regimes: upper bound on the regimes kept.
    :param half_life_seconds: half-life of a regime's duration, in seconds.
    :param max_merge_seconds: upper bound on a regime's duration as a weight
        against a new report, in seconds.
    :param smoothing_half_life_seconds: half-life of the reports' moving
        average, in seconds.
    :param current_regime_weight: minimum weight of the current regime, 0 to 1.
    """

    max_regimes: int
    half_life_seconds: float
    max_merge_seconds: float
    smoothing_half_life_seconds: float
    current_regime_weight: float
    current_index: int = 0
    regimes: list[Regime] = field(default_factory=list)
    smoothed: MovingAverageEstimator = field(init=False)

    def __post_init__(self) -> None:
        """Start without reports."""
        self.smoothed = MovingAverageEstimator(self.smoothing_half_life_seconds)

    def observe(self, loads: Loads, elapsed: float) -> None:
        """Update the estimate with a report.

        :param loads: normalized loads of all layers.
        :param elapsed: seconds since the previous report.
        """
        self.smoothed.observe(loads, elapsed)
        decay = compute_decay(elapsed, self.half_life_seconds)
        self.regimes = [
            replace(regime, duration_seconds=regime.duration_seconds * decay)
            for regime in self.regimes
        ]
        newest = Regime(self.smoothed.loads or loads, max(elapsed, 1))
        self.regimes.append(newest)
        self.current_index = len(self.regimes) - 1
        if len(self.regimes) > self.max_regimes:
            self._merge_closest()

    def estimate_layer(self, layer_index: int) -> list[LoadScenario]:
        """Estimate the load scenarios of one layer.

        :param layer_index: index of the layer.
        :returns: one scenario for each regime, with weights that sum to 1.
        """
        total_seconds = sum(regime.duration_seconds for regime in self.regimes)
        past_weight = 1 - self.current_regime_weight
        weights = [
            past_weight * regime.duration_seconds / total_seconds
            for regime in self.regimes
        ]
        weights[self.current_index] += self.current_regime_weight
        return [
            LoadScenario(weight, regime.loads[layer_index])
            for weight, regime in zip(weights, self.regimes, strict=True)
        ]

    def _merge_closest(self) -> None:
        closest = min(
            _Pair(
                compute_distance(
                    self.regimes[first].loads, self.regimes[second].loads
                ),
                first,
                second,
            )
            for first, second in combinations(range(len(self.regimes)), 2)
        )
        second = self.regimes.pop(closest.second)
        first = self.regimes.pop(closest.first)
        first_seconds = min(first.duration_seconds, self.max_merge_seconds)
        weight = second.duration_seconds / (
            first_seconds + second.duration_seconds
        )
        # If the newest regime was merged, it is at the first one's index.
        self.current_index = (
            closest.first
            if closest.second == self.current_index
            else len(self.regimes)
        )
        self.regimes.insert(
            closest.first,
            Regime(
                interpolate_loads(first.loads, second.loads, weight),
                first.duration_seconds + second.duration_seconds,
            ),
        )
