"""What holds the event loop in one piece, by its longest moment."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import curio

from ospreyford.agent.record import Begun, ExecutionRecord
from ospreyford.agent.settings import RecordSettings
from ospreyford.measure.guards import LOAD, make_start
from ospreyford.measure.timing import MICROSECONDS, time_parts
from ospreyford.observability.metrics import Metrics
from ospreyford.observability.spans import Tracer
from ospreyford.ports.clock import SystemClock
from ospreyford.settings.sections import Identity, Traces

HELD: Final = 20_000
SERVICES: Final = 8
REPEATS: Final = 5
IDENTITY: Final = Identity(name='e', instance='e.1', zone='a', region='r')


def measure_holds() -> list[list[str | float]]:
    """Time each of what runs from time to time between two requests.

    :returns: name and microseconds.
    """
    record = ExecutionRecord(
        RecordSettings(max_entries=HELD), 'i', SystemClock()
    )
    curio.run(_fill, record)
    metrics = _make_metrics()
    tracer = _make_tracer()
    sweep = max(time_parts(record.table.sweep_batches())) * MICROSECONDS
    return [
        [f'sweep of {HELD} records, a part, each second', sweep],
        [
            f'count of what runs of {HELD} records, each second',
            _time_once(record.table.list_running),
        ],
        [f'a scrape, {SERVICES} services', _time_once(metrics.render)],
        [
            'search of one request in the spans, if asked',
            _time_once(lambda: tracer.store.find_request('none')),
        ],
    ]


async def _fill(record: ExecutionRecord) -> None:
    for _ in range(HELD):
        decision = record.start(make_start())
        if isinstance(decision, Begun):
            await decision.execution.finish(LOAD, time.monotonic())


def _make_metrics() -> Metrics:
    metrics = Metrics()
    for number in range(SERVICES):
        service = f'service-{number}'
        metrics.requests.requests.labels(service, 'answered').inc()
        metrics.flow.total.labels(service).observe(1)
        metrics.flow.first_token.labels(service).observe(1)
    return metrics


def _make_tracer() -> Tracer:
    traces = Traces()
    tracer = Tracer(traces, IDENTITY)
    for number in range(2 * traces.max_spans):
        with tracer.start('entry', str(number)) as span:
            span.end('answered', failed=bool(number % 2))
    return tracer


def _time_once(job: Callable[[], object]) -> float:
    taken = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        job()
        taken.append(time.perf_counter() - began)
    return max(taken) * MICROSECONDS
