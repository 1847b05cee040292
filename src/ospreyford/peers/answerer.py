"""The answering half of a node: questions in, a handler for each topic."""

from __future__ import annotations

from typing import Final

import curio
import msgspec
import zmq

from ospreyford.peers.counters import Drop, PeerCounters
from ospreyford.peers.envelope import Answer, Question, decode
from ospreyford.peers.errors import MalformedEnvelope, TopicTaken
from ospreyford.peers.freshness import PauseWatch, clock_ms, is_expired
from ospreyford.peers.settings import PeerSettings
from ospreyford.peers.sockets import Frames, read_ready, send_frames
from ospreyford.ports.peers import Handler
from ospreyford.security.errors import Forged
from ospreyford.security.keyring import Keyring

#: A routed message: the connection's identity and the envelope.
ROUTED_FRAMES: Final = 2


class Answerer:
    """Runs a handler for each question and sends its answer back.

    :param router: the bound ROUTER.
    :param me: hash of this process's incarnation.
    :param settings: the bounds.
    :param counters: the node's counters.
    :param keyring: seals and opens the messages.
    """

    def __init__(
        self,
        router: zmq.Socket[bytes],
        me: int,
        settings: PeerSettings,
        counters: PeerCounters,
        keyring: Keyring,
    ) -> None:
        self._keyring = keyring
        self.watch = PauseWatch()
        self._router = router
        self._me = me
        self._settings = settings
        self._counters = counters
        self._handlers: dict[str, Handler] = {}
        self._running: set[curio.Task] = set()

    def serve(self, topic: str, handler: Handler) -> None:
        """Register the handler of a topic.

        :param topic: the topic's name.
        :param handler: called once for each question received.
        :raises TopicTaken: the topic has a handler already.
        """
        if topic in self._handlers:
            raise TopicTaken(topic)
        self._handlers[topic] = handler

    async def accept(self, frames: Frames) -> None:
        """Start the handler of a question, unless it must be dropped.

        :param frames: the routed message.
        """
        question = self._read(frames)
        if question is None:
            return
        handler = self._handlers.get(question.topic)
        if handler is None:
            self._counters.dropped(Drop.unknown_topic)
            return
        self._counters.received(question.topic, len(frames[1]))
        if is_expired(question, self._me, self.watch):
            self._counters.dropped(Drop.expired)
        elif len(self._running) >= self._settings.handler_limit:
            self._counters.dropped(Drop.overloaded)
        else:
            running = self._run(frames[0], question, handler)
            self._running.add(await curio.spawn(running, daemon=True))

    async def stop(self) -> None:
        """Cancel the handlers that still run."""
        while self._running:
            await self._running.pop().cancel()

    def _read(self, frames: Frames) -> Question | None:
        if len(frames) != ROUTED_FRAMES:
            self._counters.dropped(Drop.malformed)
            return None
        try:
            envelope = decode(self._keyring.open(frames[1]))
        except MalformedEnvelope:
            self._counters.dropped(Drop.malformed)
            return None
        except Forged:
            self._counters.dropped(Drop.forged)
            return None
        if isinstance(envelope, Question):
            return envelope
        self._counters.dropped(Drop.malformed)
        return None

    async def _run(
        self,
        identity: bytes,
        question: Question,
        handler: Handler,
    ) -> None:
        try:
            body = await handler(question.body)
        except Exception:
            # Any fault of one topic must not end the others.
            self._counters.dropped(Drop.handler_failed)
            return
        finally:
            self._running.discard(await curio.current_task())
        if body is not None:
            await self._answer(identity, question, body)

    async def _answer(
        self,
        identity: bytes,
        question: Question,
        body: bytes,
    ) -> None:
        answer = Answer(
            nonce=question.nonce,
            asker=question.sender,
            sender=self._me,
            clock_ms=clock_ms(),
            body=body,
        )
        payload = self._keyring.seal(msgspec.msgpack.encode(answer))
        if len(payload) > self._settings.message_bytes:
            self._counters.dropped(Drop.too_large)
        elif send_frames(self._router, [identity, payload]):
            self._counters.sent(question.topic, len(payload))
        else:
            self._counters.dropped(Drop.queue_full)
        await read_ready(self._router, self.accept)
