"""Client side of a peer node: sends requests and matches responses."""

from __future__ import annotations

import itertools
import secrets
import time
from dataclasses import dataclass, field
from typing import Final

import curio
import msgspec

from ospreyford.peers.connections import PeerConnection, PeerConnections
from ospreyford.peers.counters import DropReason, PeerCounters
from ospreyford.peers.envelope import (
    MS_PER_SECOND,
    PeerRequest,
    PeerResponse,
    decode_envelope,
)
from ospreyford.peers.errors import MalformedEnvelope
from ospreyford.peers.expiry import ClockSample, estimate_peer_clock
from ospreyford.peers.settings import PeerSettings
from ospreyford.peers.sockets import Frames
from ospreyford.security.errors import Forged
from ospreyford.security.keyring import Keyring

NONCE_START_BITS: Final = 62


@dataclass
class _PendingRequest:
    """A request awaiting its response."""

    address: str
    topic: str
    deadline: float
    body: bytes | None = None
    done: curio.Event = field(default_factory=curio.Event)


class Requester:
    """Sends requests and matches each response to its request by nonce.

    :param connections: the connections to peers.
    :param own_hash: hash of this process's incarnation.
    :param settings: message size limit.
    :param counters: the node's counters.
    :param keyring: authenticates messages.
    """

    def __init__(
        self,
        connections: PeerConnections,
        own_hash: int,
        settings: PeerSettings,
        counters: PeerCounters,
        keyring: Keyring,
    ) -> None:
        self._keyring = keyring
        self._connections = connections
        self._own_hash = own_hash
        self._message_bytes = settings.message_bytes
        self._counters = counters
        self._pending: dict[int, _PendingRequest] = {}
        # A random start avoids matching responses to a previous incarnation.
        self._nonces = itertools.count(secrets.randbits(NONCE_START_BITS))

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
        :param timeout: seconds.
        :returns: the encoded response, or ``None`` on timeout.
        """
        nonce = next(self._nonces)
        sent_at = time.monotonic()
        pending = _PendingRequest(address, topic, sent_at + timeout)
        self._pending[nonce] = pending
        connection = await self._connections.acquire(
            address, self._handle_frames
        )
        connection.pending += 1
        try:
            await self._send_and_wait(
                connection, pending, self._encode_request(nonce, pending, body)
            )
        finally:
            self._pending.pop(nonce)
            await self._release(connection, sent_at)
        return pending.body

    async def _release(
        self, connection: PeerConnection, sent_at: float
    ) -> None:
        connection.pending -= 1
        if connection.received_at < sent_at and not connection.is_retired:
            # A middlebox may have dropped the connection's state.
            self._counters.replaced += 1
            await self._connections.retire(connection)
        await self._connections.close_if_unused(connection)

    def _encode_request(
        self, nonce: int, pending: _PendingRequest, body: bytes
    ) -> bytes:
        receiver, sent_by_ms = estimate_peer_clock(
            self._connections.get_clock_sample(pending.address)
        )
        ttl = max(0, pending.deadline - time.monotonic())
        request = PeerRequest(
            nonce=nonce,
            sender=self._own_hash,
            topic=pending.topic,
            ttl_ms=int(ttl * MS_PER_SECOND),
            receiver=receiver,
            sent_by_ms=sent_by_ms,
            body=body,
        )
        return self._keyring.seal(msgspec.msgpack.encode(request))

    async def _send_and_wait(
        self,
        connection: PeerConnection,
        pending: _PendingRequest,
        payload: bytes,
    ) -> None:
        if len(payload) > self._message_bytes:
            self._counters.record_dropped(DropReason.too_large)
        elif await connection.send(payload):
            self._counters.record_sent(pending.topic, len(payload))
        else:
            self._counters.record_dropped(DropReason.queue_full)
        # Also waits after a failed send, so that retries do not spin.
        remaining = max(0, pending.deadline - time.monotonic())
        async with curio.ignore_after(remaining):
            await pending.done.wait()

    async def _handle_frames(
        self, connection: PeerConnection, frames: Frames
    ) -> None:
        try:
            envelope = decode_envelope(self._keyring.open(frames[0]))
        except MalformedEnvelope:
            self._counters.record_dropped(DropReason.malformed)
            return
        except Forged:
            self._counters.record_dropped(DropReason.forged)
            return
        match envelope:
            case PeerResponse():
                connection.received_at = time.monotonic()
                await self._deliver(envelope, len(frames[0]))
            case PeerRequest():
                self._counters.record_dropped(DropReason.malformed)

    async def _deliver(self, response: PeerResponse, size: int) -> None:
        pending = self._pending.get(response.nonce)
        now = time.monotonic()
        # After a process pause the response may be read before the timeout
        # fires.
        if (
            pending is None
            or response.requester != self._own_hash
            or pending.deadline < now
            or pending.done.is_set()
        ):
            self._counters.record_dropped(DropReason.late_answer)
            return
        self._counters.record_received(pending.topic, size)
        sample = ClockSample(response.sender, response.clock_ms, now)
        self._connections.record_clock_sample(pending.address, sample)
        pending.body = response.body
        await pending.done.set()
