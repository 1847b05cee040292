"""The backend server's load, as its agent knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.ports.fleet import LoadReport

if TYPE_CHECKING:
    from ospreyford.agent.record import ExecutionRecord
    from ospreyford.ports.backend import BackendPort
    from ospreyford.ports.clock import Clock


class LoadMeter:
    """Combines the engine's lagging report with the agent's own count.

    :param record: what runs here.
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
        self._read_at: float | None = None
        self._engine = LoadReport(incarnation=record.incarnation)

    def report(self) -> LoadReport:
        """Make a report for an entry.

        :returns: the engine's last figures with their age, the own count of
            running requests, and whether the agent drains.
        """
        # A plain service reports nothing: the own count is all there is, and
        # it is of now. With an age that only grows no entry would heed it.
        rested: float = 0
        if self._read_at is not None:
            rested = self._clock.monotonic() - self._read_at
        return msgspec.structs.replace(
            self._engine,
            incarnation=self._record.incarnation,
            in_flight=self.in_flight,
            age_seconds=self._engine.age_seconds + rested,
            draining=self._record.draining,
        )

    async def run(self, interval: float) -> None:
        """Read the engine's load for ever.

        :param interval: seconds between two readings.
        """
        while True:
            engine = await self._backend.read_load()
            if engine is not None:
                self._engine = engine
                self._read_at = self._clock.monotonic()
            await self._clock.sleep(interval)
