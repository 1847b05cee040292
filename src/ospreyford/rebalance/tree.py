"""Bounded-degree tree over which a group broadcasts and aggregates.

Agents are ordered by address, so that most edges stay within an availability
zone.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from ospreyford.rebalance.datagrams import Address

#: Maximum number of children: two levels have 157 agents, three 1,885.
TREE_DEGREE: Final = 12


class Subtree(NamedTuple):
    """A contiguous range of agents, of which the first is the root.

    :param first: position of the root.
    :param end: position after the last agent.
    """

    first: int
    end: int


def order_members(
    members: Sequence[Address], root: Address, rotation: int
) -> list[Address]:
    """Order the agents of a group for the tree with a given root.

    :param members: all agents of the group, sorted.
    :param root: the agent that broadcasts, or receives aggregated loads.
    :param rotation: offset of the order; each offset has other inner agents,
        so that a failed one doesn't block the same subtree each time.
    :returns: all agents but the root.
    """
    others = [member for member in members if member != root]
    if not others:
        return others
    start_offset = sum(one < root for one in others)
    start = (start_offset + rotation) % len(others)
    return others[start:] + others[:start]


def split_subtree(subtree: Subtree) -> list[Subtree]:
    """Split a range of agents into the subtrees of one agent's children.

    :param subtree: the agents below that agent.
    :returns: at most :data:`TREE_DEGREE` subtrees of nearly equal size.
    """
    count = subtree.end - subtree.first
    child_count = min(TREE_DEGREE, count)
    bounds = [
        subtree.first + count * child // child_count
        for child in range(child_count)
    ]
    bounds.append(subtree.end)
    return [Subtree(*pair) for pair in zip(bounds, bounds[1:], strict=False)]


def find_parent(ordered: Sequence[Address], agent: Address) -> Address | None:
    """Find the parent of an agent.

    :param ordered: the agents as ordered by :func:`order_members`.
    :param agent: the agent's address.
    :returns: the parent's address; ``None`` if the parent is the root or the
        agent isn't in the tree.
    """
    if agent not in ordered:
        return None
    position = ordered.index(agent)
    parent: Address | None = None
    subtree = Subtree(-1, len(ordered))
    while subtree.first != position:
        if subtree.first >= 0:
            parent = ordered[subtree.first]
        children = split_subtree(Subtree(subtree.first + 1, subtree.end))
        subtree = next(child for child in children if position < child.end)
    return parent


def compute_depth(member_count: int) -> int:
    """Compute the number of hops until all agents are reached.

    :param member_count: number of agents in the group, the root included.
    :returns: the depth of the tree.
    """
    depth = 0
    unreached = member_count - 1
    while unreached > 0:
        depth += 1
        unreached = -(-unreached // TREE_DEGREE) - 1
    return depth
