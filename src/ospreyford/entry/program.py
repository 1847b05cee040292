"""``ospreyford-entry``: its parts, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.entry.directory import FleetDirectory
from ospreyford.entry.factory import make_parts
from ospreyford.entry.returns import ReturnWatch
from ospreyford.entry.views import Views
from ospreyford.http.closing import ClosingPace, close_server
from ospreyford.http.connections import OpenConnections
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
#: A balancer in front may send for so long after it is told to stop.
LINGER_SECONDS = 0.5


class EntryProgram:
    """One entry, from its settings to its last answer.

    :param program: settings, stop signal and log.
    """

    def __init__(self, program: Program[EntrySettings]) -> None:
        settings = program.settings
        self._program = program
        self._settings = settings
        self._process = FleetProcess(program, 'entry', '')
        self._node = self._process.node
        self._directory = FleetDirectory()
        self._parts = make_parts(
            settings,
            self._node,
            self._directory,
            self._process.metrics,
            self._process.tracing.tracer,
            program.changes,
            program.secrets,
        )
        self._returns = ReturnWatch(self._directory, self._parts.router)
        self.stopping = False
        self._open = OpenConnections(settings.http.connections)
        flow = self._process.metrics.flow
        callers = flow.connections.labels('caller')
        callers.set_function(self._open.__len__)

    async def run(self) -> None:
        """Run until asked to stop, then finish what is in flight."""
        self._program.stop.count_in_flight = self._open.count_busy
        self._listen_to_fleet()
        sock = listen(*split_address(self._settings.listen.data_address))
        self._process.serve_spans()
        await self._node.start()
        await self._start_admin()
        for run in (
            self._parts.share.run,
            self._parts.room.run,
            self._parts.watch.run,
            self._process.watch_secrets,
        ):
            await curio.spawn(run, daemon=True)
        accepting = await curio.spawn(self._accept, sock, daemon=True)
        self._process.log_started('ospreyford-entry')
        await curio.spawn(self._tell_ready, daemon=True)
        await self._program.stop.requested.wait()
        await self._drain(accepting)

    def tell_unready(self) -> list[Unready]:
        """Tell why this entry takes no work now.

        :returns: the reasons; none when it takes work.
        """
        reasons: list[Unready] = []
        if self.stopping:
            reasons.append(LeavingHost('signal'))
        elif self._is_marked():
            reasons.append(LeavingHost('host list'))
        if not self._node.configuration.ready or not self._directory.hosts:
            reasons.append(NoConfiguration())
        return reasons

    def _is_marked(self) -> bool:
        membership = self._node.membership
        own = membership.state_of(membership.me.name)
        return own is MemberState.leaving

    def _listen_to_fleet(self) -> None:
        self._node.configuration.subscribe(self._returns.note_picture)
        self._node.subscribe_to_hosts(self._note_hosts)
        self._node.membership.subscribe(self._returns.note_member)

    def _note_hosts(self, hosts: tuple[Host, ...]) -> None:
        before = self._directory.hosts.keys()
        self._directory.note_hosts(hosts)
        for name in before - self._directory.hosts.keys():
            self._parts.router.remove_backend(name)

    async def _start_admin(self) -> None:
        tracer = self._process.tracing.tracer
        views = Views(self._node, self._directory, tracer)
        providers = views.list_providers()
        await self._process.start_admin(providers, self.tell_unready)

    async def _tell_ready(self) -> None:
        while self.tell_unready():
            await curio.sleep(READY_POLL_SECONDS)
        self._program.changes.log_change(Ready())

    async def _accept(self, listening: Socket) -> None:
        async with listening:
            while True:
                sock, _ = await listening.accept()
                if self._open.is_full():
                    await sock.close()
                    continue
                await curio.spawn(self._secure, sock, daemon=True)

    async def _secure(self, sock: Socket) -> None:
        await self._program.secrets.serve_caller(sock, self._serve)

    async def _serve(self, sock: Socket) -> None:
        await serve_connection(
            sock,
            self._settings.http.to_limits(),
            self._parts.service.serve,
            self._parts.service.refuse,
            self._open,
        )

    async def _drain(self, accepting: curio.Task) -> None:
        self.stopping = True
        self._program.changes.log_change(
            Draining('signal', self._open.count_busy()),
        )
        pace = ClosingPace(accept=LINGER_SECONDS, quiet=LINGER_SECONDS)
        await close_server(self._open, accepting, pace)
        await self._process.stop()
