"""Cost of each guard of the request path by itself, in one process."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import curio

from ospreyford.agent.execution import Execution
from ospreyford.agent.record import Begun, ExecutionRecord
from ospreyford.agent.settings import RecordSettings
from ospreyford.http.message import Headers
from ospreyford.measure.timing import (
    REPEATS,
    ROUNDS,
    time_async,
    time_job,
)
from ospreyford.observability.metrics import Metrics
from ospreyford.observability.spans import Tracer
from ospreyford.observability.traceparent import parse_traceparent
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import LoadReport
from ospreyford.settings.sections import Identity, Traces
from ospreyford.wire.connection import (
    FrameReader,
    agent_decoder,
    encode_frames,
    entry_decoder,
)
from ospreyford.wire.frame import End, Frame, Head, Opened, Piece, Start
from ospreyford.wire.ids import create_id

HELD: Final = 20_000
HEADERS: Final[Headers] = (
    (b'ospreyford-customer', b'soum-insurance-clerks'),
    (b'ospreyford-service', b'quotation'),
    (b'host', b'backend'),
    (b'x-request-id', b'0'),
    (b'content-type', b'application/json'),
)
LOAD: Final = LoadReport(incarnation='i')


def measure_guards() -> list[list[str | float]]:
    """Time each guard; the best of a few repeats counts.

    :returns: name and microseconds per request, or per frame where said.
    """
    metrics = Metrics()
    identity = Identity(name='e', instance='e.1', zone='a', region='r')
    tracer = Tracer(Traces(), identity)
    return [
        ['frames of a fixed answer, encode and decode', time_job(_pass_frames)],
        ['one streamed piece, encode and decode', time_job(_pass_piece)],
        ['execution record: start to end', time_async(_make_execute())],
        ['spans of the entry: two', time_job(lambda: _trace(tracer))],
        ['metrics of the entry', time_job(lambda: _count(metrics))],
        ['one request id', time_job(create_id)],
        ['one time limit (curio.timeout_after)', time_async(_limit)],
    ]


def make_start() -> Start:
    """Make the start of a plain request.

    :returns: the frame.
    """
    return Start(
        execution=create_id(),
        attempt=create_id(),
        idempotent=True,
        fresh=True,
        dated=0,
        expires=int((time.time() + HELD) * 1000),
        fingerprint=1,
        method='GET',
        target='/rates/a',
        headers=HEADERS,
        body=b'',
    )


def _pass_frames() -> None:
    start = make_start()
    asked = FrameReader(entry_decoder)
    asked.feed(encode_frames(start))
    asked.next_frame()
    identity = start.execution
    answer: tuple[Frame, ...] = (
        Opened(execution=identity, incarnation='i', load=LOAD),
        Head(
            execution=identity,
            sequence=0,
            status=HTTPStatus.OK,
            headers=HEADERS,
        ),
        Piece(execution=identity, sequence=1, content=b'{}'),
        End(execution=identity, sequence=2, load=LOAD),
    )
    reader = FrameReader(agent_decoder)
    reader.feed(encode_frames(*answer))
    while reader.next_frame():
        """Each is decoded."""


def _pass_piece() -> None:
    reader = FrameReader(agent_decoder)
    piece = Piece(execution='i', sequence=1, content=b'{"token": "a"}')
    reader.feed(encode_frames(piece))
    reader.next_frame()


def _make_record() -> ExecutionRecord:
    settings = RecordSettings(max_entries=ROUNDS * REPEATS * 2 + HELD)
    return ExecutionRecord(settings, 'i', SystemClock())


def _make_execute() -> Callable[[], Awaitable[None]]:
    record = _make_record()

    async def execute() -> None:  # noqa: WPS430 -- holds its own record
        decision = record.start(make_start())
        if isinstance(decision, Begun):
            await _answer(decision.execution)

    return execute


async def _answer(execution: Execution) -> None:
    await execution.add_head(HTTPStatus.OK, HEADERS)
    await execution.add_piece(b'{}')
    await execution.finish(LOAD, time.monotonic())


def _trace(tracer: Tracer) -> None:
    with tracer.start('caller', 'r') as span:
        span.to_headers()
        with tracer.start('entry', 'r', span.context) as hop:
            parse_traceparent(hop.to_headers())


def _count(metrics: Metrics) -> None:
    metrics.requests.requests.labels('quotation', 'answered').inc()
    metrics.flow.total.labels('quotation').observe(1)
    metrics.flow.first_token.labels('quotation').observe(1)


async def _limit() -> None:
    await curio.timeout_after(1, _nothing())


async def _nothing() -> None:
    """Return at once."""
