"""Settings of the messages between the system's own processes."""

from __future__ import annotations

import msgspec


class PeerSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """How one process talks to its peers.

    :param address: where this process listens, ``ip:port``; port 0 takes a
        free one.
    :param link_limit: connections opened to peers at once; beyond it the one
        used longest ago is closed.
    :param idle_seconds: a connection unused for so long is closed.
    :param queue_messages: high-water mark of each socket's queues.
    :param message_bytes: largest message sent or accepted.
    :param handler_limit: questions handled at once; more are dropped.
    """

    address: str
    link_limit: int = 64
    idle_seconds: float = 60
    queue_messages: int = 256
    message_bytes: int = 1_048_576
    handler_limit: int = 256
