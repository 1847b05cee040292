"""Load report of the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.ports.fleet import LoadReport

if TYPE_CHECKING:
    from ospreyford.agent.record import ExecutionRecord
    from ospreyford.ports.backend import BackendPort
    from ospreyford.ports.clock import Clock


class LoadMeter:
    """Combines the engine's delayed report with the agent's request count.

    :param record: the execution record.
    :param backend: the backend server.
    :param clock: source of time.
    """

    def __init__(
        self,
        record: ExecutionRecord,
        backend: BackendPort,
        clock: Clock,
    ) -> None:
        self.in_flight = 0
        self._record = record
        self._backend = backend
        self._clock = clock
        self._last_read_at: float | None = None
        self._engine_load = LoadReport(incarnation=record.incarnation)

    def report(self) -> LoadReport:
        """Build a load report for an entry.

        :returns: the engine's last report with its age, the agent's count of
            running requests, and whether the agent is draining.
        """
        # Without an engine report the count is current, so its age is 0; as
        # an ageing report it would be ignored by entries.
        elapsed: float = 0
        if self._last_read_at is not None:
            elapsed = self._clock.monotonic() - self._last_read_at
        return msgspec.structs.replace(
            self._engine_load,
            incarnation=self._record.incarnation,
            in_flight=self.in_flight,
            age_seconds=self._engine_load.age_seconds + elapsed,
            draining=self._record.draining,
        )

    async def run(self, interval: float) -> None:
        """Poll the engine's load.

        :param interval: polling interval, in seconds.
        """
        while True:
            engine_load = await self._backend.read_load()
            if engine_load is not None:
                self._engine_load = engine_load
                self._last_read_at = self._clock.monotonic()
            await self._clock.sleep(interval)
