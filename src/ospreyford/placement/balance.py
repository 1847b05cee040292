"""Placing a layer's experts from nothing, longest processing time first."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from itertools import repeat
from operator import truediv
from typing import NamedTuple

from ospreyford.placement.map import LayerMap


class _Slot(NamedTuple):
    """The next free slot of a rank, ordered by the rank's load."""

    load: float
    used_slots: int
    rank: int


def apportion_replicas(
    loads: Sequence[float], total_replicas: int, max_replicas: int
) -> list[int]:
    """Choose how many replicas each expert gets, one more at the hottest.

    This minimises the largest share of one replica (the greedy rule is
    Jefferson's apportionment, which is optimal for it).

    :param loads: for each expert, its load.
    :param total: replicas to hand out, at least one for each expert.
    :param most: most replicas of one expert.
    :returns: for each expert, its replicas.
    """
    counts = list(repeat(1, len(loads)))
    heap = [
        (-load, expert) for expert, load in enumerate(loads) if max_replicas > 1
    ]
    heapq.heapify(heap)
    for _ in range(total_replicas - len(loads)):
        if not heap:
            break
        _, expert = heapq.heappop(heap)
        counts[expert] += 1
        if counts[expert] < max_replicas:
            heapq.heappush(heap, (-loads[expert] / counts[expert], expert))
    return counts


def balance_layer(
    loads: Sequence[float],
    ranks: int,
    slots_per_rank: int,
    replicas: Sequence[int],
) -> LayerMap:
    """Place the largest shares first, each on the rank least loaded so far.

    :param loads: for each expert, its load.
    :param ranks: ranks in the group.
    :param slots: experts of one layer that a rank's memory takes.
    :param replicas: for each expert, how many ranks hold it.
    :returns: for each expert, the ranks that hold it.
    """
    heap = [_Slot(0, 0, rank) for rank in range(ranks)]
    shares = list(map(truediv, loads, replicas))
    holders_by_expert: dict[int, tuple[int, ...]] = {}
    for expert in _order_by_share(shares):
        count = min(replicas[expert], len(heap))
        least_loaded = [heapq.heappop(heap) for _ in range(count)]
        holders_by_expert[expert] = tuple(
            sorted(slot.rank for slot in least_loaded)
        )
        _return_slots(heap, least_loaded, shares[expert], slots_per_rank)
    return tuple(holders_by_expert[each] for each in range(len(loads)))


def _order_by_share(shares: Sequence[float]) -> list[int]:
    return sorted(range(len(shares)), key=shares.__getitem__, reverse=True)


def _return_slots(
    heap: list[_Slot], taken: Sequence[_Slot], share: float, slots_per_rank: int
) -> None:
    for load, used_slots, rank in taken:
        if used_slots + 1 < slots_per_rank:
            heapq.heappush(heap, _Slot(load + share, used_slots + 1, rank))
