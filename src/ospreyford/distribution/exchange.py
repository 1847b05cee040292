"""Typed requests to peers and typed request handlers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ospreyford.distribution.codec import (
    BadPeerMessage,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    from ospreyford.distribution.state import State
    from ospreyford.ports.peers import PeerPort

_Request = TypeVar('_Request', bound=msgspec.Struct)
_Reply = TypeVar('_Reply', bound=msgspec.Struct)


class PeerExchange:
    """Encodes and decodes the messages of the peer port.

    :param state: holds the counters and the timeout.
    :param peers: the peer port.
    """

    def __init__(self, state: State, peers: PeerPort) -> None:
        self._state = state
        self._peers = peers

    async def send_request(
        self,
        address: str,
        topic: str,
        request: msgspec.Struct,
        reply_type: type[_Reply],
    ) -> _Reply | None:
        """Send a request to a peer.

        :param address: the peer's address.
        :param topic: the topic.
        :param request: the message.
        :param reply_type: type of the reply.
        :returns: the reply; ``None`` on a timeout or a malformed reply.
        """
        timeout = self._state.settings.ask_seconds
        body = await self._peers.ask(
            address, topic, encode_message(request), timeout
        )
        if body is None:
            return None
        try:
            return decode_message(body, reply_type)
        except BadPeerMessage:
            self._state.counters.bad_messages += 1
            return None

    def register_handler(
        self,
        topic: str,
        request_type: type[_Request],
        respond: Callable[[_Request], msgspec.Struct],
    ) -> None:
        """Register the handler of a topic.

        :param topic: the topic.
        :param request_type: type of the request.
        :param respond: returns the reply to a request, without awaiting.
        """
        self._peers.serve(
            topic, partial(self._handle_request, request_type, respond)
        )

    async def _handle_request(
        self,
        request_type: type[_Request],
        respond: Callable[[_Request], msgspec.Struct],
        body: bytes,
    ) -> bytes | None:
        try:
            request = decode_message(body, request_type)
        except BadPeerMessage:
            self._state.counters.bad_messages += 1
            return None
        return encode_message(respond(request))
