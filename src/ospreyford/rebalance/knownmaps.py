"""The last maps of a group, as its agents were told of them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.rebalance.group import ExpertMap

#: Maps kept: the one in force, the next one, and those of another coordinator.
KEPT = 6


class KnownMaps:
    """Whole maps by version.

    A rank shows only its own part of the map in force, and nothing while its
    agent is away. An agent that takes over the coordination knows the whole
    map all the same: it was told it to prepare its own rank.
    """

    def __init__(self) -> None:
        self._maps: OrderedDict[int, ExpertMap] = OrderedDict()

    def note(self, version: int, experts: ExpertMap) -> None:
        """Note a map.

        :param version: its version.
        :param experts: the map.
        """
        self._maps[version] = experts
        self._maps.move_to_end(version)
        while len(self._maps) > KEPT:
            self._maps.popitem(last=False)

    def find(self, version: int) -> ExpertMap | None:
        """Find a map.

        :param version: its version.
        :returns: the map, or ``None`` if it is not known.
        """
        return self._maps.get(version)
