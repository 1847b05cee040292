"""The asking half of a node: questions out, answers matched to them."""

from __future__ import annotations

import itertools
import secrets
import time
from dataclasses import dataclass, field
from typing import Final

import curio
import msgspec

from ospreyford.peers.counters import Drop, PeerCounters
from ospreyford.peers.envelope import (
    MILLISECONDS,
    Answer,
    Question,
    decode,
)
from ospreyford.peers.errors import MalformedEnvelope
from ospreyford.peers.freshness import Echo, stamp
from ospreyford.peers.link import Link, Links
from ospreyford.peers.settings import PeerSettings
from ospreyford.peers.sockets import Frames
from ospreyford.security.errors import Forged
from ospreyford.security.keyring import Keyring

NONCE_BITS: Final = 62


@dataclass
class _Waiting:
    """A question that waits for its answer."""

    address: str
    topic: str
    deadline: float
    body: bytes | None = None
    done: curio.Event = field(default_factory=curio.Event)


class Asker:
    """Sends questions and hands each answer to its question, or drops it.

    :param links: the connections to use.
    :param me: hash of this process's incarnation.
    :param settings: the bounds.
    :param counters: the node's counters.
    :param keyring: seals and opens the messages.
    """

    def __init__(
        self,
        links: Links,
        me: int,
        settings: PeerSettings,
        counters: PeerCounters,
        keyring: Keyring,
    ) -> None:
        self._keyring = keyring
        self._links = links
        self._me = me
        self._message_bytes = settings.message_bytes
        self._counters = counters
        self._waiting: dict[int, _Waiting] = {}
        # A random start keeps a predecessor's answers from matching.
        self._nonces = itertools.count(secrets.randbits(NONCE_BITS))

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
        :param timeout: seconds.
        :returns: the encoded answer, or ``None`` if none came in time.
        """
        nonce = next(self._nonces)
        asked_at = time.monotonic()
        waiting = _Waiting(address, topic, asked_at + timeout)
        self._waiting[nonce] = waiting
        link = await self._links.take(address, self._accept)
        link.pending += 1
        try:
            await self._send(
                link, waiting, self._question(nonce, waiting, body)
            )
        finally:
            self._waiting.pop(nonce)
            await self._release(link, asked_at)
        return waiting.body

    async def _release(self, link: Link, asked_at: float) -> None:
        link.pending -= 1
        if link.heard_at < asked_at and not link.is_retired:
            # Something between the ends may have lost track of the
            # connection: nothing but a new one would ever get through.
            self._counters.replaced += 1
            await self._links.retire(link)
        await self._links.close_if_done(link)

    def _question(self, nonce: int, waiting: _Waiting, body: bytes) -> bytes:
        receiver, sent_ms = stamp(self._links.echo(waiting.address))
        ttl = max(0, waiting.deadline - time.monotonic())
        question = Question(
            nonce=nonce,
            sender=self._me,
            topic=waiting.topic,
            ttl_ms=int(ttl * MILLISECONDS),
            receiver=receiver,
            sent_ms=sent_ms,
            body=body,
        )
        return self._keyring.seal(msgspec.msgpack.encode(question))

    async def _send(
        self,
        link: Link,
        waiting: _Waiting,
        payload: bytes,
    ) -> None:
        if len(payload) > self._message_bytes:
            self._counters.dropped(Drop.too_large)
        elif await link.send(payload):
            self._counters.sent(waiting.topic, len(payload))
        else:
            self._counters.dropped(Drop.queue_full)
        # Also after a failed send: an asker that tries again at once would
        # spin while the queue is full.
        left = max(0, waiting.deadline - time.monotonic())
        async with curio.ignore_after(left):
            await waiting.done.wait()

    async def _accept(self, link: Link, frames: Frames) -> None:
        try:
            envelope = decode(self._keyring.open(frames[0]))
        except MalformedEnvelope:
            self._counters.dropped(Drop.malformed)
            return
        except Forged:
            self._counters.dropped(Drop.forged)
            return
        match envelope:
            case Answer():
                link.heard_at = time.monotonic()
                await self._hand_over(envelope, len(frames[0]))
            case Question():
                self._counters.dropped(Drop.malformed)

    async def _hand_over(self, answer: Answer, size: int) -> None:
        waiting = self._waiting.get(answer.nonce)
        now = time.monotonic()
        # The deadline is judged here as well: after a pause of this process
        # the answer may be read before the timeout has fired.
        if (
            waiting is None
            or answer.asker != self._me
            or waiting.deadline < now
            or waiting.done.is_set()
        ):
            self._counters.dropped(Drop.late_answer)
            return
        self._counters.received(waiting.topic, size)
        echo = Echo(answer.sender, answer.clock_ms, now)
        self._links.note_echo(waiting.address, echo)
        waiting.body = answer.body
        await waiting.done.set()
