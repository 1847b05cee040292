"""Port to the expert weights in the engine of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from ospreyford.expertmap.ports import OrderOutcome


class Expert(NamedTuple):
    """One expert of one layer, both numbered from 0."""

    layer: int
    expert: int


#: A rank holds at most one copy of each expert.
Experts = frozenset[Expert]


class Inventory(NamedTuple):
    """Expert weights held by an engine.

    ``instance`` and ``step`` are those of ``EngineStatus``. ``refused`` and
    ``failed`` count reads deferred by the weight store or failed; their
    experts are in neither set. ``retry_after`` is the store's last value in
    seconds, or 0; ``read_bytes`` is the total of this instance.
    """

    instance: str
    step: int
    held: Experts
    loading: Experts
    refused: int
    failed: int
    retry_after: float
    read_bytes: int


class WeightPort(Protocol):
    """Commands that load and free expert weights in the engine.

    An engine with fencing rejects any order whose fencing number is not
    above the highest it has seen.
    """

    async def load(self, experts: Experts, fencing: int) -> OrderOutcome:
        """Start loading experts.

        :param experts: experts to load; those held or loading are skipped.
        :param fencing: fencing number of the order.
        :returns: outcome of the order; progress is in the inventory.
        """

    async def drop(self, experts: Experts, fencing: int) -> OrderOutcome:
        """Free the memory of experts.

        :param experts: experts to free; those not held are skipped.
        :param fencing: fencing number of the order.
        :returns: outcome of the order.
        """

    async def read_weights(self) -> Inventory | None:
        """Read the inventory of the engine.

        :returns: the inventory, or ``None`` if it is not available.
        """
