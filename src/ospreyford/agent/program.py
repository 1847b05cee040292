"""Main program of ``ospreyford-agent``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.agent.drains import DrainState
from ospreyford.agent.factory import make_components
from ospreyford.agent.group import GroupTasks
from ospreyford.agent.views import AgentViews
from ospreyford.http.connections import accept_next
from ospreyford.http.server import listen
from ospreyford.node.process import FleetProcess
from ospreyford.node.queries import Topic
from ospreyford.observability.events import Draining, Ready
from ospreyford.observability.readiness import LeavingHost
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from curio.io import Socket

    from ospreyford.agent.drains import DrainCause
    from ospreyford.console.program import Program
    from ospreyford.observability.readiness import Unready
    from ospreyford.settings.programs import AgentSettings

DRAIN_POLL_SECONDS = 0.05
DRAIN_CHECK_SECONDS = 0.1
#: Time without unfinished answers after which a draining agent exits.
DRAIN_QUIET_SECONDS = 1.0


class AgentProgram:
    """Agent process from startup to shutdown.

    :param program: settings, stop signal and log.
    """

    def __init__(self, program: Program[AgentSettings]) -> None:
        settings = program.settings
        self._program = program
        self._settings = settings
        service = settings.backend.service
        self._process = FleetProcess(program, 'backend', service)
        self._node = self._process.node
        self._drains = DrainState(settings.identity.name)
        self._components = make_components(
            settings,
            self._node,
            self._process.tracing.tracer,
            self._process.metrics.flow,
        )
        self._views = AgentViews(
            self._node, self._components.record, self._drains
        )
        self._group_tasks: GroupTasks | None = None
        if settings.ranks is not None:
            self._group_tasks = GroupTasks(settings.ranks, self._node, program)
            self._process.metrics.watch_weights(
                self._group_tasks.count_weights()
            )

    async def run(self) -> None:
        """Run until stopped, then drain requests in flight."""
        self._program.stop.count_in_flight = self._count_unfinished
        self._subscribe_to_fleet()
        # Binding the address excludes a second agent while this one exists,
        # even if it is paused.
        sock = listen(*split_address(self._settings.listen.data_address))
        await self._node.start()
        await self._start_tasks()
        accept_task = await curio.spawn(self._accept, sock, daemon=True)
        self._process.log_started('ospreyford-agent')
        self._program.changes.log_change(Ready())
        await self._program.stop.requested.wait()
        await self._drain(accept_task)

    def list_unready_reasons(self) -> list[Unready]:
        """List why this agent refuses new work.

        :returns: the reasons; empty if the agent is ready.
        """
        return [LeavingHost(one.source) for one in self._drains.find_causes()]

    def _subscribe_to_fleet(self) -> None:
        node = self._node
        node.configuration.subscribe(self._drains.handle_picture)
        node.subscribe_to_hosts(self._drains.handle_hosts)
        node.membership.subscribe(self._drains.handle_member_change)
        if self._group_tasks is not None:
            self._group_tasks.subscribe()
        self._process.serve_spans()
        node.peers.serve(Topic.agent_status, self._views.handle_status_query)

    async def _start_tasks(self) -> None:
        providers = {'/status': self._views.show_status}
        await self._process.start_admin(providers, self.list_unready_reasons)
        load_seconds = self._settings.service.load_seconds
        for task in (
            self._components.meter.run(load_seconds),
            self._components.service.run_sweeps(),
            self._watch_drains(),
            self._process.watch_secrets(),
            *self._list_group_tasks(),
        ):
            await curio.spawn(task, daemon=True)

    def _list_group_tasks(self) -> list[Coroutine[Any, Any, object]]:
        return (
            [] if self._group_tasks is None else self._group_tasks.list_tasks()
        )

    async def _watch_drains(self) -> None:
        causes: tuple[DrainCause, ...] = ()
        record_gauge = self._process.metrics.fleet.records
        while True:
            found = self._drains.find_causes()
            self._components.record.draining = bool(found)
            record_gauge.set(len(self._components.record.table))
            if found and found != causes:
                self._log_draining(found)
            causes = found
            await curio.sleep(DRAIN_CHECK_SECONDS)

    def _log_draining(self, causes: tuple[DrainCause, ...]) -> None:
        sources = ', '.join(one.source for one in causes)
        self._program.changes.log_change(
            Draining(sources, self._count_unfinished()),
        )

    async def _accept(self, listening: Socket) -> None:
        async with listening:
            while True:
                sock = await accept_next(listening)
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: Socket) -> None:
        secrets = self._program.secrets
        await secrets.serve_entry(sock, self._components.service.serve)

    def _count_unfinished(self) -> int:
        unfinished = len(self._components.record.table.list_unfinished())
        return unfinished + self._components.service.count_undelivered()

    async def _drain(self, accept_task: curio.Task) -> None:
        self._drains.stopping = True
        self._components.record.draining = True
        await self._node.membership.leave()
        # Entries may still be reading answers, or reconnect for the rest of
        # one; slow readers are recognized by their heartbeats.
        quiet_since = self._node.clock.monotonic()
        while self._node.clock.monotonic() - quiet_since < DRAIN_QUIET_SECONDS:
            await curio.sleep(DRAIN_POLL_SECONDS)
            if self._count_unfinished():
                quiet_since = self._node.clock.monotonic()
        await accept_task.cancel()
        await self._process.stop()
