"""One make-before-break step from the current map towards a wanted one."""

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
    """Collects copies and drops that fit memory, bound and budget.

    Old and new weights are in a rank's memory together until every rank has
    left the old map, so a dropped expert frees its slot only for the next
    plan. Were the slot used at once, a rank still stepping on the old map
    would miss the expert's weights, and the group's step would fail.

    :param current: the map in force.
    :param shape: the group's size.
    :param slots: experts of one layer that a rank's memory takes.
    :param max_moves: most copies and drops in the plan.
    :param max_bytes: most bytes that the copies may take.
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
        """Go towards a wanted layer as far as the limits let.

        :param number: the layer's number.
        :param wanted: for each expert, the ranks that should hold it.
        :returns: whether anything changes.
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
        """Change a layer as wanted, or leave it as it is.

        A change cut short may cost without saving anything.

        :param number: the layer's number.
        :param wanted: for each expert, the ranks that should hold it.
        :returns: whether the layer changes.
        """
        copies = len(tuple(_list_copies(layer_index, self._current, target)))
        drops = len(tuple(_list_drops(layer_index, self._current, target)))
        if copies > self.copies_left or copies + drops > self._moves_left:
            return False
        return self.apply_partially(layer_index, target)

    def build_plan(self, saved_seconds: float = 0) -> Plan | None:
        """Close the plan.

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
        """How many experts the bound and the budget still let be copied."""
        return min(self._moves_left, self._copies_left)

    def _add_copy(self, copy: Copy) -> bool:
        if self.copies_left < 1:
            return False
        self._copies.append(copy)
        self._copies_left -= 1
        self._moves_left -= 1
        return True

    def _can_drop(self, holders: set[int], target: tuple[int, ...]) -> bool:
        # An expert whose wanted copies did not all fit keeps its old ranks:
        # dropping them would leave it on none, or on too few.
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
