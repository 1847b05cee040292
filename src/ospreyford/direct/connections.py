"""Kept connections to back ends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.http.client import ClientConnection
from ospreyford.http.message import find_header

if TYPE_CHECKING:
    from ospreyford.direct.fleet import BackendServer
    from ospreyford.http.message import Response

#: Time in which a back end must accept a connection, in seconds: two lost
#: opening packets on a link between zones take longer, and another back end
#: answers sooner.
CONNECT_SECONDS = 0.5
#: A connection rests for this long at most, in seconds, where its back end
#: does not say how long it keeps it.
IDLE_SECONDS = 3.0
#: Subtracted from the back end's own limit, in seconds. A request that meets
#: the back end's close on the way may or may not have run.
IDLE_MARGIN = 0.7
#: Connections that rest for one back end at most.
KEPT = 8


class _Resting(NamedTuple):
    connection: ClientConnection
    until: float


class ConnectionPool:
    """Opens connections to back ends and keeps them between requests.

    Connections are kept by incarnation: an address may be used again by another
    back end, and an id by the same one after its restart. A request written to
    a connection of before is lost.
    """

    def __init__(self) -> None:
        self.opened = 0
        # By id and start.
        self._resting: dict[tuple[str, int], list[_Resting]] = {}

    async def take(self, server: BackendServer) -> ClientConnection:
        """Take a connection that rests, or open one.

        :param server: the back end.
        :returns: a connection for one request.
        :raises ConnectionRefused: no connection; nothing was sent.
        """
        resting = self._resting.get(server.name_incarnation(), [])
        while resting:
            kept = resting.pop()
            if kept.until > time.monotonic() and kept.connection.is_quiet():
                return kept.connection
            await kept.connection.close()
        self.opened += 1
        return await ClientConnection.open(
            server.host, server.port, CONNECT_SECONDS
        )

    async def give_back(
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
        resting = self._resting.setdefault(server.name_incarnation(), [])
        seconds = read_idle_seconds(head)
        if (
            len(resting) < KEPT
            and seconds > 0
            and connection.start_next_cycle()
            and connection.is_quiet()
        ):
            resting.append(_Resting(connection, time.monotonic() + seconds))
            return
        await connection.close()

    async def forget(self, server_id: str) -> None:
        """Close the connections of a back end that left.

        :param server_id: its id.
        """
        ended = [name for name in self._resting if name[0] == server_id]
        for name in ended:
            for kept in self._resting.pop(name):
                await kept.connection.close()

    async def close_expired(self) -> None:
        """Close the connections that have rested for too long."""
        now = time.monotonic()
        for name, resting in tuple(self._resting.items()):
            late = [kept for kept in resting if kept.until <= now]
            self._resting[name] = [kept for kept in resting if kept.until > now]
            for kept in late:
                await kept.connection.close()


def read_idle_seconds(head: Response) -> float:
    """Read how long a connection may rest.

    :param head: the last answer on it.
    :returns: seconds; 0 if it may not.
    """
    field = find_header(head.headers, b'keep-alive')
    if field is None:
        return IDLE_SECONDS
    for part in field.split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.isdigit():
            return min(IDLE_SECONDS, int(text) - IDLE_MARGIN)
    return IDLE_SECONDS
