"""Protocol for the destination of a response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ospreyford.http.message import Headers


class CallerDisconnected(Exception):
    """The caller disconnected while a response was relayed."""


class Sink(Protocol):
    """The caller's connection, as an attempt sees it."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Relay the response head.

        :param status: HTTP status.
        :param headers: HTTP header fields from the backend.
        :raises CallerDisconnected: the caller disconnected.
        """

    async def relay(self, content: bytes) -> None:
        """Relay a chunk of the response body.

        :param content: the bytes.
        :raises CallerDisconnected: the caller disconnected.
        """

    async def finish(self) -> None:
        """Relay the end of the response.

        :raises CallerDisconnected: the caller disconnected.
        """

    async def flush(self, timeout_seconds: float) -> bool:
        """Send buffered content; the rest remains for the next flush.

        The timeout lets the relaying task keep sending heartbeats.

        :param timeout_seconds: time to wait for the caller.
        :returns: whether everything was sent.
        :raises CallerDisconnected: the caller disconnected.
        """

    def is_abandoned(self) -> bool:
        """Tell whether the caller disconnected.

        :returns: whether the response has no receiver.
        """
