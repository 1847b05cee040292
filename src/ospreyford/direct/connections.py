"""Pool of keep-alive connections to backends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.http.buffers import DEFAULT_BUFFER_BYTES
from ospreyford.http.client import ClientConnection
from ospreyford.http.message import find_header
from ospreyford.http.reading import make_resources

if TYPE_CHECKING:
    from collections.abc import Callable

    from ospreyford.direct.registry import BackendServer
    from ospreyford.http.message import Response

#: Two lost SYNs between zones take longer; another backend answers sooner.
CONNECT_TIMEOUT_SECONDS = 0.5
#: Idle timeout where the backend announces none.
DEFAULT_IDLE_SECONDS = 3.0
#: Margin, so that no request meets the backend's close: it may or may not have
#: run.
IDLE_MARGIN_SECONDS = 0.7
#: Maximum number of idle connections per backend.
MAX_IDLE_CONNECTIONS = 8
#: Part of a backend's connections that entries use, with a margin for entries
#: that are not counted yet and for connections of other processes.
USABLE_FRACTION = 0.8


class _IdleConnection(NamedTuple):
    connection: ClientConnection
    expires_at: float


class ConnectionPool:
    """Opens connections to backends and keeps them between requests.

    Connections are pooled by incarnation: after a restart, or when an address
    is reused, connections to the earlier process are useless.

    :param compute_share: computes how many connections this entry may hold at
        one backend of a service.
    :param buffer_bytes: limit of all unfinished responses together, in bytes.
    """

    def __init__(
        self,
        compute_share: Callable[[str], int],
        buffer_bytes: int = DEFAULT_BUFFER_BYTES,
    ) -> None:
        self.opened = 0
        #: For reading the responses.
        self.reading = make_resources(buffer_bytes)
        self._compute_share = compute_share
        # By incarnation.
        self._idle: dict[tuple[str, int], list[_IdleConnection]] = {}

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(len(idle) for idle in self._idle.values())

    async def acquire(self, server: BackendServer) -> ClientConnection:
        """Return an idle connection, or open one.

        :param server: the backend.
        :returns: a connection for one request.
        :raises ConnectionRefused: no connection; nothing was sent.
        """
        idle = self._idle.get(server.get_incarnation(), [])
        while idle:
            kept = idle.pop()
            if (
                kept.expires_at > time.monotonic()
                and kept.connection.is_quiet()
            ):
                return kept.connection
            await kept.connection.close()
        self.opened += 1
        return await ClientConnection.open(
            server.host, server.port, CONNECT_TIMEOUT_SECONDS, self.reading
        )

    async def release(
        self,
        server: BackendServer,
        connection: ClientConnection,
        head: Response,
    ) -> None:
        """Return a connection whose response was read completely.

        It is closed if it cannot be reused.

        :param server: the backend.
        :param connection: the connection.
        :param head: the response read from it.
        """
        idle = self._idle.setdefault(server.get_incarnation(), [])
        seconds = read_idle_timeout(head)
        share = self._compute_share(server.service)
        if (
            len(idle) < min(MAX_IDLE_CONNECTIONS, share)
            and seconds > 0
            and connection.start_next_cycle()
            and connection.is_quiet()
        ):
            idle.append(_IdleConnection(connection, time.monotonic() + seconds))
            return
        await connection.close()

    async def close_backend(self, server_id: str) -> None:
        """Close the idle connections of a backend.

        :param server_id: the backend's id.
        """
        ended = [name for name in self._idle if name[0] == server_id]
        for name in ended:
            for kept in self._idle.pop(name):
                await kept.connection.close()

    async def close_expired(self) -> None:
        """Close the connections that exceeded their idle timeout."""
        now = time.monotonic()
        for name, idle in tuple(self._idle.items()):
            expired = [kept for kept in idle if kept.expires_at <= now]
            self._idle[name] = [kept for kept in idle if kept.expires_at > now]
            for kept in expired:
                await kept.connection.close()


def compute_connection_share(max_connections: int, entries: int) -> int:
    """Compute how many connections one entry may hold at one backend.

    :param max_connections: connections that the backend accepts from all
        callers together.
    :param entries: number of entries.
    :returns: number of connections, idle or in use.
    """
    return max(int(USABLE_FRACTION * max_connections / entries), 1)


def read_idle_timeout(head: Response) -> float:
    """Read the idle timeout from a ``Keep-Alive`` header field.

    :param head: the last response on the connection.
    :returns: seconds; not above zero if it must not be reused.
    """
    field = find_header(head.headers, b'keep-alive')
    if field is None:
        return DEFAULT_IDLE_SECONDS
    for part in field.split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.isdigit():
            return min(DEFAULT_IDLE_SECONDS, int(text) - IDLE_MARGIN_SECONDS)
    return DEFAULT_IDLE_SECONDS
