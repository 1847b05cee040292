"""Kept connections to back ends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.http.client import ClientConnection
from ospreyford.http.message import find_header

if TYPE_CHECKING:
    from ospreyford.direct.registry import BackendServer
    from ospreyford.http.message import Response

#: Time in which a back end must accept a connection, in seconds: two lost
#: opening packets on a link between zones take longer, and another back end
#: answers sooner.
CONNECT_TIMEOUT_SECONDS = 0.5
#: A connection rests for this long at most, in seconds, where its back end
#: does not say how long it keeps it.
DEFAULT_IDLE_SECONDS = 3.0
#: Subtracted from the back end's own limit, in seconds. A request that meets
#: the back end's close on the way may or may not have run.
IDLE_MARGIN_SECONDS = 0.7
#: Connections that rest for one back end at most.
MAX_IDLE_CONNECTIONS = 8


class _IdleConnection(NamedTuple):
    connection: ClientConnection
    expires_at: float


class ConnectionPool:
    """Opens connections to back ends and keeps them between requests.

    Connections are kept by incarnation: an address may be used again by another
    back end, and an id by the same one after its restart. A request written to
    a connection of before is lost.
    """

    def __init__(self) -> None:
        self.opened = 0
        # By id and start.
        self._idle: dict[tuple[str, int], list[_IdleConnection]] = {}

    async def acquire(self, server: BackendServer) -> ClientConnection:
        """Take a connection that rests, or open one.

        :param server: the back end.
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
            server.host, server.port, CONNECT_TIMEOUT_SECONDS
        )

    async def release(
        self,
        server: BackendServer,
        connection: ClientConnection,
        head: Response,
    ) -> None:
        """Keep a connection whose answer was read in whole, if it can serve.

        :param server: the back end.
        :param connection: the connection.
        :param head: the answer that was read from it.
        """
        idle = self._idle.setdefault(server.get_incarnation(), [])
        seconds = read_idle_timeout(head)
        if (
            len(idle) < MAX_IDLE_CONNECTIONS
            and seconds > 0
            and connection.start_next_cycle()
            and connection.is_quiet()
        ):
            idle.append(_IdleConnection(connection, time.monotonic() + seconds))
            return
        await connection.close()

    async def close_backend(self, server_id: str) -> None:
        """Close the connections of a back end that left.

        :param server_id: its id.
        """
        ended = [name for name in self._idle if name[0] == server_id]
        for name in ended:
            for kept in self._idle.pop(name):
                await kept.connection.close()

    async def close_expired(self) -> None:
        """Close the connections that have rested for too long."""
        now = time.monotonic()
        for name, idle in tuple(self._idle.items()):
            expired = [kept for kept in idle if kept.expires_at <= now]
            self._idle[name] = [kept for kept in idle if kept.expires_at > now]
            for kept in expired:
                await kept.connection.close()


def read_idle_timeout(head: Response) -> float:
    """Read how long a connection may rest.

    :param head: the last answer on it.
    :returns: seconds; 0 if it may not.
    """
    field = find_header(head.headers, b'keep-alive')
    if field is None:
        return DEFAULT_IDLE_SECONDS
    for part in field.split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.isdigit():
            return min(DEFAULT_IDLE_SECONDS, int(text) - IDLE_MARGIN_SECONDS)
    return DEFAULT_IDLE_SECONDS
