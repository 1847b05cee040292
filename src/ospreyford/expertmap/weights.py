"""A member's weights: what its engine loads for a map, and what it frees."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.expertmap.backoff import StoreBackoff
from ospreyford.expertmap.leaves import Leave, SpentLeave, WeightPace
from ospreyford.expertmap.ports import OrderOutcome
from ospreyford.expertmap.wants import NOTHING, Room, WantedMaps

if TYPE_CHECKING:
    from collections.abc import Callable

    from ospreyford.expertmap.gate import EngineGate
    from ospreyford.expertmap.maps import MapName
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.weights import Expert, Experts, Inventory, WeightPort


class Needed(NamedTuple):
    """Maps that this member's engine may yet step on.

    ``in_force`` is true once the engine has run a step of a window that this
    process granted. All ranks have then left the windows before that one.
    ``halted`` is true while nothing was granted since the engine was halted.
    """

    names: frozenset[MapName]
    in_force: bool
    halted: bool


class OpenOrders:
    """Orders whose end isn't known yet.

    ``loads`` and ``drops`` are experts of orders without an answer: these
    may yet be applied, until the engine confirms a later order. ``paid`` are
    experts that leave was spent on and that have not come.
    """

    def __init__(self) -> None:
        self.loads = NOTHING
        self.drops = NOTHING
        self.paid = NOTHING

    def confirm(self) -> None:
        """Note that the engine confirmed an order later than these."""
        self.loads = NOTHING
        self.drops = NOTHING

    def settle(self, inventory: Inventory, *, failed: bool) -> None:
        """Close the account of what has come.

        :param inventory: what the engine holds.
        :param failed: a read broke off; its bytes may have been read and are
            paid for again, or a broken store would be read without bound.
        """
        self.paid -= inventory.held
        if failed:
            self.paid &= inventory.loading


class MemberWeights:
    """Orders loads and drops of one rank's engine.

    The engine's own inventory is what counts. Between two readings of it an
    expert only leaves ``held``: when a drop is ordered, before the order is
    sent, so that no window can be accepted that needs what is being freed.

    :param rank: the rank.
    :param pace: the weight store's terms.
    :param port: the engine's memory.
    :param gate: the one way of orders to the engine.
    :param clock: source of time.
    """

    def __init__(
        self,
        rank: int,
        pace: WeightPace,
        port: WeightPort,
        gate: EngineGate,
        clock: Clock,
    ) -> None:
        self.held = NOTHING
        self.counts: Counter[str] = Counter()
        self.wants = WantedMaps(rank)
        self._pace = pace
        self._port = port
        self._gate = gate
        self._leave = SpentLeave(pace)
        self._backoff = StoreBackoff(clock)
        self._present = NOTHING
        self._loading = NOTHING
        self._orders = OpenOrders()

    def take_leave(self, leave: Leave) -> bool:
        """Take over what may be read.

        :param leave: from a coordinator whose ballot isn't outbid.
        :returns: whether it is news; a late or doubled one is not.
        """
        if leave.ballot > self._leave.ballot:
            # What was paid for and has not come is the former ballot's.
            self._orders.paid &= self._loading
        return self._leave.take(leave)

    def holds(self, name: MapName) -> bool:
        """Tell whether the engine holds all that a map needs here.

        :param name: the map.
        :returns: ``False`` also for a map that isn't known here.
        """
        return self.wants.are_held(name, self.held)

    def is_due(self) -> bool:
        """Tell whether something is to be done, by what is known here.

        :returns: whether the inventory is wanted now.
        """
        return not self.held or bool(self.wants.find_missing(self.held))

    def count_wants(self) -> int:
        """Count the experts that leave is still needed for.

        :returns: a number of experts.
        """
        missing = self.wants.find_missing(self.held)
        unpaid = missing - self._loading - self._orders.paid
        return max(0, len(unpaid) - self._leave.left())

    def forget(self) -> None:
        """Drop what was known of an engine that has been replaced."""
        self.held = NOTHING
        self._present = NOTHING
        self._loading = NOTHING
        self._orders = OpenOrders()
        self.wants.clear()
        self._backoff.forget()

    async def tend(
        self,
        instance: Callable[[], str],
        find_needed: Callable[[int], Needed],
    ) -> None:
        """Read the inventory and give the next order that it calls for.

        :param instance: tells the engine instance that this member knows.
        :param find_needed: tells the maps in use, by the engine's step.
        :raises Superseded: another process orders this engine.
        """
        inventory = await self._port.read_weights()
        # Another engine's weights say nothing of the one that took orders.
        if inventory is None or inventory.instance != instance():
            return
        self._note(inventory)
        drops = self._find_drops(find_needed(inventory.step))
        if drops:
            await self._drop(drops)
        else:
            await self._load()

    def _note(self, inventory: Inventory) -> None:
        refused, failed = self._backoff.note(inventory)
        self.counts['refused'] += refused
        self.counts['failed'] += failed
        self._present = inventory.held
        self._loading = inventory.loading
        self.held = inventory.held - self._orders.drops
        self._orders.settle(inventory, failed=failed > 0)

    def _find_drops(self, needed: Needed) -> Experts:
        spare = self.wants.find_spare(self._present, needed.names)
        if needed.in_force:
            return spare
        if not needed.halted:
            return NOTHING
        # A group that forms anew may need other experts than its engines
        # hold. Kept weights would then fill the memory, and no step, which
        # would let them go, could ever run.
        missing = self.wants.find_missing(self.held) - self._loading
        blocked = {one.layer for one in missing}
        room = self._measure_room()
        return frozenset(
            one
            for one in spare
            if one.layer in blocked and room.is_full(one.layer)
        )

    def _measure_room(self) -> Room:
        # Also what an order without an answer may yet bring takes a place.
        resident = self._present | self._loading | self._orders.loads
        return Room(self._pace.slots, resident)

    async def _drop(self, drops: Experts) -> None:
        self.held -= drops
        self._orders.drops |= drops
        outcome = await self._gate.order_weights(self._port.drop, drops)
        self.counts['drop_orders'] += 1
        if outcome is OrderOutcome.applied:
            self.counts['dropped'] += len(drops)
            self._orders.confirm()

    async def _load(self) -> None:
        chosen = self._choose_loads()
        if not chosen or self._backoff.is_waiting():
            return
        self._leave.spend(len(chosen - self._orders.paid))
        self._orders.paid |= chosen
        self._orders.loads |= chosen
        outcome = await self._gate.order_weights(self._port.load, chosen)
        self.counts['load_orders'] += 1
        if outcome is OrderOutcome.applied:
            self.counts['loads'] += len(chosen)
            self._orders.confirm()

    def _choose_loads(self) -> Experts:
        missing = self.wants.find_missing(self.held) - self._loading
        room = self._measure_room()
        left = self._leave.left()
        chosen: set[Expert] = set()
        for one in sorted(missing):
            costs = one not in self._orders.paid
            if left < costs or not room.take(one):
                continue
            left -= costs
            chosen.add(one)
        return frozenset(chosen)
