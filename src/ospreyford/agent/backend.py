"""HTTP client of the agent's backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ospreyford.http.client import ClientConnection, fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from ospreyford.ports.fleet import LoadReport

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from ospreyford.http.message import Response

MAX_IDLE_CONNECTIONS = 64
LOAD_TIMEOUT_SECONDS = 1.0
OK_STATUS = 200
_LOAD_REQUEST = Request('GET', '/load', ())


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load report of a model engine.

    :param in_flight: running requests.
    :param queued: queued requests.
    :param queued_tokens: prompt tokens of the queued requests.
    :param step_seconds: recent mean step time, in seconds.
    :param free_cache_ratio: free share of the KV cache, 0 to 1.
    :param age_seconds: age of the report, in seconds.
    """

    in_flight: int = 0
    queued: int = 0
    queued_tokens: int = 0
    step_seconds: float = 0
    free_cache_ratio: float = 1
    age_seconds: float = 0


class BackendAddress(NamedTuple):
    """IP address and port of the backend server."""

    host: str
    port: int


class HttpBackend:
    """HTTP client with a pool of idle connections.

    :param address: address of the backend server.
    :param connect_seconds: connect timeout, in seconds.
    """

    def __init__(self, address: BackendAddress, connect_seconds: float) -> None:
        self._address = address
        self._connect_seconds = connect_seconds
        self._idle: list[ClientConnection] = []

    async def open(self, *, reuse: bool) -> HttpCall:
        """Open a call on a pooled or new connection.

        :param reuse: whether a pooled connection may be used.
        :returns: a call on an open connection.
        :raises ConnectionRefused: connecting failed; nothing was sent.
        """
        while reuse and self._idle:
            pooled = self._idle.pop()
            # A request sent on a connection that the server has closed would
            # be reported as of unknown outcome.
            if pooled.is_quiet():
                return HttpCall(self, pooled)
            await pooled.close()
        connection = await ClientConnection.open(
            *self._address,
            self._connect_seconds,
        )
        return HttpCall(self, connection)

    async def read_load(self) -> LoadReport | None:
        """Fetch the server's load report.

        :returns: the report, without incarnation, or ``None`` if the server
            does not provide one or does not respond.
        """
        try:
            head, body = await fetch(
                self._address,
                _LOAD_REQUEST,
                timeout=LOAD_TIMEOUT_SECONDS,
            )
        except HttpError:
            return None
        return _decode_load(body) if head.status == OK_STATUS else None

    async def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if the pool is full.

        :param connection: a connection whose last response was fully read.
        """
        if (
            len(self._idle) < MAX_IDLE_CONNECTIONS
            and connection.start_next_cycle()
        ):
            self._idle.append(connection)
            return
        await connection.close()


class HttpCall:
    """One call to the backend server.

    :param backend: the client that owns the connection.
    :param connection: an open connection without unread data.
    """

    def __init__(
        self,
        backend: HttpBackend,
        connection: ClientConnection,
    ) -> None:
        self._backend = backend
        self._connection = connection

    async def send(self, request: Request, body: bytes) -> None:
        """Send the request.

        :param request: the request's head.
        :param body: the request's body.
        :raises HttpError: sending failed; the request may have been received.
        """
        await self._connection.send(request, body)

    async def read_head(self) -> Response:
        """Wait for the response head.

        :returns: status and header fields.
        :raises HttpError: the connection failed.
        """
        return await self._connection.read_head()

    def read_pieces(self) -> AsyncGenerator[bytes, None]:
        """Read the response body.

        :returns: an iterator over the chunks of the body.
        :raises HttpError: the body was truncated.
        """
        return self._connection.read_pieces()

    async def finish(self, *, whole: bool) -> None:
        """End the call and release or close its connection.

        :param whole: whether the response was fully read.
        """
        if whole:
            await self._backend.release(self._connection)
        else:
            await self._connection.close()


def _decode_load(body: bytes) -> LoadReport | None:
    try:
        load = msgspec.json.decode(body, type=EngineLoad)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return LoadReport(incarnation='', **msgspec.structs.asdict(load))
