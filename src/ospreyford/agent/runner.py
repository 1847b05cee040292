"""Runner of executions on the backend server."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

import curio

from ospreyford.http.errors import (
    BufferFull,
    ConnectionRefused,
    HttpError,
    Unsendable,
)
from ospreyford.http.message import Request, find_header
from ospreyford.observability.traceparent import (
    TRACEPARENT,
    TRACESTATE,
    parse_traceparent,
)
from ospreyford.wire.frame import Fate

if TYPE_CHECKING:
    from ospreyford.agent.execution import Execution
    from ospreyford.agent.load import LoadMeter
    from ospreyford.agent.record import ExecutionRecord
    from ospreyford.agent.settings import ServiceSettings
    from ospreyford.http.message import Headers
    from ospreyford.observability.spans import OpenSpan, Tracer
    from ospreyford.ports.backend import BackendCall, BackendPort
    from ospreyford.ports.clock import Clock
    from ospreyford.wire.frame import Start

MILLISECONDS_PER_SECOND = 1000
REQUEST_ID = b'x-request-id'
TRACE_HEADERS = frozenset((TRACEPARENT, TRACESTATE))


class Runner:
    """Runs executions and buffers their answers.

    :param settings: timeouts.
    :param record: the execution record.
    :param backend: the backend server.
    :param meter: counts the requests in flight.
    :param clock: source of time.
    :param tracer: records spans.
    """

    def __init__(
        self,
        settings: ServiceSettings,
        record: ExecutionRecord,
        backend: BackendPort,
        meter: LoadMeter,
        clock: Clock,
        tracer: Tracer,
    ) -> None:
        self._tracer = tracer
        self._settings = settings
        self._record = record
        self._backend = backend
        self._meter = meter
        self._clock = clock

    async def launch(self, execution: Execution, start: Start) -> None:
        """Start an execution in its own task.

        The task outlives the connection, so that the entry can reconnect.

        :param execution: the new execution.
        :param start: the frame that started it.
        """
        execution.task = await curio.spawn(
            self._run,
            execution,
            start,
            daemon=True,
        )

    async def cancel(self, execution: Execution) -> None:
        """Cancel an execution if it is idempotent.

        A non-idempotent execution continues, so that its key gets an answer.

        :param execution: the execution.
        """
        if (
            execution.idempotent
            and execution.task
            and execution.ended_at is None
        ):
            await execution.task.cancel(blocking=False)

    async def cancel_abandoned(self) -> None:
        """Cancel the idempotent executions without followers."""
        oldest = self._clock.monotonic() - self._settings.orphan_seconds
        for execution in self._record.table.list_running():
            if execution.is_abandoned_since(oldest):
                await self.cancel(execution)

    async def _run(self, execution: Execution, start: Start) -> None:
        self._meter.in_flight += 1
        request_id = _read_request_id(start)
        parent = parse_traceparent(start.headers)
        try:
            with self._tracer.start('agent', request_id, parent) as span:
                await self._run_with_timeout(execution, start, span)
                _end_span(span, execution.fate)
        finally:
            await self._end(execution)

    async def _end(self, execution: Execution) -> None:
        self._meter.in_flight -= 1
        self._record.memory.remove(execution)
        # Unexpected errors must also end the execution, or its followers and
        # a shutdown would wait for it indefinitely.
        await execution.fail(Fate.unknown, self._clock.monotonic())
        # The execution is retained for minutes; retaining its task as well
        # would lengthen garbage collection pauses.
        execution.task = None

    async def _run_with_timeout(
        self,
        execution: Execution,
        start: Start,
        span: OpenSpan,
    ) -> None:
        timeout = self._settings.run_seconds
        if start.idempotent:
            remaining = (
                start.expires / MILLISECONDS_PER_SECOND - self._clock.wall()
            )
            timeout = max(remaining, 0)
        try:
            async with curio.timeout_after(timeout):
                await self._call(execution, start, span)
        except (ConnectionRefused, Unsendable):
            # Nothing was sent.
            await execution.fail(Fate.not_run, self._clock.monotonic())
        except (HttpError, curio.TaskTimeout):
            await execution.fail(Fate.unknown, self._clock.monotonic())
        except curio.TaskCancelled:
            await execution.fail(Fate.unknown, self._clock.monotonic())
            raise

    async def _call(
        self,
        execution: Execution,
        start: Start,
        span: OpenSpan,
    ) -> None:
        call = await self._backend.open(reuse=start.idempotent)
        whole = False
        request_id = _read_request_id(start)
        try:
            with self._tracer.start('backend', request_id, span.context):
                await self._relay(call, execution, start, span)
            whole = True
        finally:
            await call.finish(whole=whole)

    async def _relay(
        self,
        call: BackendCall,
        execution: Execution,
        start: Start,
        span: OpenSpan,
    ) -> None:
        headers = _replace_trace_headers(start.headers, span)
        request = Request(start.method, start.target, headers)
        await call.send(request, start.body)
        head = await call.read_head()
        await execution.add_head(head.status, head.headers)
        async with aclosing(call.read_pieces()) as pieces:
            async for piece in pieces:
                await self._make_room(execution, len(piece))
                await execution.add_piece(piece)
        await execution.finish(self._meter.report(), self._clock.monotonic())

    async def _make_room(self, execution: Execution, size: int) -> None:
        """Count a piece of an answer, and drop the largest answers if needed.

        :raises BufferFull: this answer was dropped.
        """
        memory = self._record.memory
        for largest in memory.add(execution, size):
            await largest.drop_answer(self._clock.monotonic())
            if largest is execution:
                raise BufferFull(memory.limit)
            if largest.task is not None:
                await largest.task.cancel(blocking=False)


def _end_span(span: OpenSpan, fate: Fate | None) -> None:
    outcome = 'answered' if fate is None else fate.value
    span.end(outcome, failed=fate is Fate.unknown)


def _read_request_id(start: Start) -> str:
    raw = find_header(start.headers, REQUEST_ID) or b''
    return raw.decode('latin-1')


def _replace_trace_headers(headers: Headers, span: OpenSpan) -> Headers:
    kept = tuple(pair for pair in headers if pair[0] not in TRACE_HEADERS)
    return kept + span.to_headers()
