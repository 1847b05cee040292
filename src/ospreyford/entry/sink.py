"""Where an answer goes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ospreyford.http.message import Headers


class CallerDisconnected(Exception):
    """The caller's connection broke while an answer was relayed."""


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

    async def flush(self, within: float) -> bool:
        """Send what was relayed; until then it may be held back.

        What is not sent in time is sent by the next flush. Waiting for ever
        is not possible, so that whoever relays an answer goes on with its
        heartbeats while the caller is slow.

        :param within: timeout in seconds.
        :returns: whether all of it was sent.
        :raises CallerDisconnected: the caller disconnected.
        """

    def is_abandoned(self) -> bool:
        """Tell whether the caller disconnected.

        :returns: whether the response has no receiver.
        """
