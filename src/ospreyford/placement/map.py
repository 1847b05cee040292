"""The group's size, and what the placement policy asks of a map."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import repeat

import msgspec

from ospreyford.expertmap.maps import ExpertMap

#: The ranks that hold one expert, ascending.
Ranks = tuple[int, ...]
#: One layer: for each expert, the ranks that hold it.
LayerMap = tuple[Ranks, ...]


class GroupShape(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Size of a rank group and of the model that it runs.

    :param ranks: ranks in the group.
    :param layers: layers with experts.
    :param experts: experts in each layer.
    :param expert_bytes: size of one expert's weights in one layer.
    """

    ranks: int
    layers: int
    experts: int
    expert_bytes: int


def make_initial_map(shape: GroupShape) -> ExpertMap:
    """Make the first map: each expert once, the same number on each rank.

    :param shape: the group's size.
    :returns: a map of revision 0.
    """
    layer = tuple(
        (expert * shape.ranks // shape.experts,)
        for expert in range(shape.experts)
    )
    return ExpertMap(revision=0, layers=(layer,) * shape.layers)


def count_experts_per_rank(layer: LayerMap, ranks: int) -> list[int]:
    """Count the experts that each rank holds.

    :param layer: one layer of a map.
    :param ranks: ranks in the group.
    :returns: for each rank, its number of experts in this layer.
    """
    counts = list(repeat(0, ranks))
    for rank in iterate_ranks(layer):
        counts[rank] += 1
    return counts


def iterate_ranks(layer: LayerMap) -> Iterator[int]:
    """Go through the ranks of all experts of a layer.

    :param layer: one layer of a map.
    :yields: a rank for each expert that it holds.
    """
    for holders in layer:
        yield from holders


def is_valid_map(current: ExpertMap, shape: GroupShape, slots: int) -> bool:
    """Check that a map fits the group.

    :param current: the map.
    :param shape: the group's size.
    :param slots: experts of one layer that a rank's memory takes.
    :returns: whether every expert is held, by known ranks, within memory.
    """
    return len(current.layers) == shape.layers and all(
        _is_valid_layer(layer, shape, slots) for layer in current.layers
    )


def _is_valid_layer(layer: LayerMap, shape: GroupShape, slots: int) -> bool:
    if len(layer) != shape.experts:
        return False
    if not all(_are_valid_holders(holders, shape.ranks) for holders in layer):
        return False
    return max(count_experts_per_rank(layer, shape.ranks)) <= slots


def _are_valid_holders(holders: Ranks, ranks: int) -> bool:
    in_range = all(0 <= rank < ranks for rank in holders)
    return bool(holders) and in_range and len(set(holders)) == len(holders)
