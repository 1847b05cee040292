"""Calls of one address, one at a time, on a connection that is kept."""

from __future__ import annotations

from typing import NamedTuple

import curio

from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import HttpError, TooSlow
from ospreyford.http.message import Headers, Request
from ospreyford.http.reading import DEFAULT_RESOURCES, ReadingResources


class KeptAnswer(NamedTuple):
    """A whole answer.

    :param status: its HTTP status.
    :param body: the complete body.
    :param headers: the header fields.
    """

    status: int
    body: bytes
    headers: Headers


class KeptConnection:
    """Opens a connection when it is needed and keeps it between calls.

    A connection whose call failed is closed: on one on which an answer was
    lost, the next call would wait in vain as well, or read the lost answer.

    :param address: IP number and port; another one counts from the next
        connection on.
    :param connect_seconds: time for opening a connection.
    :param resources: shared with other connections.
    """

    def __init__(
        self,
        address: tuple[str, int],
        connect_seconds: float,
        resources: ReadingResources = DEFAULT_RESOURCES,
    ) -> None:
        self._resources = resources
        self.address = address
        self._connect_seconds = connect_seconds
        self._connection: ClientConnection | None = None

    async def call(
        self, request: Request, body: bytes, seconds: float
    ) -> KeptAnswer:
        """Send a request and read the whole answer.

        :param request: the request, without its host.
        :param body: the request's body.
        :param seconds: time for all of it.
        :returns: the answer.
        :raises HttpError: no whole answer in time.
        """
        try:
            answer: KeptAnswer = await curio.timeout_after(
                seconds, self._exchange, request, body
            )
        except HttpError:
            await self.close()
            raise
        except curio.TaskTimeout:
            await self.close()
            raise TooSlow('answer', seconds) from None
        return answer

    async def close(self) -> None:
        """Close the connection; the next call opens another one."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            await connection.close()

    async def _exchange(self, request: Request, body: bytes) -> KeptAnswer:
        connection = self._connection
        if connection is None or not connection.is_quiet():
            await self.close()
            connection = await ClientConnection.open(
                *self.address, self._connect_seconds, self._resources
            )
            self._connection = connection
        host = ':'.join(map(str, self.address)).encode()
        headers = ((b'host', host), *request.headers)
        await connection.send(request._replace(headers=headers), body)
        head = await connection.read_head()
        content = await connection.read_body()
        if not connection.start_next_cycle():
            await self.close()
        return KeptAnswer(head.status, content, head.headers)
