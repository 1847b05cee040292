"""Tests of the age of load reports.

Without an engine report, a busy service must not appear idle to entries.
"""

from __future__ import annotations

import pytest

from ospreyford.agent.load import LoadMeter
from ospreyford.agent.record import ExecutionRecord
from ospreyford.agent.settings import RecordSettings
from ospreyford.ports.fleet import LoadReport
from tests.fakes.clock import FakeClock
from tests.faults.backend import FakeBackend


class SilentBackend(FakeBackend):
    async def read_load(self) -> LoadReport | None:
        """Return no report."""


def report_after(backend: FakeBackend, seconds: float) -> LoadReport:
    clock = FakeClock()
    record = ExecutionRecord(RecordSettings(), '1', clock)
    meter = LoadMeter(record, backend, clock)
    running = meter.run(100)
    running.send(None)
    clock.advance(seconds)
    running.close()
    return meter.report()


@pytest.mark.parametrize(
    ('backend', 'age'), [(SilentBackend(), 0), (FakeBackend(), 30)]
)
def test_age_is_of_the_engines_report(backend: FakeBackend, age: int) -> None:
    assert report_after(backend, 30).age_seconds == age
