"""Orders and questions to an engine over HTTP, on fresh connections."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import msgspec

from ospreyford.expertmap.orders import AnyOrder, OrderReply
from ospreyford.expertmap.ports import OrderOutcome
from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request

JSON_HEADER = (b'content-type', b'application/json')

Decoded = TypeVar('Decoded')


class EngineClient:
    """One engine's HTTP interface.

    :param address: the engine's IP number and port.
    :param timeout: seconds for one call.
    """

    def __init__(self, address: tuple[str, int], timeout: float) -> None:
        self._address = address
        self._timeout = timeout

    async def send_order(self, order: AnyOrder) -> OrderReply:
        """Give an order.

        :param order: the order.
        :returns: what became of it.
        """
        request = Request('POST', '/orders', (JSON_HEADER,))
        body = msgspec.json.encode(order)
        reply = await self._fetch(request, body, OrderReply)
        # An order without an answer may yet be applied.
        return OrderReply(OrderOutcome.unknown) if reply is None else reply

    async def get(
        self, target: str, reply_type: type[Decoded]
    ) -> Decoded | None:
        """Ask the engine.

        :param target: path of the question.
        :param reply_type: what the JSON body holds.
        :returns: the answer, or ``None`` if none that is sound came.
        """
        return await self._fetch(Request('GET', target, ()), b'', reply_type)

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
