"""Connection pool for agents."""

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
    """Connect timeout, idle timeout and size limit of the pool."""

    connect_seconds: float = 0.5
    idle_seconds: float = 10.0
    max_idle_per_address: int = 32


class AgentConnection(NamedTuple):
    """A connection to an agent and the greeting received on it."""

    frames: FrameConnection[AgentFrame]
    greeting: Greeting


class IdleConnection(NamedTuple):
    """An idle connection; ``idle_since`` is monotonic time in seconds."""

    idle_since: float
    connection: AgentConnection


class ConnectionPool:
    """Connections to agents by address.

    Release only connections whose last response was read completely, or the
    next request would receive the rest of it.

    :param settings: limits and timeouts.
    :param clock: source of time.
    :param handshake: performs the handshake of a new connection.
    :param record_heartbeat_timeout: called for each connection closed because
        the agent's heartbeats stopped.
    """

    def __init__(
        self,
        settings: PoolSettings,
        clock: Clock,
        handshake: Handshake = skip_handshake,
        record_heartbeat_timeout: Callable[[], object] = int,
    ) -> None:
        self._handshake = handshake
        self.record_heartbeat_timeout = record_heartbeat_timeout
        self._settings = settings
        self._clock = clock
        # Weak, since callers may discard connections without closing them.
        self._connections: WeakSet[FrameConnection[AgentFrame]] = WeakSet()
        self._idle: dict[str, list[IdleConnection]] = {}
        self._evicted_at = clock.monotonic()

    def count_open(self) -> int:
        """Count the connections in use and idle.

        :returns: the number of open connections.
        """
        return sum(not frames.is_closed() for frames in self._connections)

    async def acquire(self, address: str, timeout: float) -> AgentConnection:
        """Return an idle connection, or open one.

        :param address: the agent's data address.
        :param timeout: limit of the connect timeout, in seconds.
        :returns: a connection without unread data.
        :raises Unreachable: no connection could be opened; nothing was sent.
        """
        idle = self._idle.get(address, [])
        cutoff = self._compute_idle_cutoff()
        while idle:
            candidate = idle.pop()
            frames = candidate.connection.frames
            # A request on a closed connection would have an unknown outcome.
            if candidate.idle_since >= cutoff and frames.is_reusable():
                return candidate.connection
            await frames.close()
        return await self.open(address, timeout)

    async def open(self, address: str, timeout: float) -> AgentConnection:
        """Open a new connection.

        :param address: the agent's data address.
        :param timeout: limit of the connect timeout, in seconds.
        :returns: the connection and the greeting.
        :raises Unreachable: no connection could be opened; nothing was sent.
        """
        # The kernel accepts connections for a hung process; only the greeting
        # shows that the agent responds.
        limit = min(self._settings.connect_seconds, max(timeout, 0))
        frames = await connect_to_agent(address, limit, self._handshake)
        self._connections.add(frames)
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
        """Return a connection whose last response was read completely.

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
        # Also closes connections to addresses that are no longer used.
        now = self._clock.monotonic()
        if now - self._evicted_at < self._settings.idle_seconds:
            return
        self._evicted_at = now
        cutoff = self._compute_idle_cutoff()
        expired: list[IdleConnection] = []
        for connections in self._idle.values():
            # Modified in place for concurrent calls of acquire().
            while connections and connections[0].idle_since < cutoff:
                expired.append(connections.pop(0))
        self._idle = {
            address: idle for address, idle in self._idle.items() if idle
        }
        for idle_connection in expired:
            await idle_connection.connection.frames.close()

    def _compute_idle_cutoff(self) -> float:
        return self._clock.monotonic() - self._settings.idle_seconds
