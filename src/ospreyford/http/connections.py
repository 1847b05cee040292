"""The open connections of one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.http.server import ServerConnection


class OpenConnections:
    """Counts connections, and lets them end well in a planned stop.

    A connection is busy from the first byte of a request to the last of its
    answer. While the server closes, each answer tells the caller that it is
    the connection's last.

    :param limit: connections open at once.
    """

    def __init__(self, limit: int) -> None:
        self.closing = False
        self._limit = limit
        self._open: set[ServerConnection] = set()

    def __len__(self) -> int:
        return len(self._open)

    def is_full(self) -> bool:
        """Tell whether one more would be too many.

        :returns: whether a new connection must be closed at once.
        """
        return len(self._open) >= self._limit

    def count_busy(self) -> int:
        """Count the connections with a request under way.

        :returns: how many there are.
        """
        return sum(connection.busy for connection in self._open)

    def end_idle(self) -> None:
        """End the connections that carry no request.

        A process that stops waits for the last answers, for seconds perhaps. A
        request that came on a kept connection meanwhile would be cut by the
        process's end.
        """
        for connection in tuple(self._open):
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
