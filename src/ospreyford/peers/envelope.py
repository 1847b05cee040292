"""The envelope around each message between processes.

Incarnations travel as 64-bit hashes: a whole id on every message would be a
third of a small message's bytes.
"""

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
    """A question.

    :param nonce: which question of the sender this is.
    :param sender: hash of the sender's incarnation.
    :param topic: which handler is meant.
    :param ttl_ms: the asker stops waiting after so many milliseconds.
    :param receiver: hash of the receiver's incarnation whose clock
        ``sent_ms`` is on; 0 if the sender has heard of none.
    :param sent_ms: a time on the receiver's clock, in milliseconds, that was
        already past when the question was sent.
    :param body: the encoded question.
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
    """An answer.

    :param nonce: the question's.
    :param asker: hash of the incarnation that asked.
    :param sender: hash of the incarnation that answers.
    :param clock_ms: the answering process's monotonic clock on sending, in
        milliseconds.
    :param body: the encoded answer.
    """

    nonce: int
    requester: int
    sender: int
    clock_ms: int
    body: bytes


_decoder: Final = msgspec.msgpack.Decoder(PeerRequest | PeerResponse)


def decode_envelope(payload: bytes) -> PeerRequest | PeerResponse:
    """Read an envelope.

    :param payload: the bytes received.
    :returns: the envelope.
    :raises MalformedEnvelope: the bytes are none.
    """
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedEnvelope(str(error)) from error


def compute_incarnation_hash(incarnation: str) -> int:
    """Shorten an incarnation for the envelope.

    :param incarnation: a process's incarnation.
    :returns: 64 bits, never 0.
    """
    return xxhash.xxh3_64_intdigest(incarnation.encode()) or 1
