"""The last maps of a group, as its agents were told of them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.rebalance.group import ExpertMap

#: Maps kept: the one in force, the next one, and those of another coordinator.
MAX_CACHED_MAPS = 6


class MapCache:
    """Whole maps by version.

    The first map of a group, of version 0, is the same each time it opens and
    is kept for good: changes of it are small, the map itself is not.

    A rank shows only its own part of the map in force, and nothing while its
    agent is away. An agent that takes over the coordination knows the whole
    map all the same: it was told it to prepare its own rank.
    """

    def __init__(self) -> None:
        self._maps: OrderedDict[int, ExpertMap] = OrderedDict()

    def put(self, version: int, experts: ExpertMap) -> None:
        """Note a map.

        :param version: its version.
        :param experts: the map.
        """
        self._maps[version] = experts
        self._maps.move_to_end(version)
        while len(self._maps) > MAX_CACHED_MAPS:
            oldest = next(version for version in self._maps if version)
            self._maps.pop(oldest)

    def get(self, version: int) -> ExpertMap | None:
        """Find a map.

        :param version: its version.
        :returns: the map, or ``None`` if it is not known.
        """
        found = self._maps.get(version)
        if found is not None:
            # The one in force must outlast many changes that come to nothing.
            self._maps.move_to_end(version)
        return found
