"""Runs the ``ospreyford-entry`` process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.entry.availability import AvailabilityTracker
from ospreyford.entry.directory import FleetDirectory
from ospreyford.entry.factory import make_components
from ospreyford.entry.views import Views
from ospreyford.http.closing import ClosingPace, close_server
from ospreyford.http.connections import OpenConnections, accept_next
from ospreyford.http.server import listen, serve_connection
from ospreyford.membership.member import MemberState
from ospreyford.node.process import FleetProcess
from ospreyford.observability.events import Draining, Ready
from ospreyford.observability.readiness import LeavingHost, NoConfiguration
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from curio.io import Socket

    from ospreyford.console.program import Program
    from ospreyford.observability.readiness import Unready
    from ospreyford.ports.fleet import Host
    from ospreyford.settings.programs import EntrySettings

READY_POLL_SECONDS = 0.1
#: Upstream balancers may keep sending for this long during a drain.
CLOSE_ACCEPT_SECONDS = 0.5


class EntryProgram:
    """Entry process from start to drained shutdown.

    :param program: settings, stop signal and change log.
    """

    def __init__(self, program: Program[EntrySettings]) -> None:
        settings = program.settings
        self._program = program
        self._settings = settings
        self._process = FleetProcess(program, 'entry', '')
        self._node = self._process.node
        self._directory = FleetDirectory()
        self._components = make_components(
            settings,
            self._node,
            self._directory,
            self._process.metrics,
            self._process.tracing.tracer,
            program.changes,
            program.secrets,
        )
        self._availability = AvailabilityTracker(
            self._directory, self._components.router
        )
        self.stopping = False
        self._connections = OpenConnections(settings.http.connections)
        flow = self._process.metrics.flow
        callers = flow.connections.labels('caller')
        callers.set_function(self._connections.__len__)

    async def run(self) -> None:
        """Run until stopped, then drain requests in flight."""
        self._program.stop.count_in_flight = self._connections.count_busy
        self._subscribe_to_fleet()
        sock = listen(*split_address(self._settings.listen.data_address))
        self._process.serve_spans()
        await self._node.start()
        await self._start_admin()
        for run in (
            self._components.limit_share.run,
            self._components.queue.run,
            self._components.ejections.run,
            self._process.watch_secrets,
        ):
            await curio.spawn(run, daemon=True)
        accepting = await curio.spawn(self._accept, sock, daemon=True)
        self._process.log_started('ospreyford-entry')
        await curio.spawn(self._log_ready, daemon=True)
        await self._program.stop.requested.wait()
        await self._drain(accepting)

    def list_unready_reasons(self) -> list[Unready]:
        """List why this entry is not ready.

        :returns: the reasons; empty when ready.
        """
        reasons: list[Unready] = []
        if self.stopping:
            reasons.append(LeavingHost('signal'))
        elif self._is_leaving():
            reasons.append(LeavingHost('host list'))
        if not self._node.configuration.ready or not self._directory.hosts:
            reasons.append(NoConfiguration())
        return reasons

    def _is_leaving(self) -> bool:
        membership = self._node.membership
        own_state = membership.state_of(membership.me.name)
        return own_state is MemberState.leaving

    def _subscribe_to_fleet(self) -> None:
        self._node.configuration.subscribe(self._availability.handle_picture)
        self._node.subscribe_to_hosts(self._handle_hosts)
        self._node.membership.subscribe(self._availability.handle_state_change)

    def _handle_hosts(self, hosts: tuple[Host, ...]) -> None:
        previous = self._directory.hosts.keys()
        self._directory.handle_hosts(hosts)
        for name in previous - self._directory.hosts.keys():
            self._components.router.remove_backend(name)

    async def _start_admin(self) -> None:
        tracer = self._process.tracing.tracer
        views = Views(self._node, self._directory, tracer)
        providers = views.list_providers()
        await self._process.start_admin(providers, self.list_unready_reasons)

    async def _log_ready(self) -> None:
        while self.list_unready_reasons():
            await curio.sleep(READY_POLL_SECONDS)
        self._program.changes.log_change(Ready())

    async def _accept(self, listening: Socket) -> None:
        async with listening:
            while True:
                sock = await accept_next(listening)
                if self._connections.is_full():
                    await sock.close()
                    continue
                await curio.spawn(self._serve_secured, sock, daemon=True)

    async def _serve_secured(self, sock: Socket) -> None:
        await self._program.secrets.serve_caller(sock, self._serve)

    async def _serve(self, sock: Socket) -> None:
        await serve_connection(
            sock,
            self._settings.http.to_limits(),
            self._components.service.serve,
            self._components.service.refuse,
            self._connections,
        )

    async def _drain(self, accepting: curio.Task) -> None:
        self.stopping = True
        self._program.changes.log_change(
            Draining('signal', self._connections.count_busy()),
        )
        pace = ClosingPace(
            accept=CLOSE_ACCEPT_SECONDS, quiet=CLOSE_ACCEPT_SECONDS
        )
        await close_server(self._connections, accepting, pace)
        await self._process.stop()
