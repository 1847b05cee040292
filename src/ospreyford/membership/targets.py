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

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Record
from ospreyford.membership.member import MemberState

#: One of so many turns goes to a seed or a dead member; of the quarter,
#: one each to a suspect of this process and to another zone.
SEED_INTERVAL_ROUNDS: Final = 16
DEAD_INTERVAL_ROUNDS: Final = 8
OCCASIONAL_INTERVAL_ROUNDS: Final = 4


@dataclass(frozen=True)
class ProbeMember:
    """Probe a known member."""

    record: Record


@dataclass(frozen=True)
class ProbeSeed:
    """Probe an address of which nothing is known."""

    address: str


Target = ProbeMember | ProbeSeed


class TargetSelector:
    """Chooses targets in turn.

    :param context: the shared state.
    """

    def __init__(self, context: MembershipContext) -> None:
        #: Names that this process's own probes made suspect.
        self.suspects: set[str] = set()
        self._context = context
        self._view = context.view
        self._round = 0
        self._neighbour_turn = 0

    def select_next(self) -> Target | None:
        """Choose whom to probe.

        :returns: the target, or ``None`` if nobody else is known.
        """
        self._round += 1
        if self._round % SEED_INTERVAL_ROUNDS == 0 or len(self._view) == 1:
            seed = self._select_seed()
            if seed is not None:
                return seed
        record = self._select_occasional() or self._select_neighbour()
        return None if record is None else ProbeMember(record)

    def can_suspect(self, record: Record) -> bool:
        """Tell whether this process's failed probes count against a member.

        A zone's members judge each other. Where a zone has too few for
        that, everyone does.

        :param record: the member's record.
        :returns: whether it may be suspected here.
        """
        zone = record.member.zone
        return (
            zone == self._context.zone
            or self._context.rings.count_zone_members(zone)
            < self._context.settings.small_zone
        )

    def list_monitored(self) -> list[Record]:
        """List the members that this process probes in turn.

        :returns: the neighbours, or anyone if there are none.
        """
        neighbours = list(self._context.rings.list_neighbours())
        if neighbours:
            return neighbours
        fallback = self._select_neighbour()
        return [] if fallback is None else [fallback]

    def _select_seed(self) -> Target | None:
        # A seed that is a known member is probed in its turn like others:
        # thousands of members must not all probe the few seeds.
        known = {
            record.member.peer_address
            for record in self._view
            if record.state is not MemberState.dead
        }
        addresses = [
            *self._context.settings.seeds,
            *self._list_unconfirmed_addresses(),
        ]
        seeds = [address for address in addresses if address not in known]
        return ProbeSeed(self._context.rng.choice(seeds)) if seeds else None

    def _list_unconfirmed_addresses(self) -> list[str]:
        # A process that slept or was cut off while the fleet was replaced
        # knows only addresses where nobody is left, or others like itself;
        # it would go on for ever in a fleet of its own.
        return [
            address
            for name, address in self._context.unconfirmed_addresses.items()
            if self._is_unconfirmed(name)
        ]

    def _is_unconfirmed(self, name: str) -> bool:
        record = self._view.find(name)
        return (
            record is None
            or name == self._view.me
            or record.state in {MemberState.dead, MemberState.suspect}
            or self._context.zone_reachability.has_failures(record.member.zone)
        )

    def _select_occasional(self) -> Record | None:
        if self._round % DEAD_INTERVAL_ROUNDS == 0:
            return self._select_dead()
        match self._round % OCCASIONAL_INTERVAL_ROUNDS:
            case 1:
                return self._select_suspect()
            case 2:
                return self._select_other_zone()
            case _:
                return None

    def _select_dead(self) -> Record | None:
        # A dead member that answers was cut off or paused: without these
        # probes two halves of a split zone would never find each other.
        return self._select_random(
            record
            for record in self._view
            if record.state is MemberState.dead and self.can_suspect(record)
        )

    def _select_other_zone(self) -> Record | None:
        zones = self._context.rings.list_other_zones()
        if not zones:
            return None
        zone = zones[self._round // OCCASIONAL_INTERVAL_ROUNDS % len(zones)]
        if self._context.zone_reachability.has_failures(zone):
            return self._select_random(
                self._context.rings.list_zone_members(zone)
            )
        return self._context.rings.select_zone_peer(zone)

    def _select_suspect(self) -> Record | None:
        return self._select_random(
            record
            for record in map(self._view.find, sorted(self.suspects))
            if record is not None
        )

    def _select_neighbour(self) -> Record | None:
        neighbours = self._context.rings.list_neighbours()
        if neighbours:
            # A count of its own: with the turns' remainders some neighbours
            # would never be due.
            self._neighbour_turn += 1
            return neighbours[self._neighbour_turn % len(neighbours)]
        # Alone in its zone, or the last one there.
        return self._select_random(
            record for record in self._view if record is not self._view.own
        )

    def _select_random(self, records: Iterable[Record]) -> Record | None:
        candidates = list(records)
        return self._context.rng.choice(candidates) if candidates else None
