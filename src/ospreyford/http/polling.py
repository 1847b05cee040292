"""What the kernel knows of an idle connection."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from curio.io import Socket

NEWS = select.POLLIN | select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_news(sock: Socket) -> bool:
    """Tell whether a connection at rest is no longer so.

    Symptom without this check: the first request after a peer's restart is
    sent on a connection that the peer closed long ago, and nobody can say
    whether it ran; or the rest of an older answer is read as the next one.

    :param sock: a socket on which nothing is to come.
    :returns: whether bytes or the connection's end have arrived.
    """
    poller = select.poll()
    poller.register(sock.fileno(), NEWS)
    return bool(poller.poll(0))
