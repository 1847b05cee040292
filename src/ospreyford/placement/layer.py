"""One layer's ranks under one or more expected loads, changed step by step."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from itertools import repeat
from typing import NamedTuple

from ospreyford.placement.map import LayerMap, count_experts_per_rank


class LoadScenario(NamedTuple):
    """One popularity that is expected for a share of the time.

    :param share: share of the coming time, 0 to 1.
    :param loads: for each expert, its load, where the mean rank has 1.
    """

    weight: float
    loads: Sequence[float]


class LayerState:
    """Loads and memory of the ranks in one layer.

    :param layer: for each expert, the ranks that hold it.
    :param expected: the popularities to serve.
    :param ranks: ranks in the group.
    """

    def __init__(
        self, layer: LayerMap, scenarios: Sequence[LoadScenario], ranks: int
    ) -> None:
        self.holders = [set(holders) for holders in layer]
        self.scenarios = scenarios
        self.experts_by_rank: list[set[int]] = [set() for _ in range(ranks)]
        #: Slots in use while old and new weights are in memory together.
        self.used_slots = count_experts_per_rank(layer, ranks)
        self.rank_loads = [
            array('d', repeat(0, ranks)) for _ in range(len(scenarios))
        ]
        for expert, holders in enumerate(layer):
            for rank in holders:
                self.experts_by_rank[rank].add(expert)
            self._update_rank_loads(expert, 1)

    def compute_peak(self) -> float:
        """Measure the slowest rank.

        :returns: its load, averaged over what is expected; 1 is balanced.
        """
        return sum(
            each.weight * max(loads)
            for each, loads in zip(self.scenarios, self.rank_loads, strict=True)
        )

    def add_replica(self, expert: int, rank: int) -> None:
        """Put a replica on a rank; the expert's load splits evenly.

        :param expert: the expert.
        :param rank: a rank that does not hold it.
        """
        self._update_rank_loads(expert, -1)
        self.holders[expert].add(rank)
        self._update_rank_loads(expert, 1)
        self.experts_by_rank[rank].add(expert)

    def remove_replica(self, expert: int, rank: int) -> None:
        """Take a replica off a rank.

        :param expert: an expert with another replica.
        :param rank: a rank that holds it.
        """
        self._update_rank_loads(expert, -1)
        self.holders[expert].discard(rank)
        self._update_rank_loads(expert, 1)
        self.experts_by_rank[rank].discard(expert)

    def to_layer_map(self) -> LayerMap:
        """Read the layer.

        :returns: for each expert, the ranks that hold it.
        """
        return tuple(tuple(sorted(holders)) for holders in self.holders)

    def _update_rank_loads(self, expert: int, sign: int) -> None:
        holders = self.holders[expert]
        for each, loads in zip(self.scenarios, self.rank_loads, strict=True):
            share = sign * each.loads[expert] / len(holders)
            for rank in holders:
                loads[rank] += share
