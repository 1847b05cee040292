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
        """Relay the answer's head.

        :param status: HTTP status.
        :param headers: HTTP header fields of the back end.
        :raises CallerGone: nobody waits for it.
        """

    async def relay(self, content: bytes) -> None:
        """Relay a piece of the answer's body.

        :param content: the bytes.
        :raises CallerGone: nobody waits for it.
        """

    async def finish(self) -> None:
        """Relay that the answer is whole.

        :raises CallerGone: nobody waits for it.
        """

    async def flush(self, within: float) -> bool:
        """Send what was relayed; until then it may be held back.

        What is not sent in time is sent by the next flush. Waiting for ever
        is not possible, so that whoever relays an answer goes on with its
        heartbeats while the caller is slow.

        :param within: seconds to wait for the caller at most.
        :returns: whether all of it was sent.
        :raises CallerGone: nobody waits for it.
        """

    def is_abandoned(self) -> bool:
        """Tell whether the caller has gone.

        :returns: whether nobody waits for the answer any more.
        """
