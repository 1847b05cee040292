"""Identities of requests that callers may send again, and of prompt parts."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

IDENTITY_BYTES: Final = 16
#: Length prefixes keep neighbouring fields apart.
PREFIX_BYTES = 8
#: Keeps hashes of prompt parts apart from those of requests.
PART_PERSON: Final = b'prompt part'


def compute_identity(
    salt: bytes, customer: str, target: str, body: bytes
) -> bytes:
    """Compute the identity of a request.

    The caller's request id is not part of it: each attempt has another one.

    :param salt: key of the hash, up to 64 bytes, the same in all entries.
    :param customer: name of the customer; empty if it has none.
    :param target: path and query.
    :param body: the whole body.
    :returns: a keyed hash of 128 bits.
    """
    digest = blake2b(key=salt, digest_size=IDENTITY_BYTES)
    for part in (customer.encode(), target.encode()):
        digest.update(len(part).to_bytes(PREFIX_BYTES))
        digest.update(part)
    digest.update(body)
    return digest.digest()


def compute_part_identity(salt: bytes, part: bytes) -> bytes:
    """Compute the identity of a part of a prompt.

    :param salt: key of the hash, up to 64 bytes, the same in all entries.
    :param part: id of the part, the same in all requests that share it.
    :returns: a keyed hash of 128 bits, never that of a request.
    """
    return blake2b(
        part, key=salt, person=PART_PERSON, digest_size=IDENTITY_BYTES
    ).digest()


def compute_strike_id(backend: str, started_ms: int) -> int:
    """Compute the id of a crash from the process that crashed.

    :param backend: id of the backend.
    :param started_ms: start of its process, in Unix milliseconds.
    :returns: 63 bits; the same in all entries that saw the crash.
    """
    name = f'{backend} {started_ms}'.encode()
    return int.from_bytes(blake2b(name, digest_size=8).digest()) >> 1
