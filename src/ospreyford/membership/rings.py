"""Hash rings that assign probe targets.

Each member probes its successor on several rings, each ordered by another
hash. Every member is probed by as many others as there are rings, over
stable connections, and changes spread in logarithmically many rounds.
"""

from __future__ import annotations

from typing import Final

import xxhash

from ospreyford.membership.digests import Record
from ospreyford.membership.member import MemberState
from ospreyford.membership.view import View

_HASH_BITS: Final = 64
_RING_SIZE: Final = 1 << _HASH_BITS


class Rings:
    """The rings as this process sees them, recomputed after a change.

    :param view: the members.
    :param ring_count: rings in the own zone.
    """

    def __init__(self, view: View, ring_count: int) -> None:
        self._view = view
        self._ring_count = ring_count
        self._revision = -1
        self._zones: dict[str, list[Record]] = {}
        self._neighbours: list[Record] = []
        self._zone_peers: dict[str, Record] = {}

    def list_other_zones(self) -> list[str]:
        """List the other zones with members.

        :returns: sorted zone names.
        """
        self._refresh()
        own_zone = self._view.own.member.zone
        return sorted(zone for zone in self._zones if zone != own_zone)

    def count_zone_members(self, zone: str) -> int:
        """Count the members of a zone that are not dead.

        :param zone: the zone.
        :returns: the count, including this process.
        """
        self._refresh()
        return len(self._zones.get(zone, ()))

    def list_zone_members(self, zone: str) -> list[Record]:
        """List the members of a zone that are not dead.

        :param zone: the zone.
        :returns: their records.
        """
        self._refresh()
        return self._zones.get(zone, [])

    def list_neighbours(self) -> list[Record]:
        """List the members of the own zone that this process probes.

        :returns: their records, without duplicates.
        """
        self._refresh()
        return self._neighbours

    def select_zone_peer(self, zone: str) -> Record:
        """Select the member of another zone that this process probes.

        :param zone: a zone of :meth:`list_other_zones`.
        :returns: its record.
        """
        self._refresh()
        if zone not in self._zone_peers:
            self._zone_peers[zone] = self._find_successor(
                self._zones[zone], zone
            )
        return self._zone_peers[zone]

    def _refresh(self) -> None:
        if self._revision == self._view.revision:
            return
        self._revision = self._view.revision
        self._zone_peers = {}
        self._zones = {}
        for record in self._view:
            if record.state is not MemberState.dead:
                self._zones.setdefault(record.member.zone, []).append(record)
        own = self._view.own
        others = self._zones[own.member.zone].copy()
        others.remove(own)
        neighbours: dict[str, Record] = {}
        for ring in range(self._ring_count if others else 0):
            successor = self._find_successor(others, str(ring))
            neighbours[successor.member.name] = successor
        self._neighbours = list(neighbours.values())

    def _find_successor(self, records: list[Record], ring: str) -> Record:
        start = _compute_position(self._view.me, ring)
        return min(
            records,
            key=lambda record: (
                (_compute_position(record.member.name, ring) - start)
                % _RING_SIZE
            ),
        )


def _compute_position(name: str, ring: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{ring}/{name}'.encode())
