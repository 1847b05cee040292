"""Popularities that come back, told apart from drift."""

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
    """One popularity and how long it lasted, older time counting less."""

    loads: Loads
    duration_seconds: float


class _Pair(NamedTuple):
    distance: float
    first: int
    second: int


@dataclass
class RecurringRegimes:
    """Expects each of a few popularities for its recent share of the time.

    A departure bank is a sharp swing that comes back. An average of all
    reports fits neither the bank nor the quiet hours, and the last report
    moves experts twice for each bank. Here the two stay apart, and one map is
    sought that serves both; drift moves a regime along with it.

    :param most: most regimes kept.
    :param half_life: seconds in which a regime's past time halves.
    :param inertia: seconds of a regime that weigh against a new report.
    :param smoothing: half-life of the reports' moving average, in seconds.
    :param focus: share of the coming time that the present regime is given
        before past time is looked at, 0 to 1.
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
        """Take in one report.

        :param loads: scaled loads of all layers.
        :param elapsed: seconds since the report before it.
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
        """Tell what to expect in one layer.

        :param number: the layer's number.
        :returns: each regime's popularity and share of the time.
        """
        total_seconds = sum(regime.duration_seconds for regime in self.regimes)
        past_weight = 1 - self.current_regime_weight
        weights = [
            past_weight * regime.duration_seconds / total_seconds
            for regime in self.regimes
        ]
        weights[self.current_index] += self.current_regime_weight
        return [
            LoadScenario(share, regime.loads[layer_index])
            for share, regime in zip(weights, self.regimes, strict=True)
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
        other = self.regimes.pop(closest.second)
        one = self.regimes.pop(closest.first)
        first_seconds = min(one.duration_seconds, self.max_merge_seconds)
        weight = other.duration_seconds / (
            first_seconds + other.duration_seconds
        )
        # The newest is the last one; merged, it is at the place of the other.
        self.current_index = (
            closest.first
            if closest.second == self.current_index
            else len(self.regimes)
        )
        self.regimes.insert(
            closest.first,
            Regime(
                interpolate_loads(one.loads, other.loads, weight),
                one.duration_seconds + other.duration_seconds,
            ),
        )
