"""Popularities that come back, told apart from drift."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import combinations
from typing import NamedTuple

from ospreyford.placement.estimate import (
    Loads,
    MovingAverage,
    find_decay,
    measure_distance,
    mix_loads,
)
from ospreyford.placement.layer import Expected


@dataclass(frozen=True)
class Regime:
    """One popularity and how long it lasted, older time counting less."""

    loads: Loads
    seconds: float


class _Pair(NamedTuple):
    distance: float
    one: int
    other: int


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

    most: int
    half_life: float
    inertia: float
    smoothing: float
    focus: float
    present: int = 0
    regimes: list[Regime] = field(default_factory=list)
    recent: MovingAverage = field(init=False)

    def __post_init__(self) -> None:
        """Start without reports."""
        self.recent = MovingAverage(self.smoothing)

    def observe(self, loads: Loads, elapsed: float) -> None:
        """Take in one report.

        :param loads: scaled loads of all layers.
        :param elapsed: seconds since the report before it.
        """
        self.recent.observe(loads, elapsed)
        decay = find_decay(elapsed, self.half_life)
        self.regimes = [
            replace(regime, seconds=regime.seconds * decay)
            for regime in self.regimes
        ]
        newest = Regime(self.recent.loads or loads, max(elapsed, 1))
        self.regimes.append(newest)
        self.present = len(self.regimes) - 1
        if len(self.regimes) > self.most:
            self._merge_nearest()

    def expect(self, number: int) -> list[Expected]:
        """Tell what to expect in one layer.

        :param number: the layer's number.
        :returns: each regime's popularity and share of the time.
        """
        total = sum(regime.seconds for regime in self.regimes)
        past = 1 - self.focus
        shares = [past * regime.seconds / total for regime in self.regimes]
        shares[self.present] += self.focus
        return [
            Expected(share, regime.loads[number])
            for share, regime in zip(shares, self.regimes, strict=True)
        ]

    def _merge_nearest(self) -> None:
        nearest = min(
            _Pair(
                measure_distance(
                    self.regimes[one].loads, self.regimes[other].loads
                ),
                one,
                other,
            )
            for one, other in combinations(range(len(self.regimes)), 2)
        )
        other = self.regimes.pop(nearest.other)
        one = self.regimes.pop(nearest.one)
        past = min(one.seconds, self.inertia)
        weight = other.seconds / (past + other.seconds)
        # The newest is the last one; merged, it is at the place of the other.
        self.present = (
            nearest.one if nearest.other == self.present else len(self.regimes)
        )
        self.regimes.insert(
            nearest.one,
            Regime(
                mix_loads(one.loads, other.loads, weight),
                one.seconds + other.seconds,
            ),
        )
