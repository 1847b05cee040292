"""Mutable model of one layer's rank loads, used by the local search."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from itertools import repeat
from typing import NamedTuple

from ospreyford.placement.map import LayerMap, count_experts_per_rank


class LoadScenario(NamedTuple):
    """Expert loads expected for a fraction of the time.

    :param weight: fraction of the time, 0 to 1.
    :param loads: load of each expert, normalized to a mean rank load of 1.
    """

    weight: float
    loads: Sequence[float]


class LayerState:
    """Loads and memory of the ranks in one layer.

    :param layer: for each expert, the ranks that hold it.
    :param scenarios: the expected load scenarios.
    :param ranks: number of ranks in the group.
    """

    def __init__(
        self, layer: LayerMap, scenarios: Sequence[LoadScenario], ranks: int
    ) -> None:
        self.holders = [set(holders) for holders in layer]
        self.scenarios = scenarios
        self.experts_by_rank: list[set[int]] = [set() for _ in range(ranks)]
        #: Slots used on each rank while old and new weights coexist.
        self.used_slots = count_experts_per_rank(layer, ranks)
        self.rank_loads = [
            array('d', repeat(0, ranks)) for _ in range(len(scenarios))
        ]
        for expert, holders in enumerate(layer):
            for rank in holders:
                self.experts_by_rank[rank].add(expert)
            self._update_rank_loads(expert, 1)

    def compute_peak(self) -> float:
        """Compute the expected load of the most loaded rank.

        :returns: the mean over the scenarios; 1 is perfectly balanced.
        """
        return sum(
            each.weight * max(loads)
            for each, loads in zip(self.scenarios, self.rank_loads, strict=True)
        )

    def add_replica(self, expert: int, rank: int) -> None:
        """Add a replica; the expert's load is split evenly over its replicas.

        :param expert: the expert.
        :param rank: a rank that does not hold it.
        """
        self._update_rank_loads(expert, -1)
        self.holders[expert].add(rank)
        self._update_rank_loads(expert, 1)
        self.experts_by_rank[rank].add(expert)

    def remove_replica(self, expert: int, rank: int) -> None:
        """Remove a replica from a rank.

        :param expert: an expert with at least two replicas.
        :param rank: a rank that holds it.
        """
        self._update_rank_loads(expert, -1)
        self.holders[expert].discard(rank)
        self._update_rank_loads(expert, 1)
        self.experts_by_rank[rank].discard(expert)

    def to_layer_map(self) -> LayerMap:
        """Convert to an immutable layer map.

        :returns: for each expert, the ranks that hold it.
        """
        return tuple(tuple(sorted(holders)) for holders in self.holders)

    def _update_rank_loads(self, expert: int, sign: int) -> None:
        holders = self.holders[expert]
        for each, loads in zip(self.scenarios, self.rank_loads, strict=True):
            share = sign * each.loads[expert] / len(holders)
            for rank in holders:
                loads[rank] += share
