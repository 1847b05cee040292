"""Adapter of ``WeightPort`` over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.expertmap.engineclient import EngineClient
from ospreyford.expertmap.orders import DropOrder, LoadOrder, WeightsReply

if TYPE_CHECKING:
    from ospreyford.expertmap.ports import OrderOutcome
    from ospreyford.ports.weights import Experts, Inventory


class HttpWeights:
    """Expert weights of one rank's engine.

    :param address: the engine's IP number and port.
    :param rank: the rank.
    :param timeout: seconds for one order.
    """

    def __init__(
        self, address: tuple[str, int], rank: int, timeout: float = 1.0
    ) -> None:
        self._client = EngineClient(address, timeout)
        self._rank = rank

    async def load(self, experts: Experts, fencing: int) -> OrderOutcome:
        """Start reading experts from the weight store.

        :param experts: the experts to read.
        :param fencing: the order's fencing number.
        :returns: the outcome.
        """
        order = LoadOrder(
            rank=self._rank, fencing=fencing, experts=tuple(sorted(experts))
        )
        return (await self._client.send_order(order)).outcome

    async def drop(self, experts: Experts, fencing: int) -> OrderOutcome:
        """Free the memory of experts.

        :param experts: the experts to free.
        :param fencing: the order's fencing number.
        :returns: the outcome.
        """
        order = DropOrder(
            rank=self._rank, fencing=fencing, experts=tuple(sorted(experts))
        )
        return (await self._client.send_order(order)).outcome

    async def read_weights(self) -> Inventory | None:
        """Read the inventory of held experts.

        :returns: its inventory, or ``None`` if the read failed.
        """
        target = f'/ranks/{self._rank}/weights'
        reply = await self._client.get(target, WeightsReply)
        return None if reply is None else reply.to_inventory()
