"""Make-before-break transition from the current map to a target map."""

from __future__ import annotations

from collections.abc import Iterator

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.placement.map import (
    GroupShape,
    LayerMap,
    count_experts_per_rank,
)
from ospreyford.placement.outcomes import Copy, Drop, Plan


class Transition:
    """Collects copies and drops within memory, move and byte limits.

    A dropped expert frees its slot only for the next plan, because ranks that
    still use the old map need its weights.

    :param current: the map in force.
    :param shape: the group's size.
    :param slots: experts of one layer that fit in a rank's memory.
    :param max_moves: upper bound on copies and drops in the plan.
    :param max_bytes: upper bound on the bytes of the copies.
    """

    def __init__(
        self,
        current: ExpertMap,
        shape: GroupShape,
        slots: int,
        max_moves: int,
        max_bytes: float,
    ) -> None:
        self._current = current
        self._shape = shape
        self._slots = slots
        self._moves_left = max_moves
        self._copies_left = int(max_bytes // max(1, shape.expert_bytes))
        self._copies: list[Copy] = []
        self._drops: list[Drop] = []
        self._layers = list(current.layers)

    def apply_partially(self, layer_index: int, target: LayerMap) -> bool:
        """Move a layer towards its target as far as the limits allow.

        :param layer_index: index of the layer.
        :param target: for each expert, the ranks that should hold it.
        :returns: whether the layer changes.
        """
        used_slots = count_experts_per_rank(
            self._current.layers[layer_index], self._shape.ranks
        )
        layer = [set(holders) for holders in self._current.layers[layer_index]]
        for copy in _list_copies(layer_index, self._current, target):
            if used_slots[copy.rank] < self._slots and self._add_copy(copy):
                used_slots[copy.rank] += 1
                layer[copy.expert].add(copy.rank)
        for drop in _list_drops(layer_index, self._current, target):
            if self._can_drop(layer[drop.expert], target[drop.expert]):
                layer[drop.expert].discard(drop.rank)
                self._drops.append(drop)
                self._moves_left -= 1
        self._layers[layer_index] = tuple(tuple(sorted(each)) for each in layer)
        return self._layers[layer_index] != self._current.layers[layer_index]

    def apply_fully(self, layer_index: int, target: LayerMap) -> bool:
        """Change a layer to its target, or not at all.

        A partial change may cost without reducing the peak.

        :param layer_index: index of the layer.
        :param target: for each expert, the ranks that should hold it.
        :returns: whether the layer changes.
        """
        copies = len(tuple(_list_copies(layer_index, self._current, target)))
        drops = len(tuple(_list_drops(layer_index, self._current, target)))
        if copies > self.copies_left or copies + drops > self._moves_left:
            return False
        return self.apply_partially(layer_index, target)

    def build_plan(self, saved_seconds: float = 0) -> Plan | None:
        """Build the plan from the collected changes.

        :param saved_seconds: step time expected to be saved.
        :returns: the plan, or ``None`` if nothing changes.
        """
        if not (self._copies or self._drops):
            return None
        return Plan(
            target=ExpertMap(
                revision=self._current.revision + 1,
                layers=tuple(self._layers),
            ),
            copies=tuple(self._copies),
            drops=tuple(self._drops),
            copy_bytes=len(self._copies) * self._shape.expert_bytes,
            saved_seconds=saved_seconds,
        )

    @property
    def copies_left(self) -> int:
        """Copies that the limits still allow."""
        return min(self._moves_left, self._copies_left)

    def _add_copy(self, copy: Copy) -> bool:
        if self.copies_left < 1:
            return False
        self._copies.append(copy)
        self._copies_left -= 1
        self._moves_left -= 1
        return True

    def _can_drop(self, holders: set[int], target: tuple[int, ...]) -> bool:
        # An expert keeps its old replicas until all target copies fit.
        return (
            self._moves_left > 0 and bool(target) and holders.issuperset(target)
        )


def _list_copies(
    layer_index: int, current: ExpertMap, target: LayerMap
) -> Iterator[Copy]:
    for expert, old in enumerate(current.layers[layer_index]):
        for rank in sorted(set(target[expert]) - set(old)):
            yield Copy(layer_index, expert, rank)


def _list_drops(
    layer_index: int, current: ExpertMap, target: LayerMap
) -> Iterator[Drop]:
    for expert, old in enumerate(current.layers[layer_index]):
        for rank in sorted(set(old) - set(target[expert])):
            yield Drop(layer_index, expert, rank)
