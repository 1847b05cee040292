"""How much better the best split of load over replicas would be."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import repeat
from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.measure.drift import Tokens
from ospreyford.placement.estimate import normalize_loads
from ospreyford.placement.map import LayerMap


class _Replica(NamedTuple):
    expert: int
    rank: int


def measure_split_skew(current: ExpertMap, truth: Tokens, ranks: int) -> float:
    """Measure the skew if each expert's load were split at will.

    A linear programme per layer: minimise the peak over the shares of each
    replica. An engine that splits evenly cannot reach it; it bounds what a
    weighted split would bring.

    :param current: the map in force.
    :param truth: for each layer, for each expert, its tokens.
    :param ranks: ranks in the group.
    :returns: the least skew of this map.
    """
    peaks = [
        _solve_layer(layer, loads, ranks)
        for layer, loads in zip(
            current.layers, normalize_loads(truth, ranks), strict=True
        )
    ]
    return sum(peaks) / len(peaks) - 1


def _solve_layer(layer: LayerMap, loads: Sequence[float], ranks: int) -> float:
    replicas = [
        _Replica(expert, rank)
        for expert, holders in enumerate(layer)
        for rank in holders
    ]
    on_rank = np.zeros((ranks, len(replicas)))
    of_expert = np.zeros((len(layer), len(replicas)))
    for column, replica in enumerate(replicas):
        on_rank[replica.rank, column] = 1
        of_expert[replica.expert, column] = 1
    # The last variable is the peak: no rank's load may be above it.
    solved = linprog(
        [*repeat(0, len(replicas)), 1],
        A_ub=np.hstack((on_rank, -np.ones((ranks, 1)))),
        b_ub=list(repeat(0, ranks)),
        A_eq=np.hstack((of_expert, np.zeros((len(layer), 1)))),
        b_eq=loads,
        method='highs',
    )
    return float(solved.fun)
