"""Whether the other side of a connection has closed it."""

from __future__ import annotations

import select
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import curio

from ospreyford.http.polling import has_news

if TYPE_CHECKING:
    from curio.io import Socket

HANGUP = select.POLLRDHUP | select.POLLHUP | select.POLLERR
#: How often a connection with an unread request is asked for its end, in
#: seconds.
POLL_SECONDS = 0.2


class Hangup:
    """Notices that a peer closed its side of a connection.

    :param sock: a connected curio socket.
    """

    def __init__(self, sock: Socket) -> None:
        self._sock = sock

    def is_known(self) -> bool:
        """Tell whether the peer has closed its side.

        :returns: whether a hang-up is known to the kernel.
        """
        poller = select.poll()
        poller.register(self._sock.fileno(), HANGUP)
        return bool(poller.poll(0))

    def stop_reading(self) -> None:
        """Have whoever waits for the peer's bytes find the connection ended.

        Not where some are here already: shut under a request that is arriving,
        its first part would be read as the whole, and called malformed.
        """
        if has_news(self._sock):
            return
        # The peer may have closed it just now. A TLS socket's own method would
        # take its TLS away, and what is still read or written would be plain.
        with suppress(OSError), self._sock.blocking() as raw:
            socket.socket.shutdown(raw, socket.SHUT_RD)

    async def wait(self) -> None:
        """Wait until the peer has closed its side; no other task may read."""
        try:
            received = await self._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return
        # The peer's next request may be here already. As long as it lies
        # unread, the end of the connection behind it cannot be seen.
        while received and not self.is_known():
            await curio.sleep(POLL_SECONDS)
