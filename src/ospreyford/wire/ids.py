"""UUID version 7 (RFC 9562) for execution ids and idempotency keys."""

from __future__ import annotations

import uuid

import uuid_utils

TIMESTAMP_SHIFT_BITS = 80
UUID_VERSION = 7


def create_id() -> str:
    """Create an id with the current timestamp.

    :returns: a UUID version 7 in text form.
    """
    return str(uuid_utils.uuid7())


def read_timestamp_ms(key: str) -> int | None:
    """Extract the timestamp of an id.

    :param key: an idempotency key as received.
    :returns: Unix time in milliseconds, or ``None`` for a key that is not a
        UUID version 7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> TIMESTAMP_SHIFT_BITS
