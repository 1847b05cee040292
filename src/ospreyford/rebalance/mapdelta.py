"""Delta encoding of expert maps, to limit the size of map updates."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from ospreyford.rebalance.group import ExpertMap
    from ospreyford.rebalance.messages import MapDelta


def compute_map_delta(
    before: ExpertMap, after: ExpertMap
) -> tuple[MapDelta, ...]:
    """Compute the difference between two maps.

    :param before: one map.
    :param after: the other one, of the same sets and ranks.
    :returns: set, rank and the experts of ``after``, where they differ.
    """
    return tuple(
        (set_index, rank, held)
        for set_index, of_set in enumerate(after)
        for rank, held in enumerate(of_set)
        if held != before[set_index][rank]
    )


def apply_map_delta(
    before: ExpertMap, delta: tuple[MapDelta, ...]
) -> ExpertMap | None:
    """Apply a delta to a map.

    :param before: the map.
    :param delta: the changed entries.
    :returns: the new map, or ``None`` if an entry is out of range.
    """
    changed = [list(of_set) for of_set in before]
    for set_index, rank, held in delta:
        is_known = 0 <= set_index < len(changed)
        if not is_known or not 0 <= rank < len(changed[set_index]):
            return None
        changed[set_index][rank] = held
    return tuple(map(tuple, changed))


def compute_digest(experts: ExpertMap) -> int:
    """Compute a digest that identifies a map.

    :param experts: the map.
    :returns: its 64-bit digest.
    """
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(experts))


def build_initial_map(sets: int, experts: int, ranks: int) -> ExpertMap:
    """Build the map of a newly opened group, with experts placed round-robin.

    :param sets: number of layer sets.
    :param experts: experts of a set.
    :param ranks: ranks of the group.
    :returns: the map; verify its digest before using it as a base.
    """
    of_set = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (of_set,) * sets
