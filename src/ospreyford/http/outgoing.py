"""The server's side of a connection: bytes on their way to a caller."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Any

import curio

from ospreyford.http.encoder import AnswerEncoder
from ospreyford.http.errors import ConnectionLost
from ospreyford.http.outlet import Outlet

if TYPE_CHECKING:
    import h11
    from curio.io import Socket


class Outgoing:
    """Writes answers at the pace of the caller, in as many goes as it takes.

    :param sock: the caller's socket.
    :param parser: the connection's protocol state.
    :param stall_seconds: the time in which the caller must take in all that
        was added since nothing was left.
    """

    def __init__(
        self,
        sock: Socket,
        parser: h11.Connection,
        stall_seconds: float,
    ) -> None:
        self.encoder = AnswerEncoder(parser)
        self._outlet = Outlet(sock)
        self._stall_seconds = stall_seconds
        self._until = math.inf

    def add(self, *events: Any) -> None:
        """Add parts of an answer, and write what the kernel takes at once.

        :param events: h11 events, in order.
        """
        encoded = b''.join([self.encoder.encode(event) for event in events])
        if not encoded:
            return
        # Nearly always the kernel has room, and then no time limit is needed:
        # setting one costs more than the write.
        was_clear = self._outlet.is_clear()
        if not self._outlet.push(encoded) and was_clear:
            self._until = time.monotonic() + self._stall_seconds

    async def push(self, within: float = math.inf) -> bool:
        """Write what was added, as far as the caller takes it in.

        :param within: seconds to wait for the caller at most.
        :returns: whether nothing is left.
        :raises ConnectionLost: the caller went away, or does not read.
        """
        if self._outlet.is_clear():
            return True
        # A caller that does not read would hold its request's memory and its
        # share of the limits for as long as it likes.
        left = max(self._until - time.monotonic(), 0)
        try:
            await curio.timeout_after(min(within, left), self._outlet.drain())
        except OSError:
            raise ConnectionLost from None
        except curio.TaskTimeout:
            if within < left:
                return False
            raise ConnectionLost from None
        return True

    def is_whole(self) -> bool:
        """Tell whether the caller's kernel was handed all that was added.

        :returns: whether nothing is left. Otherwise the protocol's state is
            ahead of what was sent, and must not be trusted.
        """
        return self._outlet.is_clear()
