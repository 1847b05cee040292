"""How the messages between processes are encoded."""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

PLAIN = b'm'
COMPRESSED = b'z'
COMPRESS_FROM_BYTES = 200
COMPRESSION_LEVEL = 6
DECODED_LIMIT_BYTES = 16_777_216


class BadPeerMessage(Exception):
    """A peer sent bytes that are no message of the topic."""


_Message = TypeVar('_Message', bound=msgspec.Struct)


def pack(message: msgspec.Struct) -> bytes:
    """Encode a message, compressed where that pays.

    :param message: a message of a topic.
    :returns: its bytes.
    """
    encoded = msgspec.msgpack.encode(message)
    if len(encoded) < COMPRESS_FROM_BYTES:
        return PLAIN + encoded
    return COMPRESSED + zlib.compress(encoded, COMPRESSION_LEVEL)


def unpack(body: bytes, kind: type[_Message]) -> _Message:
    """Decode a message.

    :param body: bytes from a peer.
    :param kind: the message expected.
    :returns: the message.
    :raises BadPeerMessage: the bytes are something else.
    """
    try:
        return msgspec.msgpack.decode(_inflate(body), type=kind)
    except (msgspec.MsgspecError, zlib.error):
        raise BadPeerMessage from None


def _inflate(body: bytes) -> bytes:
    if body[:1] != COMPRESSED:
        return body[1:]
    # The limit keeps a few hostile or damaged bytes from unpacking to more
    # memory than the process may use; the rest then fails to decode.
    return zlib.decompressobj().decompress(body[1:], DECODED_LIMIT_BYTES)
