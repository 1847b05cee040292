"""Server side of a peer node: dispatches requests to topic handlers."""

from __future__ import annotations

from typing import Final

import curio
import msgspec
import zmq

from ospreyford.peers.counters import DropReason, PeerCounters
from ospreyford.peers.envelope import PeerRequest, PeerResponse, decode_envelope
from ospreyford.peers.errors import MalformedEnvelope, TopicTaken
from ospreyford.peers.expiry import PauseDetector, is_expired, read_clock_ms
from ospreyford.peers.settings import PeerSettings
from ospreyford.peers.sockets import Frames, read_ready, send_frames
from ospreyford.ports.peers import Handler
from ospreyford.security.errors import Forged
from ospreyford.security.keyring import Keyring

#: ROUTER identity and envelope.
ROUTED_FRAME_COUNT: Final = 2


class Responder:
    """Runs the topic's handler for each request and sends the response.

    :param router: the bound ROUTER socket.
    :param own_hash: hash of this process's incarnation.
    :param settings: size and concurrency limits.
    :param counters: the node's counters.
    :param keyring: authenticates messages.
    """

    def __init__(
        self,
        router: zmq.Socket[bytes],
        own_hash: int,
        settings: PeerSettings,
        counters: PeerCounters,
        keyring: Keyring,
    ) -> None:
        self._keyring = keyring
        self.pause_detector = PauseDetector()
        self._router = router
        self._own_hash = own_hash
        self._settings = settings
        self._counters = counters
        self._handlers: dict[str, Handler] = {}
        self._running: set[curio.Task] = set()

    def serve(self, topic: str, handler: Handler) -> None:
        """Register the handler of a topic.

        :param topic: the topic's name.
        :param handler: called once per request.
        :raises TopicTaken: the topic already has a handler.
        """
        if topic in self._handlers:
            raise TopicTaken(topic)
        self._handlers[topic] = handler

    async def handle_frames(self, frames: Frames) -> None:
        """Start the handler of a request, or drop the request.

        :param frames: the routed message.
        """
        request = self._decode_request(frames)
        if request is None:
            return
        handler = self._handlers.get(request.topic)
        if handler is None:
            self._counters.record_dropped(DropReason.unknown_topic)
            return
        self._counters.record_received(request.topic, len(frames[1]))
        if is_expired(request, self._own_hash, self.pause_detector):
            self._counters.record_dropped(DropReason.expired)
        elif len(self._running) >= self._settings.handler_limit:
            self._counters.record_dropped(DropReason.overloaded)
        else:
            running = self._run_handler(frames[0], request, handler)
            self._running.add(await curio.spawn(running, daemon=True))

    async def stop(self) -> None:
        """Cancel all running handlers."""
        while self._running:
            await self._running.pop().cancel()

    def _decode_request(self, frames: Frames) -> PeerRequest | None:
        if len(frames) != ROUTED_FRAME_COUNT:
            self._counters.record_dropped(DropReason.malformed)
            return None
        try:
            envelope = decode_envelope(self._keyring.open(frames[1]))
        except MalformedEnvelope:
            self._counters.record_dropped(DropReason.malformed)
            return None
        except Forged:
            self._counters.record_dropped(DropReason.forged)
            return None
        if isinstance(envelope, PeerRequest):
            return envelope
        self._counters.record_dropped(DropReason.malformed)
        return None

    async def _run_handler(
        self,
        identity: bytes,
        request: PeerRequest,
        handler: Handler,
    ) -> None:
        try:
            body = await handler(request.body)
        except Exception:
            # A failing handler must not stop the other topics.
            self._counters.record_dropped(DropReason.handler_failed)
            return
        finally:
            self._running.discard(await curio.current_task())
        if body is not None:
            await self._send_response(identity, request, body)

    async def _send_response(
        self,
        identity: bytes,
        request: PeerRequest,
        body: bytes,
    ) -> None:
        response = PeerResponse(
            nonce=request.nonce,
            requester=request.sender,
            sender=self._own_hash,
            clock_ms=read_clock_ms(),
            body=body,
        )
        payload = self._keyring.seal(msgspec.msgpack.encode(response))
        if len(payload) > self._settings.message_bytes:
            self._counters.record_dropped(DropReason.too_large)
        elif send_frames(self._router, [identity, payload]):
            self._counters.record_sent(request.topic, len(payload))
        else:
            self._counters.record_dropped(DropReason.queue_full)
        await read_ready(self._router, self.handle_frames)
