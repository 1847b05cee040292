"""Bringing an expert map to every member before it is proposed."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ospreyford.expertmap.calls import Answers, MemberCalls
from ospreyford.expertmap.errors import MapMissing
from ospreyford.expertmap.leaves import Allotment
from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.messages import (
    Fetch,
    Fetched,
    Install,
    Installed,
    Promise,
)


class MapInstaller:
    """Spreads maps and knows who holds which.

    :param calls: questions to the members.
    :param allotment: the group's share of the weight store; ``None`` where
        engines see to their weights themselves.
    """

    def __init__(
        self, calls: MemberCalls, allotment: Allotment | None = None
    ) -> None:
        self._calls = calls
        self._allotment = allotment
        self._unready: tuple[MapName | None, set[int]] = (None, set())
        self._holders: dict[MapName, int] = {}

    def learn(self, promises: Sequence[Promise]) -> None:
        """Note who holds which map.

        :param promises: the members' promises, by slot.
        """
        if self._allotment is not None:
            self._allotment.learn([each.incarnation for each in promises])
        for slot, promise in enumerate(promises):
            self.note(slot, promise.newest)
            if promise.vote is not None:
                self.note(slot, promise.vote.window.map_name)

    def tell_forming(self, forming: bool) -> None:
        """Note whether the group stands until the next map is loaded.

        :param forming: whether it does.
        """
        if self._allotment is not None:
            self._allotment.forming = forming

    def note(self, slot: int, name: MapName | None) -> None:
        """Note that a member holds a map.

        :param slot: the member.
        :param name: the map, if any.
        """
        if name is not None:
            self._holders[name] = slot

    def newest_after(self, name: MapName) -> MapName | None:
        """Tell which map is to follow.

        :param name: the map in use.
        :returns: the newest one known, if it is newer.
        """
        own = self._calls.keeper.maps.newest()
        self.note(self._calls.keeper.slot, own)
        newest = max(self._holders, default=name)
        self._holders = {
            known: slot for known, slot in self._holders.items() if known > name
        }
        return newest if newest > name else None

    async def prepare(self, name: MapName) -> None:
        """Have the engines that still lack weights go on loading a map.

        :param name: the map.
        :raises MapMissing: no member holds it any more.
        """
        if self._allotment is None:
            return
        known, slots = self._unready
        await self.install(name, slots if known == name else None)

    async def install(
        self, name: MapName, only: Iterable[int] | None = None
    ) -> bool:
        """Have every engine load a map.

        :param name: the map.
        :param only: the members to ask; all if absent.
        :returns: whether all those asked have; if not, ask again.
        :raises MapMissing: no member holds it any more.
        """
        body = self._calls.keeper.maps.find(name) or await self._fetch(name)
        if body is None:
            return False
        # A map is far larger than its name: only those who lack it get it.
        slots = self._calls.slots() if only is None else only
        answers = await self._ask(name, None, slots)
        lacking = [
            slot
            for slot, answer in answers.items()
            if isinstance(answer, Installed) and not answer.held
        ]
        if lacking:
            answers.update(await self._ask(name, body, lacking))
        unready = {
            slot
            for slot, answer in answers.items()
            if not (isinstance(answer, Installed) and answer.loaded)
        }
        self._unready = (name, unready)
        return not unready

    async def _ask(
        self, name: MapName, body: ExpertMap | None, slots: Iterable[int]
    ) -> Answers:
        allotment = self._allotment
        if allotment is None:
            return await self._calls.ask(Install(name, body), slots)
        allotment.allot(self._calls.read_monotonic())
        answers = await self._calls.ask_each(
            {
                slot: Install(name, body, allotment.make_leave(slot))
                for slot in slots
            }
        )
        for slot, answer in answers.items():
            if isinstance(answer, Installed):
                allotment.note(slot, answer.wants)
        return answers

    async def _fetch(self, name: MapName) -> ExpertMap | None:
        holder = self._holders.get(name)
        if holder is None:
            raise MapMissing
        answers = await self._calls.ask(Fetch(name), [holder])
        answer = answers[holder]
        if not isinstance(answer, Fetched):
            return None
        if answer.body is None or answer.body.name() != name:
            raise MapMissing
        self._calls.keeper.maps.put(answer.body)
        return answer.body
