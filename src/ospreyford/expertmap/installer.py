"""Distribution of expert maps to all members before they are proposed."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ospreyford.expertmap.errors import MapMissing
from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.memberclient import MemberClient, Responses
from ospreyford.expertmap.messages import (
    Fetch,
    Fetched,
    Install,
    Installed,
    Promise,
)
from ospreyford.expertmap.readcredits import CreditAllocator


class MapInstaller:
    """Distributes maps and tracks which members hold them.

    :param members: client for the members.
    :param credits: allocator of weight-store reads; ``None`` for engines that
        load weights on their own.
    """

    def __init__(
        self, members: MemberClient, credits: CreditAllocator | None = None
    ) -> None:
        self._members = members
        self._credits = credits
        self._not_loaded: tuple[MapName | None, set[int]] = (None, set())
        self._holders: dict[MapName, int] = {}

    def record_promises(self, promises: Sequence[Promise]) -> None:
        """Record the maps and incarnations of all members.

        :param promises: the members' promises, by slot.
        """
        if self._credits is not None:
            self._credits.record_incarnations(
                [each.incarnation for each in promises]
            )
        for slot, promise in enumerate(promises):
            self.record_holder(slot, promise.newest)
            if promise.vote is not None:
                self.record_holder(slot, promise.vote.window.map_name)

    def set_forming(self, forming: bool) -> None:
        """Set whether steps are blocked until the next map is loaded.

        :param forming: whether the group is being formed.
        """
        if self._credits is not None:
            self._credits.forming = forming

    def record_holder(self, slot: int, name: MapName | None) -> None:
        """Record that a member holds a map.

        :param slot: the member.
        :param name: the map, if any.
        """
        if name is not None:
            self._holders[name] = slot

    def find_newer(self, name: MapName) -> MapName | None:
        """Find the newest known map.

        :param name: the map in use.
        :returns: the newest map, or ``None`` if none is newer.
        """
        own = self._members.acceptor.maps.newest()
        self.record_holder(self._members.acceptor.slot, own)
        newest = max(self._holders, default=name)
        self._holders = {
            known: slot for known, slot in self._holders.items() if known > name
        }
        return newest if newest > name else None

    async def resume_install(self, name: MapName) -> None:
        """Continue loading on the members that have not finished.

        :param name: the map.
        :raises MapMissing: no known member holds it.
        """
        if self._credits is None:
            return
        known, not_loaded = self._not_loaded
        await self.install(name, not_loaded if known == name else None)

    async def install(
        self, name: MapName, target_slots: Iterable[int] | None = None
    ) -> bool:
        """Load a map on the members.

        :param name: the map.
        :param target_slots: the members to contact; all if absent.
        :returns: whether all of them have loaded it; if not, retry.
        :raises MapMissing: no known member holds it.
        """
        expert_map = self._members.acceptor.maps.find(
            name
        ) or await self._fetch(name)
        if expert_map is None:
            return False
        # Maps are large: send one only to members that lack it.
        slots = self._members.slots() if target_slots is None else target_slots
        responses = await self._send_install(name, None, slots)
        without_map = [
            slot
            for slot, response in responses.items()
            if isinstance(response, Installed) and not response.held
        ]
        if without_map:
            responses.update(
                await self._send_install(name, expert_map, without_map)
            )
        not_loaded = {
            slot
            for slot, response in responses.items()
            if not (isinstance(response, Installed) and response.loaded)
        }
        self._not_loaded = (name, not_loaded)
        return not not_loaded

    async def _send_install(
        self, name: MapName, expert_map: ExpertMap | None, slots: Iterable[int]
    ) -> Responses:
        credits = self._credits
        if credits is None:
            return await self._members.request(Install(name, expert_map), slots)
        credits.allocate(self._members.read_monotonic())
        responses = await self._members.request_each(
            {
                slot: Install(name, expert_map, credits.make_credit(slot))
                for slot in slots
            }
        )
        for slot, response in responses.items():
            if isinstance(response, Installed):
                credits.record_needed(slot, response.credits_needed)
        return responses

    async def _fetch(self, name: MapName) -> ExpertMap | None:
        holder = self._holders.get(name)
        if holder is None:
            raise MapMissing
        responses = await self._members.request(Fetch(name), [holder])
        response = responses[holder]
        if not isinstance(response, Fetched):
            return None
        if response.expert_map is None or response.expert_map.name() != name:
            raise MapMissing
        self._members.acceptor.maps.put(response.expert_map)
        return response.expert_map
