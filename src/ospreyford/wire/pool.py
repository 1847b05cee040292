"""Idle connections to agents, kept for the next request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple
from weakref import WeakSet

import curio

from ospreyford.wire.connection import (
    FrameConnection,
    Handshake,
    connect_to_agent,
    skip_handshake,
)
from ospreyford.wire.errors import Unreachable, WireError
from ospreyford.wire.frame import Greeting

if TYPE_CHECKING:
    from collections.abc import Callable

    from ospreyford.ports.clock import Clock
    from ospreyford.wire.frame import AgentFrame


class PoolSettings(NamedTuple):
    """How many idle connections are kept, and for how long.

    ``connect_seconds`` bounds opening one, ``idle_seconds`` its rest in the
    pool, ``max_idle_per_address`` their number to one address.
    """

    connect_seconds: float = 0.5
    idle_seconds: float = 10.0
    max_idle_per_address: int = 32


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
    :param secure: carries out the handshake of a new connection.
    :param record_heartbeat_timeout: told of each connection that is given up because the
        agent's heartbeats stopped.
    """

    def __init__(
        self,
        settings: PoolSettings,
        clock: Clock,
        secure: Handshake = skip_handshake,
        record_heartbeat_timeout: Callable[[], object] = int,
    ) -> None:
        self._secure = secure
        self.record_heartbeat_timeout = record_heartbeat_timeout
        self._settings = settings
        self._clock = clock
        # Whoever took a connection closes it; those that nobody holds any
        # more are gone without a word.
        self._opened: WeakSet[FrameConnection[AgentFrame]] = WeakSet()
        self._idle: dict[str, list[IdleConnection]] = {}
        self._evicted_at = clock.monotonic()

    def count_open(self) -> int:
        """Count the connections in use and at rest.

        :returns: how many are open.
        """
        return sum(not frames.is_closed() for frames in self._opened)

    async def acquire(self, address: str, timeout: float) -> AgentConnection:
        """Take an idle connection, or open one.

        :param address: the agent's data address.
        :param within: seconds that opening one may take at most.
        :returns: a connection with nothing unread on it.
        :raises Unreachable: none could be opened; nothing was sent.
        """
        idle = self._idle.get(address, [])
        cutoff = self._compute_idle_cutoff()
        while idle:
            candidate = idle.pop()
            frames = candidate.connection.frames
            # A request sent to a process that has ended meanwhile would be
            # of unknown outcome, although no one can have run it. And what
            # can be read on a connection at rest is nobody's answer.
            if candidate.since >= cutoff and frames.is_reusable():
                return candidate.connection
            await frames.close()
        return await self.open(address, timeout)

    async def open(self, address: str, timeout: float) -> AgentConnection:
        """Open a fresh connection.

        :param address: the agent's data address.
        :param within: seconds that it may take at most, however patient the
            settings are.
        :returns: the connection, greeted.
        :raises Unreachable: none could be opened; nothing was sent.
        """
        # The kernel accepts for a process that is paused or hung; only its
        # greeting shows that somebody answers, before anything is sent.
        limit = min(self._settings.connect_seconds, max(timeout, 0))
        frames = await connect_to_agent(address, limit, self._secure)
        self._opened.add(frames)
        try:
            greeting = await curio.timeout_after(limit, frames.receive())
        except (WireError, curio.TaskTimeout):
            await frames.close()
            raise Unreachable from None
        except curio.CancelledError:
            await frames.close()
            raise
        if isinstance(greeting, Greeting) and frames.certificate_allows(
            greeting.server
        ):
            return AgentConnection(frames, greeting)
        await frames.close()
        raise Unreachable

    async def release(
        self,
        address: str,
        connection: AgentConnection,
    ) -> None:
        """Keep a connection whose last answer was read to its end.

        :param address: the agent's data address.
        :param connection: the connection.
        """
        await self._evict_expired()
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self._settings.max_idle_per_address:
            await connection.frames.close()
            return
        idle.append(IdleConnection(self._clock.monotonic(), connection))

    async def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            while idle:
                await idle.pop().connection.frames.close()

    async def _evict_expired(self) -> None:
        # Hosts are replaced all the time: what went idle to an address that
        # nobody asks for again would stay open for good.
        now = self._clock.monotonic()
        if now - self._evicted_at < self._settings.idle_seconds:
            return
        self._evicted_at = now
        cutoff = self._compute_idle_cutoff()
        expired: list[IdleConnection] = []
        for connections in self._idle.values():
            # In place: a taker under way must see what is left.
            while connections and connections[0].since < cutoff:
                expired.append(connections.pop(0))
        self._idle = {
            address: idle for address, idle in self._idle.items() if idle
        }
        for idle_connection in expired:
            await idle_connection.connection.frames.close()

    def _compute_idle_cutoff(self) -> float:
        return self._clock.monotonic() - self._settings.idle_seconds
