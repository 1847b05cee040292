"""Adapter of ``EnginePort`` over HTTP."""

from __future__ import annotations

from ospreyford.expertmap.engineclient import EngineClient
from ospreyford.expertmap.maps import ExpertMap
from ospreyford.expertmap.orders import (
    GrantOrder,
    HaltOrder,
    InstallOrder,
    StatusReply,
)
from ospreyford.expertmap.ports import EngineStatus, Grant, OrderOutcome


class HttpEngine:
    """One rank's engine, called over HTTP with a connection per request.

    :param address: the engine's IP number and port.
    :param rank: the rank.
    :param timeout: seconds for one order.
    """

    def __init__(
        self, address: tuple[str, int], rank: int, timeout: float = 1.0
    ) -> None:
        self._client = EngineClient(address, timeout)
        self._rank = rank

    async def grant(self, order: Grant) -> OrderOutcome:
        """Grant the steps of a window.

        :param order: the grant.
        :returns: the outcome.
        """
        reply = await self._client.send_order(
            GrantOrder(
                rank=self._rank,
                fencing=order.fencing,
                generation=order.generation,
                map_name=order.map_name,
                first_step=order.first_step,
                last_step=order.last_step,
            )
        )
        return reply.outcome

    async def halt(self, generation: int, fencing: int) -> OrderOutcome:
        """Revoke every grant.

        :param generation: number of the new generation.
        :param fencing: the order's fencing number.
        :returns: the outcome.
        """
        reply = await self._client.send_order(
            HaltOrder(rank=self._rank, fencing=fencing, generation=generation)
        )
        return reply.outcome

    async def install_map(self, expert_map: ExpertMap, fencing: int) -> bool:
        """Load a map.

        :param expert_map: the map.
        :param fencing: the order's fencing number.
        :returns: whether loading has finished; if not, call again.
        """
        reply = await self._client.send_order(
            InstallOrder(
                rank=self._rank, fencing=fencing, expert_map=expert_map
            )
        )
        return reply.loaded

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's progress.

        :returns: its status, or ``None`` if it is unreachable.
        """
        target = f'/ranks/{self._rank}'
        reply = await self._client.get(target, StatusReply)
        return None if reply is None else reply.to_status()
