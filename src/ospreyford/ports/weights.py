"""The weights of experts that the engine beside an agent holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from ospreyford.expertmap.ports import OrderOutcome


class Expert(NamedTuple):
    """One expert of one layer, both numbered from 0."""

    layer: int
    expert: int


#: Experts in no order; a rank holds one copy of each at most.
Experts = frozenset[Expert]


class Inventory(NamedTuple):
    """What an engine tells of its weights.

    ``instance`` and ``step`` are those of ``EngineStatus``. ``refused`` and
    ``failed`` count the reads that the weight store put off or that broke;
    an expert whose read ended so is in neither set. ``retry_after`` is the
    store's last wish, in seconds, 0 for none; ``read_bytes`` is the sum of
    all reads of this instance.
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
    """The engine's memory; it reads the weight store itself.

    An engine that honours fencing numbers refuses an order that isn't above
    the highest it has seen, of any kind of order.
    """

    async def load(self, experts: Experts, fencing: int) -> OrderOutcome:
        """Have the engine begin to read experts.

        :param experts: what to read; what is held or under way is skipped.
        :param fencing: number of this order.
        :returns: what became of the order; the inventory tells the rest.
        """

    async def drop(self, experts: Experts, fencing: int) -> OrderOutcome:
        """Have the engine free the memory of experts.

        :param experts: what to free; what isn't held is skipped.
        :param fencing: number of this order.
        :returns: what became of the order.
        """

    async def read_weights(self) -> Inventory | None:
        """Read what the engine holds.

        :returns: its inventory, or ``None`` if it can't be had.
        """
