"""Message envelopes; incarnations are sent as 64-bit hashes to save space."""

from __future__ import annotations

from typing import Final

import msgspec
import xxhash

from ospreyford.peers.errors import MalformedEnvelope

MS_PER_SECOND: Final = 1000


class PeerRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=0,
    forbid_unknown_fields=True,
):
    """A request to a topic handler of a peer.

    :param nonce: identifies the request at its sender.
    :param sender: hash of the sender's incarnation.
    :param topic: topic of the handler.
    :param ttl_ms: timeout of the sender, in milliseconds.
    :param receiver: hash of the incarnation whose clock ``sent_by_ms``
        refers to; 0 if none is known.
    :param sent_by_ms: lower bound of the time of sending, in milliseconds of
        the receiver's clock.
    :param body: the encoded request.
    """

    nonce: int
    sender: int
    topic: str
    ttl_ms: int
    receiver: int
    sent_by_ms: int
    body: bytes


class PeerResponse(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=1,
    forbid_unknown_fields=True,
):
    """The response to a request.

    :param nonce: nonce of the request.
    :param requester: hash of the requesting incarnation.
    :param sender: hash of the responding incarnation.
    :param clock_ms: monotonic clock of the sender, in milliseconds.
    :param body: the encoded response.
    """

    nonce: int
    requester: int
    sender: int
    clock_ms: int
    body: bytes


_decoder: Final = msgspec.msgpack.Decoder(PeerRequest | PeerResponse)


def decode_envelope(payload: bytes) -> PeerRequest | PeerResponse:
    """Decode an envelope.

    :param payload: the bytes received.
    :returns: the envelope.
    :raises MalformedEnvelope: the bytes are not a valid envelope.
    """
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedEnvelope(str(error)) from error


def compute_incarnation_hash(incarnation: str) -> int:
    """Hash an incarnation for the envelope.

    :param incarnation: a process's incarnation.
    :returns: 64 bits, never 0.
    """
    return xxhash.xxh3_64_intdigest(incarnation.encode()) or 1
