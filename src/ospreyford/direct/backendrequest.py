"""One sending of a request to one back end."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING, Final, NamedTuple

import curio

from ospreyford.direct.headers import make_backend_headers
from ospreyford.direct.verdicts import (
    Cause,
    Lost,
    Refused,
    Replied,
    Sent,
    Streaming,
)
from ospreyford.http.errors import ConnectionRefused, HttpError
from ospreyford.http.message import Request, Response, find_header

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ospreyford.direct.call import Call
    from ospreyford.direct.connections import ConnectionPool
    from ospreyford.direct.headernames import HeaderNames
    from ospreyford.direct.registry import BackendServer
    from ospreyford.http.client import ClientConnection

OK: Final = 200
REDIRECTION: Final = 300
#: The first status that HTTP does not know.
MAX_STATUS_EXCLUSIVE: Final = 600
MISDIRECTED: Final = 421
#: Time for the rest of a refusal, in seconds. With it read, the connection can
#: serve again; without, only a new one is needed.
REFUSAL_BODY_SECONDS = 0.05


class RequestResources(NamedTuple):
    """What each sending uses.

    :param pool: connections to back ends.
    :param dialect: the names of header fields.
    """

    pool: ConnectionPool
    header_names: HeaderNames


class BackendRequest:
    """A request on its way to a back end, and the answer to it.

    Leaving the context closes a connection whose answer was not read in
    whole: the back end then stops its work, and nobody is given the rest.

    :param call: the request.
    :param server: the back end.
    :param tools: connections and names.
    """

    def __init__(
        self, call: Call, server: BackendServer, resources: RequestResources
    ) -> None:
        self.server = server
        self._call = call
        self._resources = resources
        self._connection: ClientConnection | None = None
        self._head: Response | None = None
        self._is_complete = False

    async def __aenter__(self) -> BackendRequest:
        """Begin.

        :returns: itself.
        """
        return self

    async def __aexit__(self, *_: object) -> None:
        """Keep the connection if its answer was read in whole."""
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        if self._is_complete and self._head is not None:
            await self._resources.pool.release(
                self.server, connection, self._head
            )
        else:
            await connection.close()

    async def start(self) -> Sent:
        """Send the request and wait for the head of its answer.

        :returns: what came of it; a plain answer is read in whole.
        """
        try:
            self._connection = await self._resources.pool.acquire(self.server)
        except ConnectionRefused:
            return Refused(head=None)
        try:
            return await self._exchange(self._connection)
        except HttpError:
            return Lost(Cause.lost)

    async def read_pieces(self) -> AsyncGenerator[bytes, None]:
        """Read the body of a stream as it comes.

        :returns: an iterator of pieces that ends with the answer.
        :raises HttpError: the stream was cut.
        """
        if self._connection is None:
            return
        async with aclosing(self._connection.read_pieces()) as pieces:
            async for piece in pieces:
                yield piece
        self._is_complete = True

    async def _exchange(self, connection: ClientConnection) -> Sent:
        call = self._call
        remaining = call.compute_remaining(time.monotonic())
        headers = make_backend_headers(
            call, self.server, self._resources.header_names, remaining
        )
        await connection.send(
            Request(call.request.method, call.request.target, headers),
            call.body,
        )
        head = await connection.read_head()
        self._head = head
        return await self._classify_response(connection, head)

    async def _classify_response(
        self, connection: ClientConnection, head: Response
    ) -> Sent:
        header_names = self._resources.header_names
        refused = find_header(head.headers, header_names.refused) is not None
        if refused or head.status == MISDIRECTED:
            await self._drain_refusal(connection)
            return Refused(head)
        if not self._is_valid_response(head):
            return Lost(Cause.garbled)
        if self._call.route.streams and head.status == OK:
            return Streaming(head)
        body = await connection.read_body()
        self._is_complete = True
        return Replied(head, body)

    async def _drain_refusal(self, connection: ClientConnection) -> None:
        async with curio.ignore_after(REFUSAL_BODY_SECONDS):
            try:
                await connection.read_body()
            except HttpError:
                return
            self._is_complete = True

    def _is_valid_response(self, head: Response) -> bool:
        """Tell whether an answer belongs to this request and is usable.

        A back end may answer an earlier request twice, or late, where this
        answer is expected. The id shows it; without this check the caller
        would get somebody else's answer.
        """
        header_names = self._resources.header_names
        echoed = find_header(head.headers, header_names.request_id)
        if not OK <= head.status < MAX_STATUS_EXCLUSIVE:
            return False
        if echoed is not None and echoed.decode('latin-1') != self._call.id:
            return False
        if find_header(head.headers, b'content-encoding') is not None:
            return False
        is_success = OK <= head.status < REDIRECTION
        return not is_success or (
            echoed is not None
            and find_header(head.headers, header_names.signature) is not None
        )
