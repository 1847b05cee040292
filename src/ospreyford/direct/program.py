"""Tasks and shutdown of an entry that reaches backends directly."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, NamedTuple

import curio

from ospreyford.direct.agents import AgentLink
from ospreyford.direct.gates import process_queues, refresh_groups
from ospreyford.direct.handler import RequestHandler
from ospreyford.direct.invalidrequests import respond_to_error
from ospreyford.direct.operatorport import OperatorPort
from ospreyford.direct.updates import StateUpdater
from ospreyford.direct.zonereport import ZoneReporter
from ospreyford.http.closing import POLL_SECONDS, ClosingPace, close_server
from ospreyford.http.connections import OpenConnections, accept_next
from ospreyford.http.message import Limits
from ospreyford.http.server import serve_connection
from ospreyford.observability.events import Draining, NotReady, Ready, Stopped
from ospreyford.observability.exposition import accept
from ospreyford.observability.loopwatch import watch_loop
from ospreyford.observability.supervision import keep_running

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from curio.io import Socket

    from ospreyford.console.stopping import Stop
    from ospreyford.direct.context import EntryContext
    from ospreyford.http.server import Exchange

OK: Final = 200
UNAVAILABLE: Final = 503
#: Callers' connections; leaves as many file descriptors for backends.
MAX_CONNECTIONS = 1800
#: Interval of the checks for expired connections and missing backends.
SWEEP_INTERVAL_SECONDS = 0.1
#: Fraction of the grace period in which new connections are accepted. The
#: upstream balancer asks once a second, and stops sending them after two
#: refusals.
ACCEPT_FRACTION = 0.35
#: Fraction of the grace period after which requests in flight are answered.
DRAIN_FRACTION = 0.93
#: Time to write the last responses.
FINAL_RESPONSE_SECONDS = 0.2
#: The process ends after being idle for this time.
IDLE_BEFORE_EXIT_SECONDS = 0.15


class Listeners(NamedTuple):
    """Sockets that are already listening.

    :param front: for callers.
    :param ready: for the upstream balancer's readiness checks.
    """

    front: Socket
    ready: Socket


class EntryServer:
    """All tasks of an entry except the store reader.

    :param context: shared state of the entry.
    :param stop: signals when to stop.
    :param listeners: sockets that are already listening.
    """

    def __init__(
        self, context: EntryContext, stop: Stop, listeners: Listeners
    ) -> None:
        self._listeners = listeners
        self._context = context
        self._stop = stop
        self._handler = RequestHandler(context)
        self._connections = OpenConnections(
            MAX_CONNECTIONS, context.settings.request_bytes
        )
        self._was_ready = False
        self._zone_reporter = ZoneReporter(context)
        self.updater = StateUpdater(context)

    async def run(self, feed: Callable[[], Awaitable[None]]) -> None:
        """Serve until stopped and all requests in flight have finished.

        :param feed: follows the store.
        """
        context = self._context
        settings = context.settings
        self._stop.count_in_flight = self._connections.count_busy
        front, ready = self._listeners
        accepting = await curio.spawn(self._accept_callers, front, daemon=True)
        await curio.spawn(accept, ready, self._handle_readiness, daemon=True)
        await OperatorPort(context).start(
            settings.front[0], settings.metrics_port
        )
        agents = AgentLink(context)
        watch = watch_loop(context.metrics.registry, context.log)
        for task in (
            feed,
            agents.run,
            agents.greet_often,
            self._sweep,
            watch.run,
        ):
            await curio.spawn(keep_running, task, context.log, daemon=True)
        await self._stop.requested.wait()
        await self._shut_down(accepting)

    async def finish_requests(self) -> None:
        """Answer all requests in flight and wait for the responses."""
        await self._handler.finish_all()
        async with curio.ignore_after(FINAL_RESPONSE_SECONDS):
            while self._connections.count_busy():
                await curio.sleep(POLL_SECONDS)

    async def _shut_down(self, accepting: curio.Task) -> None:
        context = self._context
        grace = context.settings.bounds.grace_seconds
        context.is_stopping = True
        context.log.log_change(
            Draining('signal', self._connections.count_busy())
        )
        schedule = ClosingPace(
            accept=grace * ACCEPT_FRACTION,
            quiet=IDLE_BEFORE_EXIT_SECONDS,
            most=grace * DRAIN_FRACTION,
        )
        requested_at = self._stop.requested_at
        await close_server(self._connections, accepting, schedule, requested_at)
        await self.finish_requests()
        context.log.log_change(Stopped(self._connections.count_busy()))

    async def _accept_callers(self, sock: Socket) -> None:
        async with sock:
            while True:
                client = await accept_next(sock)
                if self._connections.is_full():
                    await client.close()
                    continue
                catalog = self._context.catalog
                limits = catalog.limits if catalog else Limits()
                await curio.spawn(
                    serve_connection,
                    client,
                    limits,
                    self._handler.serve,
                    respond_to_error,
                    self._connections,
                    daemon=True,
                )

    async def _handle_readiness(self, exchange: Exchange) -> None:
        status = OK if self._context.is_ready() else UNAVAILABLE
        await exchange.respond(status, b'')

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(SWEEP_INTERVAL_SECONDS)
            await self._context.pool.close_expired()
            await self.updater.remove_expired()
            self._context.declarations.forget_ended(self._context.backends)
            refresh_groups(self._context)
            await process_queues(self._context)
            self._zone_reporter.report(time.monotonic())
            self._log_readiness()

    def _log_readiness(self) -> None:
        is_ready = self._context.is_ready()
        if is_ready is self._was_ready:
            return
        self._was_ready = is_ready
        if is_ready:
            self._context.log.log_change(Ready())
        else:
            age_ms = self._context.compute_state_age_ms()
            self._context.log.log_change(
                NotReady(f'state of the store is {age_ms} ms old')
            )
