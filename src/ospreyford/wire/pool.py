"""Idle connections to agents, kept for the next request."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

import curio

from ospreyford.wire.connection import FrameConnection, open_to_agent
from ospreyford.wire.errors import Unreachable, WireError
from ospreyford.wire.frame import Greeting

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.wire.frame import AgentFrame


class PoolSettings(NamedTuple):
    """How many idle connections are kept, and for how long.

    ``connect_seconds`` bounds opening one, ``idle_seconds`` its rest in the
    pool, ``idle_each`` their number to one address.
    """

    connect_seconds: float = 0.5
    idle_seconds: float = 10.0
    idle_each: int = 32


class AgentConnection(NamedTuple):
    """A connection to an agent and the greeting that it opened with."""

    frames: FrameConnection[AgentFrame]
    greeting: Greeting


class IdleConnection(NamedTuple):
    """A connection at rest since a moment of the monotonic clock."""

    since: float
    connection: AgentConnection


class ConnectionPool:
    """Connections to agents by address.

    Only a connection whose last answer was read to its end is given back;
    any other is closed, or the next caller would be given the rest of it.

    :param settings: sizes and times.
    :param clock: source of time.
    """

    def __init__(self, settings: PoolSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._idle: dict[str, list[IdleConnection]] = defaultdict(list)

    async def take(self, address: str) -> AgentConnection:
        """Take an idle connection, or open one.

        :param address: the agent's data address.
        :returns: a connection with nothing unread on it.
        :raises Unreachable: none could be opened; nothing was sent.
        """
        idle = self._idle[address]
        youngest = self._clock.monotonic() - self._settings.idle_seconds
        while idle:
            rested = idle.pop()
            if rested.since >= youngest:
                return rested.connection
            await rested.connection.frames.close()
        return await self.open(address)

    async def open(self, address: str) -> AgentConnection:
        """Open a fresh connection.

        :param address: the agent's data address.
        :returns: the connection, greeted.
        :raises Unreachable: none could be opened; nothing was sent.
        """
        # The kernel accepts for a process that is paused or hung; only its
        # greeting shows that somebody answers, before anything is sent.
        limit = self._settings.connect_seconds
        frames = await open_to_agent(address, limit)
        try:
            greeting = await curio.timeout_after(limit, frames.receive())
        except (WireError, curio.TaskTimeout):
            await frames.close()
            raise Unreachable from None
        except curio.CancelledError:
            await frames.close()
            raise
        if isinstance(greeting, Greeting):
            return AgentConnection(frames, greeting)
        await frames.close()
        raise Unreachable

    async def give_back(
        self,
        address: str,
        connection: AgentConnection,
    ) -> None:
        """Keep a connection whose last answer was read to its end.

        :param address: the agent's data address.
        :param connection: the connection.
        """
        idle = self._idle[address]
        if len(idle) >= self._settings.idle_each:
            await connection.frames.close()
            return
        idle.append(IdleConnection(self._clock.monotonic(), connection))

    async def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            while idle:
                await idle.pop().connection.frames.close()
