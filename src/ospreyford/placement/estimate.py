"""What the reports so far say of the popularity to expect."""

from __future__ import annotations

import math
from array import array
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import starmap
from operator import sub
from typing import Protocol

from ospreyford.placement.layer import LoadScenario

#: Loads of all layers; in each, the mean rank has 1.
Loads = list[Sequence[float]]


class Estimator(Protocol):
    """Turns reports into the popularities to serve."""

    def observe(self, loads: Loads, elapsed: float) -> None:
        """Take in one report.

        :param loads: scaled loads of all layers.
        :param elapsed: seconds since the report before it.
        """

    def estimate_layer(self, layer_index: int) -> list[LoadScenario]:
        """Tell what to expect in one layer.

        :param number: the layer's number.
        :returns: the popularities, their shares adding up to 1.
        """


def normalize_loads(tokens: Sequence[Sequence[float]], ranks: int) -> Loads:
    """Scale each layer so that the mean rank has load 1.

    :param tokens: for each layer, for each expert, its tokens.
    :param ranks: ranks in the group.
    :returns: the loads.
    """
    return [
        array('d', _scale_layer(layer, ranks / sum(layer))) for layer in tokens
    ]


def _scale_layer(layer: Sequence[float], factor: float) -> list[float]:
    return [count * factor for count in layer]


def interpolate_loads(old: Loads, new: Loads, weight: float) -> Loads:
    """Average two loads.

    :param old: the one loads.
    :param new: the other loads.
    :param weight: share of ``new``, 0 to 1.
    :returns: the weighted mean.
    """
    return [
        array(
            'd',
            [
                before + (after - before) * weight
                for before, after in zip(*pair, strict=True)
            ],
        )
        for pair in zip(old, new, strict=True)
    ]


def compute_distance(first: Loads, second: Loads) -> float:
    """Measure how far two popularities are apart.

    :param one: the one loads.
    :param other: the other loads.
    :returns: the sum of absolute differences over all layers.
    """
    return sum(
        sum(map(abs, starmap(sub, zip(*pair, strict=True))))
        for pair in zip(first, second, strict=True)
    )


def compute_decay(elapsed: float, half_life_seconds: float) -> float:
    """Find what is left of a weight that halves steadily.

    :param elapsed: seconds.
    :param half_life: seconds in which it halves.
    :returns: the share left, 0 to 1.
    """
    return math.exp2(-elapsed / half_life_seconds)


@dataclass
class LastReportEstimator:
    """Expects what the last report says; noise and all."""

    loads: Loads | None = None

    def observe(self, loads: Loads, elapsed: float) -> None:
        """Take in one report.

        :param loads: scaled loads of all layers.
        :param elapsed: seconds since the report before it.
        """
        self.loads = loads

    def estimate_layer(self, layer_index: int) -> list[LoadScenario]:
        """Tell what to expect in one layer.

        :param number: the layer's number.
        :returns: the last report's popularity.
        """
        return [LoadScenario(1, self.loads[layer_index])] if self.loads else []


@dataclass
class MovingAverageEstimator:
    """Expects the exponential moving average of the reports."""

    half_life_seconds: float
    loads: Loads | None = None

    def observe(self, loads: Loads, elapsed: float) -> None:
        """Take in one report.

        :param loads: scaled loads of all layers.
        :param elapsed: seconds since the report before it.
        """
        weight = 1 - compute_decay(elapsed, self.half_life_seconds)
        self.loads = (
            interpolate_loads(self.loads, loads, weight)
            if self.loads
            else loads
        )

    def estimate_layer(self, layer_index: int) -> list[LoadScenario]:
        """Tell what to expect in one layer.

        :param number: the layer's number.
        :returns: the averaged popularity.
        """
        return [LoadScenario(1, self.loads[layer_index])] if self.loads else []
