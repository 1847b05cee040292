"""Coordinator of a rank group for one ballot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.expertmap.errors import MapMissing, MembersUnreachable
from ospreyford.expertmap.installer import MapInstaller
from ospreyford.expertmap.messages import (
    Accepted,
    Extend,
    Installed,
    Prepare,
    Promise,
)
from ospreyford.expertmap.recovery import Recovery, recover
from ospreyford.expertmap.windows import Window

if TYPE_CHECKING:
    from ospreyford.expertmap.maps import MapName
    from ospreyford.expertmap.memberclient import MemberClient, Responses
    from ospreyford.expertmap.readcredits import CreditAllocator
    from ospreyford.expertmap.settings import RankSettings

MICROSECONDS_PER_SECOND = 1_000_000
#: Attempts at ``install_seconds`` before falling back to ``load_seconds``.
FAST_INSTALL_ATTEMPTS = 6


class Coordinator:
    """Leads the group under one ballot until it is preempted.

    :param settings: the member's settings.
    :param members: client for the members, under an unused ballot.
    :param credits: allocator of weight-store reads under the same ballot.
    """

    def __init__(
        self,
        settings: RankSettings,
        members: MemberClient,
        credits: CreditAllocator | None = None,
    ) -> None:
        self._settings = settings
        self._members = members
        self._installer = MapInstaller(members, credits)
        self._next_load_at = members.read_monotonic()

    async def lead(self) -> None:
        """Take over the group, then propose and release windows.

        :raises BallotPreempted: another coordinator holds a higher ballot.
        :raises MemberLost: the generation cannot continue.
        :raises MembersUnreachable: a member sent no promise.
        :raises MapMissing: no member holds a map.
        """
        promises = await self._prepare()
        self._installer.record_promises(promises)
        state = recover(self._members.ballot, promises)
        released = state.released
        proposed = self._make_first_window(state)
        await self._install(proposed.map_name)
        while True:
            await self._replicate_window(state, released, proposed)
            # The release is sent with the proposal of the next window.
            granted, released = released, proposed
            await self._wait_for_demand(granted, released.map_name)
            proposed = await self._select_next_window(released)

    async def _prepare(self) -> list[Promise]:
        slots = self._members.slots()
        responses = await self._members.request(
            Prepare(self._members.ballot), slots
        )
        promises = {
            slot: response
            for slot, response in responses.items()
            if isinstance(response, Promise)
        }
        missing = slots.difference(promises)
        if missing:
            raise MembersUnreachable(tuple(sorted(missing)))
        return [promises[slot] for slot in sorted(promises)]

    def _make_first_window(self, state: Recovery) -> Window:
        if state.forced is not None:
            return state.forced
        if state.released is not None:
            return self._make_next_window(
                state.released, state.released.map_name
            )
        if state.map_name is None:
            raise MapMissing
        # If all members lost their state, partitioned engines may still run
        # old grants. Steps take longer than 1 us, so the wall clock in us is
        # above all of them.
        wall_step = int(self._members.read_wall() * MICROSECONDS_PER_SECOND)
        first_step = max(state.first_step, wall_step)
        return Window(
            index=0,
            first_step=first_step,
            last_step=first_step + self._settings.window_steps - 1,
            map_name=state.map_name,
        )

    def _make_next_window(self, window: Window, map_name: MapName) -> Window:
        return Window(
            index=window.index + 1,
            first_step=window.last_step + 1,
            last_step=window.last_step + self._settings.window_steps,
            map_name=map_name,
        )

    async def _select_next_window(self, released: Window) -> Window:
        name = released.map_name
        newest = self._installer.find_newer(name)
        if newest is not None and await self._installer.install(newest):
            name = newest
        return self._make_next_window(released, name)

    async def _wait_for_demand(
        self, granted: Window | None, name: MapName
    ) -> None:
        while granted is not None:
            status = await self._members.read_engine()
            if status is not None:
                remaining_steps = granted.last_step - status.step
                if remaining_steps < self._settings.lead_steps:
                    return
            await self._prefetch_weights(name)
            await self._members.sleep(self._settings.poll_seconds)

    async def _prefetch_weights(self, name: MapName) -> None:
        # Loading takes many windows; issue read credits while steps run.
        now = self._members.read_monotonic()
        if now < self._next_load_at:
            return
        self._next_load_at = now + self._settings.load_seconds
        newest = self._installer.find_newer(name)
        if newest is not None:
            await self._installer.resume_install(newest)

    async def _replicate_window(
        self, state: Recovery, released: Window | None, proposed: Window
    ) -> None:
        request = Extend(
            ballot=self._members.ballot,
            generation=state.generation,
            released=released,
            proposed=proposed,
            members=state.incarnations if released is None else (),
        )
        pending_slots = self._members.slots()
        while True:
            responses = await self._members.request(request, pending_slots)
            pending_slots -= self._record_accepted(proposed, responses)
            if not pending_slots:
                return
            await self._members.sleep(self._settings.poll_seconds)
            if _any_lacks_map(responses):
                await self._installer.install(proposed.map_name)

    def _record_accepted(
        self, proposed: Window, responses: Responses
    ) -> set[int]:
        accepted: set[int] = set()
        for slot, response in responses.items():
            if not isinstance(response, Accepted):
                continue
            if response.index == proposed.index:
                accepted.add(slot)
                self._installer.record_holder(slot, response.newest)
        return accepted

    async def _install(self, name: MapName) -> None:
        self._installer.set_forming(forming=True)
        attempts = 0
        while not await self._installer.install(name):
            attempts += 1
            # Poll less often once the load turns out to be long.
            await self._members.sleep(
                self._settings.install_seconds
                if attempts < FAST_INSTALL_ATTEMPTS
                else self._settings.load_seconds
            )
        self._installer.set_forming(forming=False)


def _any_lacks_map(responses: Responses) -> bool:
    return any(
        isinstance(response, Installed) for response in responses.values()
    )
