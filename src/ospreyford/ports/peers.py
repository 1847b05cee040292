"""Port to the messages between processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

#: Handles the encoded request of a topic; ``None`` sends no response.
Handler = Callable[[bytes], Awaitable[bytes | None]]


class PeerPort(Protocol):
    """Request/response messaging between processes by address and topic.

    Responses are matched to their requests; late responses are dropped.
    """

    async def ask(
        self,
        address: str,
        topic: str,
        body: bytes,
        timeout: float,
    ) -> bytes | None:
        """Send a request and wait for its response.

        :param address: the peer, as ``ip:port``.
        :param topic: topic of the handler.
        :param body: the encoded request.
        :param timeout: seconds on the local monotonic clock.
        :returns: the encoded response, or ``None`` on timeout; the request may
            still have been received.
        """

    def serve(self, topic: str, handler: Handler) -> None:
        """Register the handler of a topic.

        :param topic: the topic's name, unique in this process.
        :param handler: called once per request.
        """
