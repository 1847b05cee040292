"""Experts that a rank requires for its maps, and its free memory slots."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ospreyford.ports.weights import Expert, Experts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.expertmap.maps import ExpertMap, MapName

NO_EXPERTS: Experts = frozenset()


def find_experts(expert_map: ExpertMap, rank: int) -> Experts:
    """Find the experts that a map assigns to a rank.

    :param expert_map: the map.
    :param rank: the rank.
    :returns: the experts.
    """
    return frozenset(
        Expert(number, expert)
        for number, layer in enumerate(expert_map.layers)
        for expert, holders in enumerate(layer)
        if rank in holders
    )


class RequiredExperts:
    """Experts that the known maps require on one rank.

    :param rank: the rank.
    """

    def __init__(self, rank: int) -> None:
        self.target: MapName | None = None
        self._rank = rank
        self._experts: dict[MapName, Experts] = {}

    def select_target(self, name: MapName, expert_map: ExpertMap) -> None:
        """Set the map to load next.

        :param name: its name.
        :param expert_map: the map.
        """
        self.target = name
        self._experts[name] = find_experts(expert_map, self._rank)

    def are_held(self, name: MapName, held: Experts) -> bool:
        """Return whether a map's experts are held.

        :param name: the map.
        :param held: the experts held.
        :returns: ``False`` also for an unknown map.
        """
        required = self._experts.get(name)
        return required is not None and required <= held

    def find_missing(self, held: Experts) -> Experts:
        """Find the experts that the target map still lacks.

        :param held: the experts held.
        :returns: the experts.
        """
        if self.target is None:
            return NO_EXPERTS
        return self._experts[self.target] - held

    def find_unneeded(
        self, resident: Experts, names: Iterable[MapName]
    ) -> Experts:
        """Find the experts that no map requires, and forget unused maps.

        :param resident: the experts in memory.
        :param names: the maps that may still be used.
        :returns: the experts; none if the content of a map is unknown.
        """
        required = set(names)
        if self.target is not None:
            required.add(self.target)
        if required.difference(self._experts):
            return NO_EXPERTS
        self._experts = {name: self._experts[name] for name in required}
        return resident.difference(*self._experts.values())

    def clear(self) -> None:
        """Remove every map."""
        self.target = None
        self._experts.clear()


class LayerSlots:
    """Memory slots of a rank, by layer.

    :param slots_per_layer: experts of one layer that fit in memory.
    :param resident: experts that occupy or may occupy a slot.
    """

    def __init__(self, slots_per_layer: int, resident: Experts) -> None:
        self._slots_per_layer = slots_per_layer
        self._resident = resident
        self._used_slots = Counter(expert.layer for expert in resident)

    def is_full(self, layer: int) -> bool:
        """Return whether a layer has no free slot.

        :param layer: the layer's index.
        :returns: whether it is full.
        """
        return self._used_slots[layer] >= self._slots_per_layer

    def reserve(self, expert: Expert) -> bool:
        """Reserve a slot; resident experts already have one.

        :param expert: the expert.
        :returns: whether a slot is available.
        """
        if expert in self._resident:
            return True
        if self.is_full(expert.layer):
            return False
        self._used_slots[expert.layer] += 1
        return True
