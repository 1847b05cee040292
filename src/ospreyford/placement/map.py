"""Group dimensions, and construction and validation of expert maps."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import repeat

import msgspec

from ospreyford.expertmap.maps import ExpertMap

#: Ranks that hold one expert, ascending.
Ranks = tuple[int, ...]
#: For each expert of a layer, the ranks that hold it.
LayerMap = tuple[Ranks, ...]


class GroupShape(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Dimensions of a rank group and of the model that it runs.

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
    """Create the initial map: one replica of each expert, spread evenly.

    :param shape: the group's size.
    :returns: a map of revision 0.
    """
    layer = tuple(
        (expert * shape.ranks // shape.experts,)
        for expert in range(shape.experts)
    )
    return ExpertMap(revision=0, layers=(layer,) * shape.layers)


def count_experts_per_rank(layer: LayerMap, ranks: int) -> list[int]:
    """Count the experts of a layer on each rank.

    :param layer: one layer of a map.
    :param ranks: number of ranks in the group.
    :returns: number of experts on each rank.
    """
    counts = list(repeat(0, ranks))
    for rank in iterate_ranks(layer):
        counts[rank] += 1
    return counts


def iterate_ranks(layer: LayerMap) -> Iterator[int]:
    """Iterate over the ranks of all replicas in a layer.

    :param layer: one layer of a map.
    :yields: the rank of each replica.
    """
    for holders in layer:
        yield from holders


def is_valid_map(current: ExpertMap, shape: GroupShape, slots: int) -> bool:
    """Check that a map fits the group and its memory.

    :param current: the map.
    :param shape: the group's size.
    :param slots: experts of one layer that fit in a rank's memory.
    :returns: whether each expert is placed on valid ranks within memory.
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
