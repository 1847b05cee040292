"""Handles callers' requests from admission to the response."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.entry.admission import BadCall
from ospreyford.entry.callersink import CallerSink
from ospreyford.entry.outcome import (
    Abandoned,
    Answered,
    Cause,
    Cut,
    NotRun,
    Outcome,
    Unknown,
)
from ospreyford.entry.problem import make_problem_response
from ospreyford.http.errors import (
    BadMessage,
    BodyTooLarge,
    BufferFull,
    ConnectionLost,
    HttpError,
    TooSlow,
)
from ospreyford.limits.limit import Refused
from ospreyford.wire.ids import create_id

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ospreyford.entry.admission import Admission
    from ospreyford.entry.call import Call, Directory, Plan
    from ospreyford.entry.dispatcher import Dispatcher
    from ospreyford.http.message import Headers
    from ospreyford.http.server import Exchange, ServerConnection
    from ospreyford.limits.gate import LimitGate
    from ospreyford.node.pauses import PauseGuard
    from ospreyford.observability.metrics import Metrics
    from ospreyford.observability.spans import OpenSpan, Tracer
    from ospreyford.ports.clock import Clock


#: Why a request's body was not read.
BODY_CAUSES: Mapping[type[HttpError], Cause] = MappingProxyType(
    {
        BodyTooLarge: Cause.body_too_large,
        BufferFull: Cause.overloaded,
        TooSlow: Cause.too_slow,
    },
)
#: Causes where the service name is not known to exist.
UNVERIFIED_SERVICE_CAUSES = frozenset(
    (Cause.unknown_service, Cause.unknown_customer, Cause.not_ready),
)


class AdmissionDependencies(NamedTuple):
    """Dependencies of admission."""

    admission: Admission
    directory: Directory
    gate: LimitGate
    pauses: PauseGuard


class EntryService:
    """Admits and dispatches requests and reports their outcome.

    :param dependencies: dependencies of admission.
    :param dispatcher: dispatches calls to backends.
    :param clock: time source.
    :param metrics: request metrics.
    :param tracer: records spans.
    """

    def __init__(
        self,
        dependencies: AdmissionDependencies,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self.in_flight = 0
        self._dependencies = dependencies
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        # Cached because label look-ups are slow.
        transferred = metrics.flow.transferred
        self._request_bytes = transferred.labels('request')
        self._response_bytes = transferred.labels('answer')

    async def serve(self, exchange: Exchange) -> None:
        """Handle one request.

        :param exchange: the caller's request.
        """
        self.in_flight += 1
        try:
            await self._admit(exchange)
        finally:
            self.in_flight -= 1

    async def refuse(
        self,
        error: HttpError,
        connection: ServerConnection,
    ) -> None:
        """Respond to a malformed request.

        :param error: protocol error.
        :param connection: connection to respond on and close.
        """
        self._metrics.requests.bad_input.labels(type(error).__name__).inc()
        cause = _classify_error(error)
        if cause is None:
            return
        problem = make_problem_response(NotRun(cause, 0), create_id())
        await connection.refuse(problem.status, problem.body, problem.headers)

    async def _admit(self, exchange: Exchange) -> None:
        try:
            body = await exchange.read_body()
            call = self._dependencies.admission.parse_call(
                exchange.request, body
            )
        except (BodyTooLarge, BufferFull, TooSlow) as error:
            await self._reject(exchange, BODY_CAUSES[type(error)])
        except BadCall as error:
            await self._reject(exchange, error.cause)
        else:
            if exchange.is_too_late():
                # The drain may close the connection before the response ends.
                await _send_problem(
                    exchange, NotRun(Cause.draining, 0), create_id()
                )
                return
            await self._handle_call(exchange, call)

    async def _reject(self, exchange: Exchange, cause: Cause) -> None:
        self._metrics.requests.bad_input.labels(cause.value).inc()
        await _send_problem(exchange, NotRun(cause, 0), create_id())

    async def _handle_call(self, exchange: Exchange, call: Call) -> None:
        with self._tracer.start('caller', call.request_id, call.trace) as span:
            sink = CallerSink(
                exchange,
                _make_response_headers(call, span),
                self._metrics.flow,
                call.service,
            )
            outcome = await self._run_traced(call, sink, span)
            if isinstance(outcome, NotRun | Unknown):
                await _send_problem(exchange, outcome, call.request_id)
            # A truncated response is closed without an end marker.
            span.end(format_outcome(outcome), failed=_is_failure(outcome))
        self._record_outcome(call, outcome)
        self._record_bytes(call, sink)

    async def _run_traced(
        self,
        call: Call,
        sink: CallerSink,
        span: OpenSpan,
    ) -> Outcome:
        started_at = self._clock.monotonic()
        with self._tracer.start(
            'entry', call.request_id, span.context
        ) as entry_span:
            traced = call._replace(
                headers=call.headers + entry_span.to_headers()
            )
            outcome = await self._apply_limits(traced, sink)
            entry_span.attributes['service'] = call.service
            entry_span.attributes['servers'] = ' '.join(call.attempted_backends)
            entry_span.end(format_outcome(outcome), failed=_is_failure(outcome))
        if isinstance(outcome, Answered):
            self._record_latency(call, sink, started_at)
        return outcome

    async def _apply_limits(self, call: Call, sink: CallerSink) -> Outcome:
        plan = self._find_plan(call)
        if isinstance(plan, NotRun):
            return _classify_missing_plan(call, plan)
        now = self._clock.monotonic()
        decision = self._dependencies.gate.admit(
            call.customer,
            plan.limit,
            call.estimated_tokens,
            now,
        )
        if isinstance(decision, Refused):
            refusal = NotRun(Cause.limited, decision.retry_after)
            keyed = self._dispatcher.keyed
            return await keyed.look_up_refused(call, plan, sink, refusal)
        return await self._dispatch(call, plan, sink)

    def _find_plan(self, call: Call) -> Plan | NotRun:
        if self._dependencies.pauses.is_unconfirmed():
            return NotRun(Cause.not_ready, 1)
        return self._dependencies.directory.find_plan(
            call.customer, call.service
        )

    async def _dispatch(
        self,
        call: Call,
        plan: Plan,
        sink: CallerSink,
    ) -> Outcome:
        in_flight = self._metrics.flow.in_flight.labels(call.service)
        in_flight.inc()
        try:
            return await self._dispatcher.dispatch(call, plan, sink)
        finally:
            in_flight.dec()
            self._release_limit(call)

    def _release_limit(self, call: Call) -> None:
        self._dependencies.gate.release(
            call.customer,
            call.estimated_tokens,
            call.estimated_tokens,
            self._clock.monotonic(),
        )

    def _record_latency(
        self, call: Call, sink: CallerSink, started_at: float
    ) -> None:
        now = self._clock.monotonic()
        flow = self._metrics.flow
        flow.total.labels(call.service).observe(now - started_at)
        if sink.first_content_at is not None:
            flow.first_token.labels(call.service).observe(
                sink.first_content_at - started_at
            )

    def _record_bytes(self, call: Call, sink: CallerSink) -> None:
        self._request_bytes.inc(len(call.body))
        self._response_bytes.inc(sink.relayed_bytes)

    def _record_outcome(self, call: Call, outcome: Outcome) -> None:
        requests = self._metrics.requests
        # Bound label cardinality: callers choose the names of services.
        service_known = (
            getattr(outcome, 'cause', None) not in UNVERIFIED_SERVICE_CAUSES
        )
        service = call.service if service_known else ''
        requests.requests.labels(service, format_outcome(outcome)).inc()
        if isinstance(outcome, NotRun):
            requests.refused.labels(outcome.cause.value).inc()


def format_outcome(outcome: Outcome) -> str:
    """Format an outcome for metrics and spans.

    :param outcome: outcome of a request.
    :returns: one of five label values.
    """
    match outcome:
        case Answered():
            return 'answered'
        case NotRun():
            return 'not-run'
        case Unknown():
            return 'unknown'
        case Cut():
            return 'cut'
        case Abandoned():
            return 'abandoned'


def _is_failure(outcome: Outcome) -> bool:
    return isinstance(outcome, Unknown | Cut)


def _classify_error(error: HttpError) -> Cause | None:
    match error:
        case BadMessage():
            return Cause.bad_request
        case TooSlow():
            return Cause.too_slow
        case _:
            return None


def _classify_missing_plan(call: Call, refusal: NotRun) -> Outcome:
    # Without documents the key's home cannot be queried for earlier attempts.
    if call.key and refusal.cause is Cause.not_ready:
        return Unknown(refusal.cause, refusal.retry_after)
    return refusal


def _make_response_headers(call: Call, span: OpenSpan) -> Headers:
    return (
        (b'ospreyford-outcome', b'answered'),
        (b'ospreyford-request-id', call.request_id.encode()),
        *span.to_headers(),
    )


async def _send_problem(
    exchange: Exchange,
    outcome: NotRun | Unknown,
    request_id: str,
) -> None:
    problem = make_problem_response(outcome, request_id)
    try:
        await exchange.respond(problem.status, problem.body, problem.headers)
    except ConnectionLost:
        return
