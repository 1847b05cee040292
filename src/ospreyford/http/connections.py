"""The open connections of one server."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, NamedTuple

import curio

from ospreyford.http.buffers import DEFAULT_REQUEST_BYTES
from ospreyford.http.reading import make_resources

if TYPE_CHECKING:
    from curio.io import Socket

    from ospreyford.http.server import ServerConnection

MILLISECONDS = 1000


class Origin(NamedTuple):
    """How a request came, for the log; all as its head was read.

    :param number: of the request on its connection, from 1.
    :param open_ms: age of the connection.
    :param rest_ms: time for which the connection had carried nothing.
    :param closing_ms: time since the server began to close, or -1.
    """

    number: int
    open_ms: int
    rest_ms: int
    closing_ms: int


class OpenConnections:
    """Counts connections, and lets them end well in a planned stop.

    A connection is busy from the first byte of a request to the last of its
    answer. A stop has two steps: :meth:`start_closing`, from which each answer
    that begins tells the caller that it is the connection's last, and
    :meth:`stop_taking`, from which no connection carries another request.

    :param limit: connections open at once.
    :param buffer_bytes: limit of all unfinished requests together, in bytes.
    """

    def __init__(
        self,
        limit: float = math.inf,
        buffer_bytes: int = DEFAULT_REQUEST_BYTES,
    ) -> None:
        #: For reading the requests.
        self.reading = make_resources(buffer_bytes)
        self.closing = False
        self._take_until = math.inf
        self._closing_since: float | None = None
        self._limit = limit
        self._open: set[ServerConnection] = set()

    def __len__(self) -> int:
        return len(self._open)

    @property
    def taking(self) -> bool:
        """Whether requests are taken.

        By the clock: a process that lacks processor time stops taking them
        sooner than a task of it gets to say so.
        """
        return time.monotonic() < self._take_until

    def is_full(self) -> bool:
        """Tell whether one more would be too many.

        :returns: whether a new connection must be closed at once.
        """
        return len(self._open) >= self._limit

    def start_closing(self, take_until: float = math.inf) -> None:
        """Have each answer that begins from now on be its connection's last.

        :param take_until: until when requests are taken, in seconds on the
            monotonic clock.
        """
        self.closing = True
        self._take_until = take_until
        self._closing_since = time.monotonic()

    def tell_closing_ms(self) -> int:
        """Tell for how long the server has been closing.

        :returns: milliseconds, or -1 if it is not.
        """
        if self._closing_since is None:
            return -1
        return int((time.monotonic() - self._closing_since) * MILLISECONDS)

    def count_busy(self) -> int:
        """Count the connections with a request under way.

        :returns: how many there are.
        """
        return sum(connection.busy for connection in self._open)

    def stop_taking(self) -> None:
        """End each connection as soon as it carries no request.

        A process that stops waits for the last answers, for seconds perhaps. A
        request that came on a kept connection meanwhile would be cut by the
        process's end. It is not enough to end those at rest: an answer that
        began before the stop did not say that it is the last, and its
        connection would rest, and be used, after this.
        """
        self._take_until = min(self._take_until, time.monotonic())
        for connection in tuple(self._open):
            # What is arriving at one of these is read, and refused.
            if not connection.busy:
                connection.hangup.stop_reading()

    def add(self, connection: ServerConnection) -> None:
        """Note a connection.

        :param connection: a new one.
        """
        self._open.add(connection)

    def discard(self, connection: ServerConnection) -> None:
        """Forget a connection.

        :param connection: one that ended.
        """
        self._open.discard(connection)


async def accept_next(listening: Socket) -> Socket:
    """Accept a connection; other tasks run in any case.

    :param listening: the listening socket.
    :returns: the connection.
    :raises OSError: none can be accepted.
    """
    # It returns at once while connections are queued.
    await curio.sleep(0)
    accepted: Socket
    accepted, _ = await listening.accept()
    return accepted
