"""Keys that seal the control messages between the system's processes."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

from ospreyford.security.errors import Forged, SecretUnusable

KEY_BYTES: Final = 32
SEAL_BYTES: Final = 16
MAX_FILE_BYTES: Final = 65_536


class Keyring:
    """Seals control messages and opens sealed ones.

    Who can reach a peer address could otherwise say that everybody has left,
    or take the customers' limits. A key is replaced in three steps, each
    rolled over the whole fleet: the new one as second, then as first, then
    alone; at no time are there two processes that refuse each other.

    :param keys: the first one seals, all of them open; none: neither is done.
    """

    def __init__(self, keys: tuple[bytes, ...] = ()) -> None:
        self._keys = keys

    def replace(self, other: Keyring) -> None:
        """Take another keyring's keys.

        :param other: the keyring read anew.
        """
        self._keys = other._keys

    def seal(self, message: bytes) -> bytes:
        """Put a seal behind a message.

        :param message: any bytes.
        :returns: the message and 16 bytes, or the message where there are no
            keys.
        """
        if not self._keys:
            return message
        return message + _make_seal(self._keys[0], message)

    def open(self, sealed: bytes) -> bytes:
        """Check a seal and take it off.

        :param sealed: what arrived.
        :returns: the message.
        :raises Forged: none of the keys made the seal.
        """
        if not self._keys:
            return sealed
        message, seal = sealed[:-SEAL_BYTES], sealed[-SEAL_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(_make_seal(key, message), seal):
                return message
        raise Forged


def read_keyring(path: str | None) -> Keyring:
    """Read the keys of control messages.

    :param path: the file, or ``None`` for no keys.
    :returns: the keyring.
    :raises SecretUnusable: unreadable, or not a key in each line.
    """
    if path is None:
        return Keyring()
    unusable = SecretUnusable(
        'control_keys', path, 'a key of 64 hex digits in each line'
    )
    try:
        with open(path, encoding='ascii') as stream:
            lines = stream.read(MAX_FILE_BYTES).split()
        keys = tuple(map(bytes.fromhex, lines))
    except (OSError, ValueError):
        raise unusable from None
    if not keys or any(len(key) != KEY_BYTES for key in keys):
        raise unusable
    return Keyring(keys)


def _make_seal(key: bytes, message: bytes) -> bytes:
    return hashlib.blake2b(message, digest_size=SEAL_BYTES, key=key).digest()
