"""The backend server beside the agent, over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ospreyford.http.client import ClientConnection, fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from ospreyford.ports.fleet import LoadReport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ospreyford.http.message import Response

MAX_IDLE_CONNECTIONS = 64
LOAD_TIMEOUT_SECONDS = 1.0
OK_STATUS = 200
_LOAD_REQUEST = Request('GET', '/load', ())


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What a model engine says of its load, with a lag.

    :param in_flight: requests running now.
    :param queued: requests waiting.
    :param queued_tokens: prompt tokens waiting.
    :param step_seconds: recent mean step time, in seconds.
    :param free_cache_ratio: free share of the KV cache, 0 to 1.
    :param age_seconds: age of these figures, in seconds.
    """

    in_flight: int = 0
    queued: int = 0
    queued_tokens: int = 0
    step_seconds: float = 0
    free_cache_ratio: float = 1
    age_seconds: float = 0


class BackendAddress(NamedTuple):
    """Where the backend server listens: IP number and port."""

    host: str
    port: int


class HttpBackend:
    """Calls to one backend server.

    :param address: where it listens.
    :param connect_seconds: longest wait for a connection.
    """

    def __init__(self, address: BackendAddress, connect_seconds: float) -> None:
        self._address = address
        self._connect_seconds = connect_seconds
        self._idle: list[ClientConnection] = []

    async def open(self, *, reuse: bool) -> HttpCall:
        """Open a call.

        :param reuse: a connection that was used before will do.
        :returns: a call on an open connection.
        :raises ConnectionRefused: no connection; nothing was sent.
        """
        while reuse and self._idle:
            pooled = self._idle.pop()
            # The server closes idle connections when it likes: a request on
            # such a one would be of unknown fate although it never arrived.
            if pooled.is_quiet():
                return HttpCall(self, pooled)
            await pooled.close()
        connection = await ClientConnection.open(
            *self._address,
            self._connect_seconds,
        )
        return HttpCall(self, connection)

    async def read_load(self) -> LoadReport | None:
        """Read the server's own load report.

        :returns: the report, without incarnation, or ``None`` for a server
            that has none or does not answer.
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
        """Keep a connection for another call.

        :param connection: one whose last answer was read to its end.
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

    :param backend: the server.
    :param connection: an open connection with nothing unread on it.
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
        :raises HttpError: it may or may not have arrived.
        """
        await self._connection.send(request, body)

    async def read_head(self) -> Response:
        """Wait for the answer's head.

        :returns: status and header fields.
        :raises HttpError: no answer will come.
        """
        return await self._connection.read_head()

    def read_pieces(self) -> AsyncIterator[bytes]:
        """Read the answer's body.

        :returns: an iterator of pieces that ends with the answer.
        :raises HttpError: the body was cut.
        """
        return self._connection.read_pieces()

    async def finish(self, *, whole: bool) -> None:
        """End the call.

        :param whole: the answer was read to its end.
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
