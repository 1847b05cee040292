"""Whom to probe next, and whom to ask for help.

The neighbours on the rings are probed in turn. Some turns go elsewhere: to
members suspected here, to dead ones, to seeds, and to one member of each
other zone. A probe into another zone carries changes over, but its failure
says nothing of that member: regions that lose each other must not declare
each other's hosts dead.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ospreyford.membership.digests import Record
from ospreyford.membership.member import MemberState
from ospreyford.membership.tables import Tables

#: One of so many turns goes to a seed or a dead member; of the quarter,
#: one each to a suspect of this process and to another zone.
SEED_TURNS: Final = 16
DEAD_TURNS: Final = 8
QUARTER_TURNS: Final = 4


@dataclass(frozen=True)
class ProbeMember:
    """Probe a known member."""

    record: Record


@dataclass(frozen=True)
class ProbeSeed:
    """Probe an address of which nothing is known."""

    address: str


Target = ProbeMember | ProbeSeed


class Targets:
    """Chooses targets in turn.

    :param tables: the shared tables.
    """

    def __init__(self, tables: Tables) -> None:
        #: Names that this process's own probes made suspect.
        self.suspects: set[str] = set()
        self._tables = tables
        self._view = tables.view
        self._turn = 0
        self._step = 0

    def choose(self) -> Target | None:
        """Choose whom to probe.

        :returns: the target, or ``None`` if nobody else is known.
        """
        self._turn += 1
        if self._turn % SEED_TURNS == 0 or len(self._view) == 1:
            seed = self._pick_seed()
            if seed is not None:
                return seed
        record = self._pick_special() or self._pick_neighbour()
        return None if record is None else ProbeMember(record)

    def is_judged_here(self, record: Record) -> bool:
        """Tell whether this process's failed probes count against a member.

        A zone's members judge each other. Where a zone has too few for
        that, everyone does.

        :param record: the member's record.
        :returns: whether it may be suspected here.
        """
        zone = record.member.zone
        return (
            zone == self._tables.zone
            or self._tables.rings.zone_size(zone)
            < self._tables.settings.small_zone
        )

    def watched(self) -> list[Record]:
        """List the members that this process probes in turn.

        :returns: the neighbours, or anyone if there are none.
        """
        near = list(self._tables.rings.neighbours())
        if near:
            return near
        anyone = self._pick_neighbour()
        return [] if anyone is None else [anyone]

    def _pick_seed(self) -> Target | None:
        # A seed that is a known member is probed in its turn like others:
        # thousands of members must not all probe the few seeds.
        known = {
            record.member.peer_address
            for record in self._view
            if record.state is not MemberState.dead
        }
        addresses = [
            *self._tables.settings.seeds,
            *self._unheard_instances(),
        ]
        seeds = [address for address in addresses if address not in known]
        return ProbeSeed(self._tables.rng.choice(seeds)) if seeds else None

    def _unheard_instances(self) -> list[str]:
        # A process that slept or was cut off while the fleet was replaced
        # knows only addresses where nobody is left, or others like itself;
        # it would go on for ever in a fleet of its own.
        return [
            address
            for name, address in self._tables.other_instances.items()
            if self._is_unheard(name)
        ]

    def _is_unheard(self, name: str) -> bool:
        record = self._view.find(name)
        return (
            record is None
            or name == self._view.me
            or record.state in {MemberState.dead, MemberState.suspect}
            or self._tables.zones.is_doubtful(record.member.zone)
        )

    def _pick_special(self) -> Record | None:
        if self._turn % DEAD_TURNS == 0:
            return self._pick_dead()
        match self._turn % QUARTER_TURNS:
            case 1:
                return self._pick_suspect()
            case 2:
                return self._pick_other_zone()
            case _:
                return None

    def _pick_dead(self) -> Record | None:
        # A dead member that answers was cut off or paused: without these
        # probes two halves of a split zone would never find each other.
        return self._pick_from(
            record
            for record in self._view
            if record.state is MemberState.dead and self.is_judged_here(record)
        )

    def _pick_other_zone(self) -> Record | None:
        zones = self._tables.rings.other_zones()
        if not zones:
            return None
        zone = zones[self._turn // QUARTER_TURNS % len(zones)]
        if self._tables.zones.is_doubtful(zone):
            return self._pick_from(self._tables.rings.zone_members(zone))
        return self._tables.rings.link(zone)

    def _pick_suspect(self) -> Record | None:
        return self._pick_from(
            record
            for record in map(self._view.find, sorted(self.suspects))
            if record is not None
        )

    def _pick_neighbour(self) -> Record | None:
        near = self._tables.rings.neighbours()
        if near:
            # A count of its own: with the turns' remainders some neighbours
            # would never be due.
            self._step += 1
            return near[self._step % len(near)]
        # Alone in its zone, or the last one there.
        return self._pick_from(
            record for record in self._view if record is not self._view.own
        )

    def _pick_from(self, records: Iterable[Record]) -> Record | None:
        candidates = list(records)
        return self._tables.rng.choice(candidates) if candidates else None
