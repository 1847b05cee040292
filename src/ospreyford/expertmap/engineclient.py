"""HTTP client of an engine."""

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
    """Sends orders and status requests, with a connection per request.

    :param address: the engine's IP number and port.
    :param timeout: seconds for one call.
    """

    def __init__(self, address: tuple[str, int], timeout: float) -> None:
        self._address = address
        self._timeout = timeout

    async def send_order(self, order: AnyOrder) -> OrderReply:
        """Send an order.

        :param order: the order.
        :returns: the reply; outcome ``unknown`` without a valid one.
        """
        request = Request('POST', '/orders', (JSON_HEADER,))
        body = msgspec.json.encode(order)
        reply = await self._fetch(request, body, OrderReply)
        # The order may still be applied later.
        return OrderReply(OrderOutcome.unknown) if reply is None else reply

    async def get(
        self, target: str, reply_type: type[Decoded]
    ) -> Decoded | None:
        """Read a resource of the engine.

        :param target: request path.
        :param reply_type: type of the JSON body.
        :returns: the decoded body, or ``None`` without a valid response.
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
