"""Port to the backend server of an agent."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import Protocol

from ospreyford.http.message import Request, Response
from ospreyford.ports.fleet import LoadReport


class BackendCall(Protocol):
    """One request on an open connection."""

    async def send(self, request: Request, body: bytes) -> None:
        """Send the request.

        :param request: the request head.
        :param body: the request body.
        :raises HttpError: the request may or may not have arrived.
        """

    async def read_head(self) -> Response:
        """Wait for the response head.

        :returns: status and header fields.
        :raises HttpError: no response was received.
        """

    def read_pieces(self) -> AsyncGenerator[bytes, None]:
        """Read the response body.

        :returns: an iterator over the chunks of the body.
        :raises HttpError: the body is incomplete.
        """

    async def finish(self, *, whole: bool) -> None:
        """End the call.

        :param whole: the response was read completely and the connection may be
            reused; otherwise it is closed, which cancels the request.
        """


class BackendPort(Protocol):
    """The backend server on the host of this agent."""

    async def open(self, *, reuse: bool) -> BackendCall:
        """Open a connection for one request.

        :param reuse: allow an idle connection; the server may close it during
            the send, which leaves the outcome unknown.
        :returns: the call.
        :raises ConnectionRefused: the connection was refused; nothing was sent.
        """

    async def read_load(self) -> LoadReport | None:
        """Read the load report of the server.

        :returns: the report, without incarnation, or ``None`` if it is not
            available.
        """
