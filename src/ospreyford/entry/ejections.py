"""Reports ejected backends in the log and metrics."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ospreyford.observability.events import BackendEjected, BackendReturned

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.observability.metrics import Metrics
    from ospreyford.ports.clock import Clock
    from ospreyford.routing.router import Router

POLL_SECONDS = 1.0


class EjectionMonitor:
    """Polls the router and reports ejections and readmissions.

    :param router: router to poll.
    :param changes: change log.
    :param metrics: metrics registry.
    :param clock: time source.
    """

    def __init__(
        self,
        router: Router,
        changes: ChangeLog,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._router = router
        self._changes = changes
        self._metrics = metrics
        self._clock = clock
        self._ejected: dict[str, str] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._clock.sleep(POLL_SECONDS)
            self.report_changes()

    def report_changes(self) -> None:
        """Log changes since the last poll and update the gauges."""
        now = self._clock.monotonic()
        ejected = {
            host.name: host.service for host in self._router.list_ejected(now)
        }
        for name in ejected.keys() - self._ejected.keys():
            self._changes.log_change(
                BackendEjected(name, 'failures or latency')
            )
        for returned in self._ejected.keys() - ejected.keys():
            self._changes.log_change(BackendReturned(returned))
        counts = Counter(ejected.values())
        services = {*self._ejected.values(), *counts}
        for service in sorted(services):
            self._metrics.fleet.ejected.labels(service).set(counts[service])
        self._ejected = ejected
