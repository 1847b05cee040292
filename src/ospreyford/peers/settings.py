"""Settings of peer messaging."""

from __future__ import annotations

import msgspec


class PeerSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Address and limits of a peer node.

    :param address: listen address, ``ip:port``; port 0 selects a free port.
    :param link_limit: maximum open connections; the least recently used is
        closed beyond it.
    :param idle_seconds: idle timeout of a connection, in seconds.
    :param queue_messages: high-water mark of each queue, in messages.
    :param message_bytes: largest message sent or accepted, in bytes.
    :param handler_limit: maximum concurrent handlers; others are dropped.
    """

    address: str
    link_limit: int = 64
    idle_seconds: float = 60
    queue_messages: int = 256
    message_bytes: int = 1_048_576
    handler_limit: int = 256
