"""Expert maps: which rank holds which expert in which layer."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import xxhash

#: For each layer, for each expert, the ranks that hold a copy of it.
Layers = tuple[tuple[tuple[int, ...], ...], ...]


class MapName(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, order=True
):
    """Identity of an expert map; a later one compares greater.

    The digest orders maps of the same revision alike on every process.

    :param revision: increasing number assigned by placement.
    :param digest: 64-bit hash of the map's content.
    """

    revision: int
    digest: int


class ExpertMap(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One expert map of a rank group.

    :param revision: increasing number assigned by placement.
    :param layers: ranks by layer and expert.
    """

    revision: int
    layers: Layers

    def name(self) -> MapName:
        """Compute the map's identity.

        :returns: its revision and the digest of its content.
        """
        encoded = msgspec.msgpack.encode(self)
        return MapName(
            revision=self.revision,
            digest=xxhash.xxh64_intdigest(encoded),
        )


class MapCache:
    """Expert maps held by one process, by name."""

    def __init__(self) -> None:
        self._maps: dict[MapName, ExpertMap] = {}

    def put(self, expert_map: ExpertMap) -> MapName:
        """Add a map.

        :param expert_map: the map.
        :returns: its name.
        """
        name = expert_map.name()
        self._maps[name] = expert_map
        return name

    def find(self, name: MapName) -> ExpertMap | None:
        """Look up a map.

        :param name: the map's name.
        :returns: the map, or ``None`` if it is not held.
        """
        return self._maps.get(name)

    def newest(self) -> MapName | None:
        """Return the newest map.

        :returns: its name, or ``None`` if none is held.
        """
        return max(self._maps, default=None)

    def drop_before(self, name: MapName) -> None:
        """Evict the maps older than the given one.

        :param name: the oldest map to keep.
        """
        kept: Mapping[MapName, ExpertMap] = self._maps
        self._maps = {
            known: expert_map
            for known, expert_map in kept.items()
            if known >= name
        }
