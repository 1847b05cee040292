"""One attempt to send a request to a backend."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, NamedTuple

import curio

from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.headers import make_backend_headers
from ospreyford.direct.verdicts import (
    AttemptOutcome,
    Cause,
    Lost,
    Refused,
    Replied,
    Streaming,
    Withheld,
)
from ospreyford.http.errors import BufferFull, ConnectionRefused, HttpError
from ospreyford.http.message import Request, Response, find_header

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.connections import ConnectionPool
    from ospreyford.direct.declarations import BackendDeclarations
    from ospreyford.direct.headernames import HeaderNames
    from ospreyford.direct.registry import BackendServer
    from ospreyford.http.client import ClientConnection

OK: Final = 200
REDIRECTION: Final = 300
#: First number that is not an HTTP status.
MAX_STATUS_EXCLUSIVE: Final = 600
MISDIRECTED: Final = 421
#: Fields that tell where a response ends.
FRAMING_FIELDS: Final = frozenset((b'content-length', b'transfer-encoding'))
#: Time to read the body of a refusal, so that the connection can be reused.
REFUSAL_BODY_SECONDS = 0.05


class RequestResources(NamedTuple):
    """Resources shared by all backend requests.

    :param pool: connections to backends.
    :param header_names: names of the header fields.
    :param declarations: what backends declare about further requests.
    """

    pool: ConnectionPool
    header_names: HeaderNames
    declarations: BackendDeclarations


class BackendRequest:
    """A request sent to a backend, and its response.

    Closing it resets a connection whose response was not read completely, so
    that the backend stops its work, or never receives it.

    :param call: the request.
    :param server: the backend.
    :param resources: connection pool and header names.
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
        self._sent_at: float = 0

    async def aclose(self) -> None:
        """Release the connection, or reset it if the response is incomplete."""
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        if self._is_complete and self._head is not None:
            await self._resources.pool.release(
                self.server, connection, self._head
            )
        else:
            # A host that does not respond must not receive it later.
            await connection.close(resets=True)

    def describe_response(self) -> tuple[str, ...]:
        """Describe the response head for the log.

        :returns: status, and what tells whether the request has run; nothing
            before the head was read.
        """
        head = self._head
        if head is None:
            return ()
        names = self._resources.header_names
        is_marked = find_header(head.headers, names.refused) is not None
        return (
            str(head.status),
            *(('not-run',) if is_marked else ()),
            *(() if self._is_mine(head) else ('other-request',)),
        )

    async def start(self) -> AttemptOutcome:
        """Send the request and wait for the response head.

        :returns: the outcome; a plain response is read completely.
        """
        try:
            self._connection = await self._resources.pool.acquire(self.server)
        except ConnectionRefused:
            return Refused(head=None)
        # The backend may have declared it while the connection was opened.
        if not self._resources.declarations.accepts(
            self.server, time.monotonic()
        ):
            return Withheld()
        if self._has_lapsed():
            return Withheld()
        try:
            return await self._exchange(self._connection)
        except BufferFull:
            return Lost(Cause.oversized)
        except HttpError:
            return Lost(Cause.lost)

    def ends_with_connection(self) -> bool:
        """Check whether only the end of the connection ends the response.

        :returns: whether it has neither a length nor chunks.
        """
        headers = self._head.headers if self._head else ()
        return not any(name in FRAMING_FIELDS for name, _ in headers)

    async def read_piece(self) -> bytes | None:
        """Read the next piece of the body of a stream.

        :returns: the piece; ``None`` at the end.
        :raises HttpError: the stream was cut.
        """
        if self._connection is None:
            return None
        piece = await self._connection.read_piece()
        self._is_complete = piece is None
        return piece

    def charge_stream(self, events: int) -> None:
        """Count the work for events of the stream that were read.

        :param events: number of events.
        """
        if self._connection is not None:
            self._connection.allowance.charge_stream(events)

    def _has_lapsed(self) -> bool:
        """Check whether the request may not be sent any more.

        Opening the connection, or a pause, may have taken too long, or the
        backend may have become limited meanwhile.
        """
        lapses_at = self._call.send_before
        if lapses_at is None:
            limits = self._resources.declarations.limits
            return limits.get_rate(self.server) is not None
        return read_boot_clock() > lapses_at

    async def _exchange(self, connection: ClientConnection) -> AttemptOutcome:
        call = self._call
        self._sent_at = time.monotonic()
        remaining = call.compute_remaining(self._sent_at)
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
    ) -> AttemptOutcome:
        header_names = self._resources.header_names
        if not self._is_mine(head):
            # A refusal of another request says nothing of this one.
            return Lost(Cause.garbled)
        if head.status == MISDIRECTED:
            # Another backend at the same address.
            await self._drain_refusal(connection)
            return Refused(head)
        self._resources.declarations.record_response(
            self.server, head, self._sent_at
        )
        refused = find_header(head.headers, header_names.refused) is not None
        if not refused and not self._is_valid_response(head):
            return Lost(Cause.garbled)
        if refused:
            await self._drain_refusal(connection)
            return Refused(head)
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

    def _is_mine(self, head: Response) -> bool:
        """Check whether a response may belong to this request.

        A backend may send a duplicate or late response to an earlier request.
        """
        echoed = find_header(
            head.headers, self._resources.header_names.request_id
        )
        return echoed is None or echoed.decode('latin-1') == self._call.id

    def _is_valid_response(self, head: Response) -> bool:
        """Check whether a response to this request is usable."""
        header_names = self._resources.header_names
        echoed = find_header(head.headers, header_names.request_id)
        if not OK <= head.status < MAX_STATUS_EXCLUSIVE:
            return False
        if find_header(head.headers, b'content-encoding') is not None:
            return False
        is_success = OK <= head.status < REDIRECTION
        return not is_success or (
            echoed is not None
            and find_header(head.headers, header_names.signature) is not None
        )
