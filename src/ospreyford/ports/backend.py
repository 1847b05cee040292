"""The backend server as an agent sees it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from ospreyford.http.message import Request, Response
from ospreyford.ports.fleet import LoadReport


class BackendCall(Protocol):
    """One call on a connection that is open already."""

    async def send(self, request: Request, body: bytes) -> None:
        """Send the request.

        :param request: the request's head.
        :param body: the request's body.
        :raises HttpError: it may or may not have arrived.
        """

    async def read_head(self) -> Response:
        """Wait for the answer's head.

        :returns: status and header fields.
        :raises HttpError: no answer will come.
        """

    def read_pieces(self) -> AsyncIterator[bytes]:
        """Read the answer's body.

        :returns: an iterator of pieces that ends with the answer.
        :raises HttpError: the body was cut.
        """

    async def finish(self, *, whole: bool) -> None:
        """End the call.

        :param whole: the answer was read to its end, so that the connection
            may carry another call. Otherwise it is closed, which tells the
            server to stop.
        """


class BackendPort(Protocol):
    """The one backend server beside this agent."""

    async def open(self, *, reuse: bool) -> BackendCall:
        """Open a call.

        :param reuse: a connection that was used before will do. A server
            may close such a connection just as a request is sent on it, and
            then nobody knows whether it ran.
        :returns: a call on an open connection.
        :raises ConnectionRefused: no connection; nothing was sent.
        """

    async def read_load(self) -> LoadReport | None:
        """Read the server's own load report.

        :returns: the report, without incarnation, or ``None`` for a server
            that has none or does not answer.
        """
