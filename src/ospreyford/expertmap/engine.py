"""Adapter of ``EnginePort`` over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import msgspec

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.expertmap.orders import (
    AnyOrder,
    GrantOrder,
    HaltOrder,
    InstallOrder,
    OrderReply,
    StatusReply,
)
from ospreyford.expertmap.ports import EngineStatus, Grant, OrderOutcome
from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request

JSON_TYPE = (b'content-type', b'application/json')

Decoded = TypeVar('Decoded')


class HttpEngine:
    """The engine of one rank, reached over HTTP on fresh connections.

    :param address: the engine's IP number and port.
    :param rank: the rank.
    :param timeout: seconds for one order.
    """

    def __init__(
        self, address: tuple[str, int], rank: int, timeout: float = 1.0
    ) -> None:
        self._address = address
        self._rank = rank
        self._timeout = timeout

    async def grant(self, order: Grant) -> OrderOutcome:
        """Let the engine run the steps of a window.

        :param order: range, map, generation and fencing number.
        :returns: what became of it.
        """
        reply = await self._order(
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
        """Take every grant back.

        :param generation: number of the generation that takes over.
        :param fencing: number of this order.
        :returns: what became of it.
        """
        reply = await self._order(
            HaltOrder(rank=self._rank, fencing=fencing, generation=generation)
        )
        return reply.outcome

    async def install_map(self, expert_map: ExpertMap, fencing: int) -> bool:
        """Have the engine load a map.

        :param expert_map: the map.
        :param fencing: number of this order.
        :returns: whether it is loaded; ask again until it is.
        """
        reply = await self._order(
            InstallOrder(
                rank=self._rank, fencing=fencing, expert_map=expert_map
            )
        )
        return reply.loaded

    async def read_status(self) -> EngineStatus | None:
        """Read the engine's progress.

        :returns: its status, or ``None`` if it can't be reached.
        """
        request = Request('GET', f'/ranks/{self._rank}', ())
        reply = await self._fetch(request, b'', StatusReply)
        return None if reply is None else reply.to_status()

    async def _order(self, order: AnyOrder) -> OrderReply:
        request = Request('POST', '/orders', (JSON_TYPE,))
        body = msgspec.json.encode(order)
        reply = await self._fetch(request, body, OrderReply)
        # An order without an answer may yet be applied.
        return OrderReply(OrderOutcome.unknown) if reply is None else reply

    async def _fetch(
        self, request: Request, body: bytes, reply_type: type[Decoded]
    ) -> Decoded | None:
        try:
            head, content = await fetch(
                self._address, request, body, self._timeout
            )
        except HttpError:
            return None
        if head.status != HTTPStatus.OK:
            return None
        try:
            return msgspec.json.decode(content, type=reply_type)
        except msgspec.MsgspecError:
            return None
