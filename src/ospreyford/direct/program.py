"""The tasks of an entry that reaches back ends directly."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

import curio

from ospreyford.direct.agents import AgentLink
from ospreyford.direct.changes import Changes
from ospreyford.direct.handler import RequestHandler
from ospreyford.direct.messages import CONTENT_TYPE, make_problem
from ospreyford.direct.verdicts import Cause
from ospreyford.http.closing import POLL_SECONDS, ClosingPace, close_server
from ospreyford.http.connections import OpenConnections
from ospreyford.http.errors import (
    BadMessage,
    BodyTooLarge,
    HttpError,
    TooSlow,
)
from ospreyford.http.message import Limits
from ospreyford.http.server import serve_connection
from ospreyford.observability.events import Draining, NotReady, Ready, Stopped
from ospreyford.observability.exposition import FigureServer, accept
from ospreyford.observability.supervision import keep_running

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from curio.io import Socket

    from ospreyford.console.stopping import Stop
    from ospreyford.direct.world import World
    from ospreyford.http.server import Exchange, ServerConnection

OK: Final = 200
UNAVAILABLE: Final = 503
REQUEST_TIMEOUT: Final = 408
TOO_LARGE: Final = 413
#: Callers' connections open at once: below what the descriptors of an entry
#: allow, with as many again left for back ends.
MAX_CONNECTIONS = 1800
#: How often resting connections and missing back ends are looked at, seconds.
SWEEP_SECONDS = 0.1
#: Part of the grace in which new connections are still taken: the balancer
#: asks once a second and needs two refusals before it stops sending them. From
#: then on kept connections take no more requests either.
ACCEPT_PART = 0.35
#: Part of the grace after which whatever is in flight gets its last answer.
FINISH_PART = 0.93
#: Time for the answers to what is in flight at the end, in seconds.
LAST_ANSWERS_SECONDS = 0.2
#: An entry ends when nothing was under way for so long, in seconds.
QUIET_SECONDS = 0.15


class Listeners(NamedTuple):
    """Sockets that listen already.

    :param front: where callers connect.
    :param ready: where the balancer asks whether this entry is ready.
    """

    front: Socket
    ready: Socket


class EntryServer:
    """Everything that runs in an entry beside the reader of the store.

    :param world: what the entry knows and uses.
    :param stop: tells when to stop.
    :param listeners: sockets that listen already.
    """

    def __init__(self, world: World, stop: Stop, listeners: Listeners) -> None:
        self._listeners = listeners
        self._world = world
        self._stop = stop
        self._handler = RequestHandler(world)
        self._open = OpenConnections(MAX_CONNECTIONS)
        self._was_ready = False
        self.changes = Changes(world)

    async def run(self, feed: Callable[[], Awaitable[None]]) -> None:
        """Serve until the process is told to stop and all answers are out.

        :param feed: follows the published state.
        """
        world = self._world
        settings = world.settings
        self._stop.count_in_flight = self._open.count_busy
        front, ready = self._listeners
        accepting = await curio.spawn(self._accept_callers, front, daemon=True)
        await curio.spawn(accept, ready, self._answer_ready, daemon=True)
        figures = FigureServer(self._render_metrics)
        await figures.start(settings.front[0], settings.metrics_port)
        agents = AgentLink(world)
        for task in (feed, agents.run, agents.greet_often, self._sweep):
            await curio.spawn(keep_running, task, world.log, daemon=True)
        await self._stop.requested.wait()
        await self._finish(accepting)

    async def end_requests(self) -> None:
        """Give each request in flight its last answer, and wait for it."""
        await self._handler.end_all()
        async with curio.ignore_after(LAST_ANSWERS_SECONDS):
            while self._open.count_busy():
                await curio.sleep(POLL_SECONDS)

    async def _finish(self, accepting: curio.Task) -> None:
        world = self._world
        grace = world.settings.bounds.grace_seconds
        world.is_stopping = True
        world.log.log_change(Draining('signal', self._open.count_busy()))
        pace = ClosingPace(
            accept=grace * ACCEPT_PART,
            quiet=QUIET_SECONDS,
            most=grace * FINISH_PART,
        )
        await close_server(self._open, accepting, pace)
        await self.end_requests()
        world.log.log_change(Stopped(self._open.count_busy()))

    async def _accept_callers(self, sock: Socket) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                if self._open.is_full():
                    await client.close()
                    continue
                catalog = self._world.catalog
                limits = catalog.limits if catalog else Limits()
                await curio.spawn(
                    serve_connection,
                    client,
                    limits,
                    self._handler.serve,
                    refuse,
                    self._open,
                    daemon=True,
                )

    async def _answer_ready(self, exchange: Exchange) -> None:
        status = OK if self._world.is_ready() else UNAVAILABLE
        await exchange.respond(status, b'')

    def _render_metrics(self) -> bytes:
        world = self._world
        world.metrics.picture_age.set(world.knowledge.tell_age() or 0)
        return world.metrics.render()

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(SWEEP_SECONDS)
            await self._world.pool.close_expired()
            await self.changes.drop_missing()
            for gate in self._world.gates.values():
                await gate.look()
            self._note_readiness()

    def _note_readiness(self) -> None:
        is_ready = self._world.is_ready()
        if is_ready is self._was_ready:
            return
        self._was_ready = is_ready
        if is_ready:
            self._world.log.log_change(Ready())
        else:
            age_ms = self._world.tell_age_ms()
            self._world.log.log_change(NotReady(f'picture {age_ms} ms old'))


async def refuse(error: HttpError, connection: ServerConnection) -> None:
    """Answer what is no request, where the protocol still allows it.

    :param error: what was wrong.
    :param connection: the caller's connection.
    """
    match error:
        case BadMessage(status=status):
            body = make_problem(Cause.garbled, '')
            await connection.refuse(status, body, (CONTENT_TYPE,))
        case BodyTooLarge():
            body = make_problem(Cause.refused, '')
            await connection.refuse(TOO_LARGE, body, (CONTENT_TYPE,))
        case TooSlow():
            body = make_problem(Cause.out_of_time, '')
            await connection.refuse(REQUEST_TIMEOUT, body, (CONTENT_TYPE,))
