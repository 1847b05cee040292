"""Messages between the system's own processes, as the decisions see them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

#: Answers one message of a topic: encoded body in, encoded answer out.
#: ``None`` means that no answer is sent, so the asker sees silence.
Handler = Callable[[bytes], Awaitable[bytes | None]]


class PeerPort(Protocol):
    """Question and answer between processes, by address and topic.

    An answer is handed to the question that it belongs to, or dropped: a
    late answer to an earlier question can never be taken for a later one's.
    """

    async def ask(
        self,
        address: str,
        topic: str,
        body: bytes,
        timeout: float,
    ) -> bytes | None:
        """Send one question and wait for its answer.

        :param address: the peer, as ``ip:port``.
        :param topic: which handler of the peer is meant.
        :param body: the encoded question.
        :param timeout: seconds, by this process's monotonic clock.
        :returns: the encoded answer, or ``None`` if none came in time. Silence
            says nothing about whether the question was received.
        """

    def serve(self, topic: str, handler: Handler) -> None:
        """Register the handler of a topic.

        :param topic: the topic's name, unique in this process.
        :param handler: called once for each question received.
        """
