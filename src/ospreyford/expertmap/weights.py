"""A member's weights: what its engine loads for a map, and what it frees."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.expertmap.backoff import StoreBackoff
from ospreyford.expertmap.ports import OrderOutcome
from ospreyford.expertmap.readcredits import (
    CreditAccount,
    ReadCredit,
    WeightLimits,
)
from ospreyford.expertmap.requiredexperts import (
    NO_EXPERTS,
    LayerSlots,
    RequiredExperts,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ospreyford.expertmap.fencedengine import FencedEngine
    from ospreyford.expertmap.maps import MapName
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.weights import Expert, Experts, Inventory, WeightPort


class RequiredMaps(NamedTuple):
    """Maps that this member's engine may yet step on.

    ``in_force`` is true once the engine has run a step of a window that this
    process granted. All ranks have then left the windows before that one.
    ``halted`` is true while nothing was granted since the engine was halted.
    """

    names: frozenset[MapName]
    active: bool
    halted: bool


class PendingOrders:
    """Orders whose end isn't known yet.

    ``loads`` and ``drops`` are experts of orders without an answer: these
    may yet be applied, until the engine confirms a later order. ``paid`` are
    experts that leave was spent on and that have not come.
    """

    def __init__(self) -> None:
        self.unconfirmed_loads = NO_EXPERTS
        self.unconfirmed_drops = NO_EXPERTS
        self.credited = NO_EXPERTS

    def clear_unconfirmed(self) -> None:
        """Note that the engine confirmed an order later than these."""
        self.unconfirmed_loads = NO_EXPERTS
        self.unconfirmed_drops = NO_EXPERTS

    def record_inventory(self, inventory: Inventory, *, failed: bool) -> None:
        """Close the account of what has come.

        :param inventory: what the engine holds.
        :param failed: a read broke off; its bytes may have been read and are
            paid for again, or a broken store would be read without bound.
        """
        self.credited -= inventory.held
        if failed:
            self.credited &= inventory.loading


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
        limits: WeightLimits,
        port: WeightPort,
        engine: FencedEngine,
        clock: Clock,
    ) -> None:
        self.held = NO_EXPERTS
        self.counts: Counter[str] = Counter()
        self.required = RequiredExperts(rank)
        self._limits = limits
        self._port = port
        self._engine = engine
        self._credits = CreditAccount(limits)
        self._backoff = StoreBackoff(clock)
        self._resident = NO_EXPERTS
        self._loading = NO_EXPERTS
        self._orders = PendingOrders()

    def apply_credit(self, credit: ReadCredit) -> bool:
        """Take over what may be read.

        :param leave: from a coordinator whose ballot isn't outbid.
        :returns: whether it is news; a late or doubled one is not.
        """
        if credit.ballot > self._credits.ballot:
            # What was paid for and has not come is the former ballot's.
            self._orders.credited &= self._loading
        return self._credits.apply(credit)

    def holds(self, name: MapName) -> bool:
        """Tell whether the engine holds all that a map needs here.

        :param name: the map.
        :returns: ``False`` also for a map that isn't known here.
        """
        return self.required.are_held(name, self.held)

    def needs_reconcile(self) -> bool:
        """Tell whether something is to be done, by what is known here.

        :returns: whether the inventory is wanted now.
        """
        return not self.held or bool(self.required.find_missing(self.held))

    def count_credits_needed(self) -> int:
        """Count the experts that leave is still needed for.

        :returns: a number of experts.
        """
        missing = self.required.find_missing(self.held)
        uncredited = missing - self._loading - self._orders.credited
        return max(0, len(uncredited) - self._credits.count_available())

    def reset(self) -> None:
        """Drop what was known of an engine that has been replaced."""
        self.held = NO_EXPERTS
        self._resident = NO_EXPERTS
        self._loading = NO_EXPERTS
        self._orders = PendingOrders()
        self.required.clear()
        self._backoff.reset()

    async def reconcile(
        self,
        instance: Callable[[], str],
        find_required: Callable[[int], RequiredMaps],
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
        self._record_inventory(inventory)
        drops = self._find_drops(find_required(inventory.step))
        if drops:
            await self._drop(drops)
        else:
            await self._load()

    def _record_inventory(self, inventory: Inventory) -> None:
        refused, failed = self._backoff.record_inventory(inventory)
        self.counts['refused'] += refused
        self.counts['failed'] += failed
        self._resident = inventory.held
        self._loading = inventory.loading
        self.held = inventory.held - self._orders.unconfirmed_drops
        self._orders.record_inventory(inventory, failed=failed > 0)

    def _find_drops(self, required: RequiredMaps) -> Experts:
        unneeded = self.required.find_unneeded(self._resident, required.names)
        if required.active:
            return unneeded
        if not required.halted:
            return NO_EXPERTS
        # A group that forms anew may need other experts than its engines
        # hold. Kept weights would then fill the memory, and no step, which
        # would let them go, could ever run.
        missing = self.required.find_missing(self.held) - self._loading
        blocked_layers = {expert.layer for expert in missing}
        layer_slots = self._count_layer_slots()
        return frozenset(
            one
            for one in unneeded
            if one.layer in blocked_layers and layer_slots.is_full(one.layer)
        )

    def _count_layer_slots(self) -> LayerSlots:
        # Also what an order without an answer may yet bring takes a place.
        resident = (
            self._resident | self._loading | self._orders.unconfirmed_loads
        )
        return LayerSlots(self._limits.slots_per_layer, resident)

    async def _drop(self, drops: Experts) -> None:
        self.held -= drops
        self._orders.unconfirmed_drops |= drops
        outcome = await self._engine.order_weights(self._port.drop, drops)
        self.counts['drop_orders'] += 1
        if outcome is OrderOutcome.applied:
            self.counts['dropped'] += len(drops)
            self._orders.clear_unconfirmed()

    async def _load(self) -> None:
        selected = self._select_loads()
        if not selected or self._backoff.is_waiting():
            return
        self._credits.spend(len(selected - self._orders.credited))
        self._orders.credited |= selected
        self._orders.unconfirmed_loads |= selected
        outcome = await self._engine.order_weights(self._port.load, selected)
        self.counts['load_orders'] += 1
        if outcome is OrderOutcome.applied:
            self.counts['loads'] += len(selected)
            self._orders.clear_unconfirmed()

    def _select_loads(self) -> Experts:
        missing = self.required.find_missing(self.held) - self._loading
        layer_slots = self._count_layer_slots()
        available = self._credits.count_available()
        selected: set[Expert] = set()
        for expert in sorted(missing):
            credits_needed = expert not in self._orders.credited
            if available < credits_needed or not layer_slots.reserve(expert):
                continue
            available -= credits_needed
            selected.add(expert)
        return frozenset(selected)
