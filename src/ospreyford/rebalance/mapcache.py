"""Cache of a group's recent expert maps."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.rebalance.group import ExpertMap

MAX_CACHED_MAPS = 6


class MapCache:
    """LRU cache of whole maps by version.

    Version 0, the initial map of a group, is never evicted. A new coordinator
    needs the whole map, while a rank exposes only its own part.
    """

    def __init__(self) -> None:
        self._maps: OrderedDict[int, ExpertMap] = OrderedDict()

    def put(self, version: int, experts: ExpertMap) -> None:
        """Add a map.

        :param version: its version.
        :param experts: the map.
        """
        self._maps[version] = experts
        self._maps.move_to_end(version)
        while len(self._maps) > MAX_CACHED_MAPS:
            oldest = next(version for version in self._maps if version)
            self._maps.pop(oldest)

    def get(self, version: int) -> ExpertMap | None:
        """Look up a map.

        :param version: its version.
        :returns: the map, or ``None`` if it is not cached.
        """
        found = self._maps.get(version)
        if found is not None:
            # Keep the current map while many changes fail.
            self._maps.move_to_end(version)
        return found

    def clear(self) -> None:
        """Forget all maps, since those of another group size don't fit."""
        self._maps.clear()
