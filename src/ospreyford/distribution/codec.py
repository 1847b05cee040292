"""Encoding of messages between processes."""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

PLAIN_PREFIX = b'm'
COMPRESSED_PREFIX = b'z'
COMPRESSION_THRESHOLD_BYTES = 200
COMPRESSION_LEVEL = 6
MAX_DECODED_BYTES = 16_777_216


class BadPeerMessage(Exception):
    """A peer sent bytes that do not decode as a message of the topic."""


_Message = TypeVar('_Message', bound=msgspec.Struct)


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message, compressed above a size threshold.

    :param message: a message of a topic.
    :returns: the encoded bytes.
    """
    encoded = msgspec.msgpack.encode(message)
    if len(encoded) < COMPRESSION_THRESHOLD_BYTES:
        return PLAIN_PREFIX + encoded
    return COMPRESSED_PREFIX + zlib.compress(encoded, COMPRESSION_LEVEL)


def decode_message(body: bytes, message_type: type[_Message]) -> _Message:
    """Decode a message.

    :param body: bytes from a peer.
    :param message_type: the expected type.
    :returns: the message.
    :raises BadPeerMessage: the bytes do not decode as that type.
    """
    try:
        return msgspec.msgpack.decode(_decompress(body), type=message_type)
    except (msgspec.MsgspecError, zlib.error):
        raise BadPeerMessage from None


def _decompress(body: bytes) -> bytes:
    if body[:1] != COMPRESSED_PREFIX:
        return body[1:]
    # The limit bounds memory use on hostile or corrupt input; truncated
    # output fails to decode.
    return zlib.decompressobj().decompress(body[1:], MAX_DECODED_BYTES)
