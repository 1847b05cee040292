"""What a rank must hold: by map, and for the map to load next."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ospreyford.ports.weights import Expert, Experts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.expertmap.maps import ExpertMap, MapName

NO_EXPERTS: Experts = frozenset()


def find_experts(expert_map: ExpertMap, rank: int) -> Experts:
    """List what a rank must hold to step on a map.

    :param expert_map: the map.
    :param rank: the rank.
    :returns: its experts.
    """
    return frozenset(
        Expert(number, expert)
        for number, layer in enumerate(expert_map.layers)
        for expert, holders in enumerate(layer)
        if rank in holders
    )


class RequiredExperts:
    """The experts that known maps need on one rank.

    :param rank: the rank.
    """

    def __init__(self, rank: int) -> None:
        self.target: MapName | None = None
        self._rank = rank
        self._experts: dict[MapName, Experts] = {}

    def select_target(self, name: MapName, expert_map: ExpertMap) -> None:
        """Make a map the one to load for.

        :param name: its name.
        :param expert_map: the map.
        """
        self.target = name
        self._experts[name] = find_experts(expert_map, self._rank)

    def are_held(self, name: MapName, held: Experts) -> bool:
        """Tell whether what a map needs is held.

        :param name: the map.
        :param held: what is held.
        :returns: ``False`` also for a map that isn't known.
        """
        required = self._experts.get(name)
        return required is not None and required <= held

    def find_missing(self, held: Experts) -> Experts:
        """List what the map to load next still needs.

        :param held: what is held.
        :returns: the experts.
        """
        if self.target is None:
            return NO_EXPERTS
        return self._experts[self.target] - held

    def find_unneeded(
        self, resident: Experts, names: Iterable[MapName]
    ) -> Experts:
        """List what no map needs, and forget the maps that are past.

        :param present: what is in memory.
        :param names: the maps that may yet be used.
        :returns: the experts; none if a map's content isn't known, as it
            may need any expert.
        """
        required = set(names)
        if self.target is not None:
            required.add(self.target)
        if required.difference(self._experts):
            return NO_EXPERTS
        self._experts = {name: self._experts[name] for name in required}
        return resident.difference(*self._experts.values())

    def clear(self) -> None:
        """Forget every map."""
        self.target = None
        self._experts.clear()


class LayerSlots:
    """Free places of a rank's memory, by layer.

    :param slots: experts of one layer that the memory takes.
    :param resident: what takes a place now or may take one.
    """

    def __init__(self, slots_per_layer: int, resident: Experts) -> None:
        self._slots_per_layer = slots_per_layer
        self._resident = resident
        self._used_slots = Counter(expert.layer for expert in resident)

    def is_full(self, layer: int) -> bool:
        """Tell whether a layer has no place left.

        :param layer: the layer's number.
        :returns: whether it is full.
        """
        return self._used_slots[layer] >= self._slots_per_layer

    def reserve(self, expert: Expert) -> bool:
        """Take a place.

        :param one: for which expert; one that is resident has its place.
        :returns: whether there was one.
        """
        if expert in self._resident:
            return True
        if self.is_full(expert.layer):
            return False
        self._used_slots[expert.layer] += 1
        return True
