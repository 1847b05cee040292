"""Maps as what they differ in from another one.

A whole map of 72 ranks and 12 sets has some five kilobytes, and every rank's
agent needs it: over a link of 4 Mbit/s 72 of them take 0.7 s, and the repeated
ones came before the first had arrived. A change of maps moves a few dozen
experts: some hundred bytes.
"""

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
    """Find what two maps differ in.

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
    """Change a map.

    :param before: the map.
    :param parts: what the new one differs in.
    :returns: the new map, or ``None`` if a part names no place of the map.
    """
    changed = [list(of_set) for of_set in before]
    for set_index, rank, held in delta:
        is_known = 0 <= set_index < len(changed)
        if not is_known or not 0 <= rank < len(changed[set_index]):
            return None
        changed[set_index][rank] = held
    return tuple(map(tuple, changed))


def compute_digest(experts: ExpertMap) -> int:
    """Tell a number that two maps share only if they are the same.

    :param experts: the map.
    :returns: its digest.
    """
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(experts))


def build_initial_map(sets: int, experts: int, ranks: int) -> ExpertMap:
    """Make the map of a group that has just opened: experts in turn.

    :param sets: sets of layers.
    :param experts: experts of a set.
    :param ranks: ranks of the group.
    :returns: the map. Whoever uses it as a base compares digests.
    """
    of_set = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (of_set,) * sets
