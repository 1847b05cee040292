"""Process setup shared by entries and agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.node.fleetnode import FleetNode
from ospreyford.node.queries import Topic, make_spans_handler
from ospreyford.node.reporter import FleetReporter
from ospreyford.observability.admin import AdminPort
from ospreyford.observability.events import Started
from ospreyford.observability.metrics import Metrics
from ospreyford.observability.tracing import Tracing

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ospreyford.console.program import Program
    from ospreyford.observability.admin import Provider
    from ospreyford.observability.readiness import Unready
    from ospreyford.settings.programs import AgentSettings, EntrySettings


class FleetProcess:
    """Fleet node, metrics, tracing and admin port of one process.

    :param program: settings, stop signal and log.
    :param role: ``entry`` or ``backend``.
    :param service: the backend server's service, or empty.
    """

    def __init__(
        self,
        program: Program[EntrySettings] | Program[AgentSettings],
        role: str,
        service: str,
    ) -> None:
        self.metrics = Metrics()
        self.node = FleetNode(
            program.settings,
            role,
            service,
            FleetReporter(program.changes, self.metrics),
            program.stop.requested,
            program.secrets.keyring,
        )
        self.tracing = Tracing(
            program.settings.traces,
            program.settings.identity,
            self.metrics,
        )
        self.metrics.watch_peers(self.node.peers.counters)
        self.metrics.watch_handshakes(program.secrets.failures)
        self.metrics.watch_drops('logs', program.changes.count_dropped)
        self._program = program

    async def watch_secrets(self) -> None:
        """Reload certificates and keys when their files change."""
        await self._program.secrets.run(self.node.clock, self._program.changes)

    def serve_spans(self) -> None:
        """Serve span queries from other processes."""
        answer = make_spans_handler(self.tracing.tracer.store)
        self.node.peers.serve(Topic.spans, answer)

    async def start_admin(
        self,
        providers: Mapping[str, Provider],
        list_unready_reasons: Callable[[], list[Unready]],
    ) -> None:
        """Start the admin server.

        :param providers: views by path.
        :param list_unready_reasons: lists why the process refuses new work.
        """
        listen_settings = self._program.settings.listen
        admin = AdminPort(
            listen_settings, self.metrics, providers, list_unready_reasons
        )
        await curio.spawn(admin.run, daemon=True)

    def log_started(self, name: str) -> None:
        """Log that the process accepts connections.

        :param name: the program's name.
        """
        instance = self._program.settings.identity.instance
        started = Started(name, instance, self.node.incarnation)
        self._program.changes.log_change(started)

    async def stop(self) -> None:
        """Stop the node and flush traces."""
        await self.node.stop()
        self.tracing.close()
