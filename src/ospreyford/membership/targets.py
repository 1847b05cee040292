"""Selection of probe targets.

Ring neighbours are probed round-robin, interleaved with suspects, dead
members, seeds and one member of each other zone. Failed probes into other
zones raise no suspicion, so that a partition does not mark zones dead.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Record
from ospreyford.membership.member import MemberState

SEED_INTERVAL_ROUNDS: Final = 16
DEAD_INTERVAL_ROUNDS: Final = 8
OCCASIONAL_INTERVAL_ROUNDS: Final = 4


@dataclass(frozen=True)
class ProbeMember:
    """Probe a known member."""

    record: Record


@dataclass(frozen=True)
class ProbeSeed:
    """Probe an address whose member is unknown."""

    address: str


Target = ProbeMember | ProbeSeed


class TargetSelector:
    """Selects the target of each round.

    :param context: the shared state.
    """

    def __init__(self, context: MembershipContext) -> None:
        #: Names of members suspected by this process's own probes.
        self.suspects: set[str] = set()
        self._context = context
        self._view = context.view
        self._round = 0
        self._neighbour_turn = 0

    def select_next(self) -> Target | None:
        """Select the next target.

        :returns: the target, or ``None`` if no other member is known.
        """
        self._round += 1
        if self._round % SEED_INTERVAL_ROUNDS == 0 or len(self._view) == 1:
            seed = self._select_seed()
            if seed is not None:
                return seed
        record = self._select_occasional() or self._select_neighbour()
        return None if record is None else ProbeMember(record)

    def can_suspect(self, record: Record) -> bool:
        """Test whether this process may suspect a member.

        Members of small zones may be suspected from all zones, others only
        from their own.

        :param record: the member's record.
        :returns: whether its failed probes raise a suspicion.
        """
        zone = record.member.zone
        return (
            zone == self._context.zone
            or self._context.rings.count_zone_members(zone)
            < self._context.settings.small_zone
        )

    def list_monitored(self) -> list[Record]:
        """List the members that this process probes regularly.

        :returns: the neighbours, or a random member if there are none.
        """
        neighbours = list(self._context.rings.list_neighbours())
        if neighbours:
            return neighbours
        fallback = self._select_neighbour()
        return [] if fallback is None else [fallback]

    def _select_seed(self) -> Target | None:
        # Seeds that are known members are skipped, to limit their load.
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
        # Lets a process rejoin after all members known to it were replaced
        # during a pause or partition.
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
        # Lets the halves of a partitioned zone rejoin.
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
            # Indexing by round number would skip some neighbours.
            self._neighbour_turn += 1
            return neighbours[self._neighbour_turn % len(neighbours)]
        # No other member in the own zone.
        return self._select_random(
            record for record in self._view if record is not self._view.own
        )

    def _select_random(self, records: Iterable[Record]) -> Record | None:
        candidates = list(records)
        return self._context.rng.choice(candidates) if candidates else None
