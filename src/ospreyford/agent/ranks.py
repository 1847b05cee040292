"""Rank group member: map agreement and expert placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.agent.expertloads import HttpLoadSource
from ospreyford.agent.placementloop import PlacementLoop
from ospreyford.expertmap.engine import HttpEngine
from ospreyford.expertmap.errors import Superseded
from ospreyford.expertmap.httpweights import HttpWeights
from ospreyford.expertmap.readcredits import WeightLimits
from ospreyford.expertmap.service import EngineWeights, RankService
from ospreyford.observability.events import GroupHalted
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from ospreyford.agent.rankssettings import RankSection
    from ospreyford.documents.capacity import PlacementWeights
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.fleet import Host
    from ospreyford.ports.peers import PeerPort


class RankGroupMember:
    """The agent's member of its rank group.

    :param section: the group's settings.
    :param peers: messages to other processes.
    :param clock: source of time.
    """

    def __init__(
        self,
        section: RankSection,
        peers: PeerPort,
        clock: Clock,
    ) -> None:
        address = split_address(section.engine)
        self._weight_pace = WeightLimits(
            expert_bytes=max(1, section.shape.expert_bytes),
            bytes_per_second=section.placement.store_bytes_per_second,
            slots_per_layer=section.placement.slots_per_rank,
        )
        port = HttpWeights(address, section.agreement.slot)
        self.service = RankService(
            section.agreement,
            peers,
            clock,
            HttpEngine(address, section.agreement.slot),
            weights=(
                EngineWeights(port, self._weight_pace)
                if section.orders_weights
                else None
            ),
        )
        self.placement = PlacementLoop(
            section,
            self.service,
            HttpLoadSource(address, clock),
            clock,
        )
        self.group = section.agreement.group
        self._slots_by_name = {
            name: slot for slot, name in enumerate(section.members)
        }
        self._slot = section.agreement.slot
        self._addresses_by_slot = dict(enumerate(section.agreement.addresses))

    def handle_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Update the addresses of members whose hosts were replaced.

        :param hosts: all hosts of the fleet.
        """
        for host in hosts:
            slot = self._slots_by_name.get(host.name)
            if slot is not None:
                self._addresses_by_slot[slot] = host.peer_address
                self.service.readdress(slot, host.peer_address)

    def apply_published_weights(
        self, published: PlacementWeights | None
    ) -> None:
        """Apply the published placement weights.

        :param published: the model's document, or ``None`` for the
            configured weights.
        """
        self.placement.apply_published_weights(published)
        settings = self.placement.settings
        self._weight_pace.bytes_per_second = settings.store_bytes_per_second

    def handle_live_peers(self, addresses: frozenset[str]) -> None:
        """Recompute whether this member leads.

        :param addresses: peer addresses of the live processes.
        """
        lower_slot_addresses = [
            self._addresses_by_slot[slot] for slot in range(self._slot)
        ]
        self.placement.is_leader = not addresses.intersection(
            lower_slot_addresses
        )

    async def run_agreement(self) -> GroupHalted:
        """Run the agreement protocol until this member is superseded.

        :returns: the event to log before this process exits.
        """
        try:
            await self.service.run()
        except Superseded:
            # Two controllers could let an engine run steps unknown to both.
            reason = 'another process orders this engine'
        return GroupHalted(self.group, 0, reason)
