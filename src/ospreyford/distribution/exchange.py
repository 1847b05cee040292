"""Typed questions to peers, and typed handlers of theirs."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ospreyford.distribution.codec import BadPeerMessage, encode_message, decode_message

if TYPE_CHECKING:
    from ospreyford.distribution.state import State
    from ospreyford.ports.peers import PeerPort

_Question = TypeVar('_Question', bound=msgspec.Struct)
_Answer = TypeVar('_Answer', bound=msgspec.Struct)


class Exchange:
    """Encodes what goes to peers and decodes what comes back.

    :param state: holds the counters and the timeout.
    :param peers: the peer port.
    """

    def __init__(self, state: State, peers: PeerPort) -> None:
        self._state = state
        self._peers = peers

    async def ask(
        self,
        address: str,
        topic: str,
        question: msgspec.Struct,
        kind: type[_Answer],
    ) -> _Answer | None:
        """Ask a peer.

        :param address: the peer's address.
        :param topic: what the question is about.
        :param question: the message.
        :param kind: the message that answers it.
        :returns: the answer; ``None`` on silence or nonsense.
        """
        timeout = self._state.settings.ask_seconds
        body = await self._peers.ask(address, topic, encode_message(question), timeout)
        if body is None:
            return None
        try:
            return decode_message(body, kind)
        except BadPeerMessage:
            self._state.counters.bad_messages += 1
            return None

    def serve(
        self,
        topic: str,
        kind: type[_Question],
        answer: Callable[[_Question], msgspec.Struct],
    ) -> None:
        """Answer the peers' questions about a topic.

        :param topic: the topic.
        :param kind: the message that asks.
        :param answer: makes the answer out of it, without awaiting.
        """
        self._peers.serve(topic, partial(self._respond, kind, answer))

    async def _respond(
        self,
        kind: type[_Question],
        answer: Callable[[_Question], msgspec.Struct],
        body: bytes,
    ) -> bytes | None:
        try:
            question = decode_message(body, kind)
        except BadPeerMessage:
            self._state.counters.bad_messages += 1
            return None
        return encode_message(answer(question))
