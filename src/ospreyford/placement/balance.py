"""Placement of a layer from scratch by longest processing time first (LPT)."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from itertools import repeat
from operator import truediv
from typing import NamedTuple

from ospreyford.placement.map import LayerMap


class _Slot(NamedTuple):
    """Next free slot of a rank, ordered by the rank's load."""

    load: float
    used_slots: int
    rank: int


def apportion_replicas(
    loads: Sequence[float], total_replicas: int, max_replicas: int
) -> list[int]:
    """Apportion replicas by Jefferson's method.

    This minimises the largest load of a single replica.

    :param loads: load of each expert.
    :param total_replicas: replicas to assign, at least one for each expert.
    :param max_replicas: upper bound on the replicas of one expert.
    :returns: number of replicas of each expert.
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
    """Place experts in descending replica load on the least loaded ranks.

    :param loads: load of each expert.
    :param ranks: number of ranks in the group.
    :param slots_per_rank: experts of one layer that fit in a rank's memory.
    :param replicas: number of replicas of each expert.
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
