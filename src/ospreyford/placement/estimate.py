"""Estimation of expert popularity from load reports."""

from __future__ import annotations

import math
from array import array
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import starmap
from operator import sub
from typing import Protocol

from ospreyford.placement.layer import LoadScenario

#: Expert loads by layer, normalized to a mean rank load of 1.
Loads = list[Sequence[float]]


class Estimator(Protocol):
    """Estimates future expert popularity from load reports."""

    def observe(self, loads: Loads, elapsed: float) -> None:
        """Update the estimate with a report.

        :param loads: normalized loads of all layers.
        :param elapsed: seconds since the previous report.
        """

    def estimate_layer(self, layer_index: int) -> list[LoadScenario]:
        """Estimate the load scenarios of one layer.

        :param layer_index: index of the layer.
        :returns: the scenarios, with weights that sum to 1.
        """


def normalize_loads(tokens: Sequence[Sequence[float]], ranks: int) -> Loads:
    """Normalize each layer to a mean rank load of 1.

    :param tokens: tokens by layer and expert.
    :param ranks: number of ranks in the group.
    :returns: the normalized loads.
    """
    return [
        array('d', _scale_layer(layer, ranks / sum(layer))) for layer in tokens
    ]


def _scale_layer(layer: Sequence[float], factor: float) -> list[float]:
    return [count * factor for count in layer]


def interpolate_loads(old: Loads, new: Loads, weight: float) -> Loads:
    """Interpolate linearly between two sets of loads.

    :param old: loads at weight 0.
    :param new: loads at weight 1.
    :param weight: weight of ``new``, 0 to 1.
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
    """Compute the L1 distance between two sets of loads.

    :param first: loads of all layers.
    :param second: loads of all layers.
    :returns: the sum of absolute differences over all layers.
    """
    return sum(
        sum(map(abs, starmap(sub, zip(*pair, strict=True))))
        for pair in zip(first, second, strict=True)
    )


def compute_decay(elapsed: float, half_life_seconds: float) -> float:
    """Compute the exponential decay factor of a weight.

    :param elapsed: seconds.
    :param half_life_seconds: half-life of the weight, in seconds.
    :returns: the factor, 0 to 1.
    """
    return math.exp2(-elapsed / half_life_seconds)


@dataclass
class LastReportEstimator:
    """Uses the last report without smoothing."""

    loads: Loads | None = None

    def observe(self, loads: Loads, elapsed: float) -> None:
        """Update the estimate with a report.

        :param loads: normalized loads of all layers.
        :param elapsed: seconds since the previous report.
        """
        self.loads = loads

    def estimate_layer(self, layer_index: int) -> list[LoadScenario]:
        """Estimate the load scenarios of one layer.

        :param layer_index: index of the layer.
        :returns: the last report's loads; empty before the first report.
        """
        return [LoadScenario(1, self.loads[layer_index])] if self.loads else []


@dataclass
class MovingAverageEstimator:
    """Uses the exponential moving average of the reports."""

    half_life_seconds: float
    loads: Loads | None = None

    def observe(self, loads: Loads, elapsed: float) -> None:
        """Update the estimate with a report.

        :param loads: normalized loads of all layers.
        :param elapsed: seconds since the previous report.
        """
        weight = 1 - compute_decay(elapsed, self.half_life_seconds)
        self.loads = (
            interpolate_loads(self.loads, loads, weight)
            if self.loads
            else loads
        )

    def estimate_layer(self, layer_index: int) -> list[LoadScenario]:
        """Estimate the load scenarios of one layer.

        :param layer_index: index of the layer.
        :returns: the averaged loads; empty before the first report.
        """
        return [LoadScenario(1, self.loads[layer_index])] if self.loads else []
