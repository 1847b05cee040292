"""Loads and drops of expert weights on one member's engine."""

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
    """Maps that this member's engine may still step on.

    ``active`` is true once the engine has run a step granted by this process:
    all ranks have then left earlier windows. ``halted`` is true while nothing
    was granted since the engine was halted.
    """

    names: frozenset[MapName]
    active: bool
    halted: bool


class PendingOrders:
    """Weight orders with an unknown outcome.

    ``unconfirmed_loads`` and ``unconfirmed_drops`` may still be applied until
    the engine confirms a later order. ``credited`` are the experts that read
    credits were spent on and that are not held yet.
    """

    def __init__(self) -> None:
        self.unconfirmed_loads = NO_EXPERTS
        self.unconfirmed_drops = NO_EXPERTS
        self.credited = NO_EXPERTS

    def clear_unconfirmed(self) -> None:
        """Clear the orders that precede a confirmed one."""
        self.unconfirmed_loads = NO_EXPERTS
        self.unconfirmed_drops = NO_EXPERTS

    def record_inventory(self, inventory: Inventory, *, failed: bool) -> None:
        """Remove the experts that arrived from ``credited``.

        :param inventory: the engine's inventory.
        :param failed: whether a read failed; retries then cost new credits,
            which bounds the reads from a failing store.
        """
        self.credited -= inventory.held
        if failed:
            self.credited &= inventory.loading


class MemberWeights:
    """Orders loads and drops of one rank's engine.

    ``held`` follows the engine's inventory. An expert leaves it before its
    drop is sent, so that no window that requires it can be accepted.

    :param rank: the rank.
    :param limits: weight store and memory limits.
    :param port: the engine's memory.
    :param engine: the fenced engine.
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
        """Apply a read credit.

        :param credit: from a coordinator that has not been preempted.
        :returns: ``False`` for a stale or duplicated credit.
        """
        if credit.ballot > self._credits.ballot:
            # Only reads in progress stay credited across ballots.
            self._orders.credited &= self._loading
        return self._credits.apply(credit)

    def holds(self, name: MapName) -> bool:
        """Return whether the engine holds the experts that a map requires.

        :param name: the map.
        :returns: ``False`` also for an unknown map.
        """
        return self.required.are_held(name, self.held)

    def needs_reconcile(self) -> bool:
        """Return whether loads may be due.

        :returns: whether to reconcile without waiting for the idle interval.
        """
        return not self.held or bool(self.required.find_missing(self.held))

    def count_credits_needed(self) -> int:
        """Count the missing experts that lack read credits.

        :returns: number of experts.
        """
        missing = self.required.find_missing(self.held)
        uncredited = missing - self._loading - self._orders.credited
        return max(0, len(uncredited) - self._credits.count_available())

    def reset(self) -> None:
        """Clear the state of an engine that has been replaced."""
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
        """Read the inventory and send the next load or drop.

        :param instance: returns the engine instance known to this member.
        :param find_required: returns the maps in use at an engine step.
        :raises Superseded: another process controls this engine.
        """
        inventory = await self._port.read_weights()
        # The engine was replaced; the member must notice this first.
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
        # Unneeded weights may block the loads of a group that forms; without
        # those no step would ever run and free them.
        missing = self.required.find_missing(self.held) - self._loading
        blocked_layers = {expert.layer for expert in missing}
        layer_slots = self._count_layer_slots()
        return frozenset(
            one
            for one in unneeded
            if one.layer in blocked_layers and layer_slots.is_full(one.layer)
        )

    def _count_layer_slots(self) -> LayerSlots:
        # Unconfirmed loads may still occupy a slot.
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
