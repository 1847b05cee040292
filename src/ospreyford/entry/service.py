"""Serves callers: one task for each connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from ospreyford.entry.admission import BadCall
from ospreyford.entry.caller import CallerSink
from ospreyford.entry.outcome import (
    Abandoned,
    Answered,
    Cause,
    Cut,
    NotRun,
    Outcome,
    Unknown,
)
from ospreyford.entry.problem import make_problem
from ospreyford.http.errors import (
    BadMessage,
    BodyTooLarge,
    ConnectionLost,
    HttpError,
    TooSlow,
)
from ospreyford.limits.limit import Refused
from ospreyford.wire.identity import make_id

if TYPE_CHECKING:
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


#: Causes with which nothing shows that the service exists.
UNKNOWN_NAMES = frozenset(
    (Cause.unknown_service, Cause.unknown_customer, Cause.not_ready),
)


class Admitting(NamedTuple):
    """What admission asks: the documents, the limits, and the pause guard."""

    admission: Admission
    directory: Directory
    gate: LimitGate
    pauses: PauseGuard


class EntryService:
    """Admits requests, has them dispatched and tells their outcome.

    :param admitting: what admission asks.
    :param dispatcher: sends calls to back ends.
    :param clock: source of time.
    :param metrics: counts what becomes of requests.
    :param tracer: keeps the spans.
    """

    def __init__(
        self,
        admitting: Admitting,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
    ) -> None:
        self.in_flight = 0
        self._admitting = admitting
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        # To look a label up costs more than to count.
        transferred = metrics.flow.transferred
        self._request_bytes = transferred.labels('request')
        self._answer_bytes = transferred.labels('answer')

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request.

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
        """Answer a message that is no request.

        :param error: what is wrong with it.
        :param connection: where it came from; closed afterwards.
        """
        self._metrics.requests.bad_input.labels(type(error).__name__).inc()
        cause = _name_fault(error)
        if cause is None:
            return
        problem = make_problem(NotRun(cause, 0), make_id())
        await connection.refuse(problem.status, problem.body, problem.headers)

    async def _admit(self, exchange: Exchange) -> None:
        try:
            body = await exchange.read_body()
            call = self._admitting.admission.read_call(exchange.request, body)
        except BodyTooLarge:
            await self._reject(exchange, Cause.body_too_large)
        except TooSlow:
            await self._reject(exchange, Cause.too_slow)
        except BadCall as error:
            await self._reject(exchange, error.cause)
        else:
            if exchange.is_too_late():
                # It would be cut if it outlasts the stop of this process.
                await _tell(exchange, NotRun(Cause.draining, 0), make_id())
                return
            await self._trace(exchange, call)

    async def _reject(self, exchange: Exchange, cause: Cause) -> None:
        self._metrics.requests.bad_input.labels(cause.value).inc()
        await _tell(exchange, NotRun(cause, 0), make_id())

    async def _trace(self, exchange: Exchange, call: Call) -> None:
        with self._tracer.start('caller', call.request_id, call.trace) as span:
            sink = CallerSink(
                exchange,
                _make_headers(call, span),
                self._metrics.flow,
                call.service,
            )
            outcome = await self._answer(call, sink, span)
            if isinstance(outcome, NotRun | Unknown):
                await _tell(exchange, outcome, call.request_id)
            # An answer that broke off has no end mark: the connection is
            # closed under it, and the caller sees that it was cut.
            span.end(name_outcome(outcome), failed=_is_failure(outcome))
        self._count(call, outcome)
        self._count_bytes(call, sink)

    async def _answer(
        self,
        call: Call,
        sink: CallerSink,
        span: OpenSpan,
    ) -> Outcome:
        began = self._clock.monotonic()
        with self._tracer.start('entry', call.request_id, span.context) as hop:
            traced = call._replace(headers=call.headers + hop.to_headers())
            outcome = await self._settle(traced, sink)
            hop.attributes['service'] = call.service
            hop.attributes['servers'] = ' '.join(call.servers)
            hop.end(name_outcome(outcome), failed=_is_failure(outcome))
        if isinstance(outcome, Answered):
            self._measure(call, sink, began)
        return outcome

    async def _settle(self, call: Call, sink: CallerSink) -> Outcome:
        plan = self._find_plan(call)
        if isinstance(plan, NotRun):
            return _judge_planless(call, plan)
        now = self._clock.monotonic()
        verdict = self._admitting.gate.admit(
            call.customer,
            plan.limit,
            call.tokens,
            now,
        )
        if isinstance(verdict, Refused):
            refusal = NotRun(Cause.limited, verdict.retry_after)
            keyed = self._dispatcher.keyed
            return await keyed.look_up(call, plan, sink, refusal)
        return await self._dispatch(call, plan, sink)

    def _find_plan(self, call: Call) -> Plan | NotRun:
        if self._admitting.pauses.is_unconfirmed():
            return NotRun(Cause.not_ready, 1)
        return self._admitting.directory.find_plan(call.customer, call.service)

    async def _dispatch(
        self,
        call: Call,
        plan: Plan,
        sink: CallerSink,
    ) -> Outcome:
        running = self._metrics.flow.in_flight.labels(call.service)
        running.inc()
        try:
            return await self._dispatcher.dispatch(call, plan, sink)
        finally:
            running.dec()
            self._release(call)

    def _release(self, call: Call) -> None:
        self._admitting.gate.release(
            call.customer,
            call.tokens,
            call.tokens,
            self._clock.monotonic(),
        )

    def _measure(self, call: Call, sink: CallerSink, began: float) -> None:
        now = self._clock.monotonic()
        flow = self._metrics.flow
        flow.total.labels(call.service).observe(now - began)
        if sink.first_at is not None:
            flow.first_token.labels(call.service).observe(sink.first_at - began)

    def _count_bytes(self, call: Call, sink: CallerSink) -> None:
        self._request_bytes.inc(len(call.body))
        self._answer_bytes.inc(sink.relayed_bytes)

    def _count(self, call: Call, outcome: Outcome) -> None:
        requests = self._metrics.requests
        # A name that no document is known to hold is the caller's free
        # choice, and would fill the memory as a label.
        known = getattr(outcome, 'cause', None) not in UNKNOWN_NAMES
        service = call.service if known else ''
        requests.requests.labels(service, name_outcome(outcome)).inc()
        if isinstance(outcome, NotRun):
            requests.refused.labels(outcome.cause.value).inc()


def name_outcome(outcome: Outcome) -> str:
    """Name an outcome for metrics, spans and callers.

    :param outcome: how a request ended.
    :returns: one of five words.
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


def _name_fault(error: HttpError) -> Cause | None:
    match error:
        case BadMessage():
            return Cause.bad_request
        case TooSlow():
            return Cause.too_slow
        case _:
            return None


def _judge_planless(call: Call, refusal: NotRun) -> Outcome:
    # An entry that has no documents yet cannot ask the key's home whether an
    # earlier sending ran.
    if call.key and refusal.cause is Cause.not_ready:
        return Unknown(refusal.cause, refusal.retry_after)
    return refusal


def _make_headers(call: Call, span: OpenSpan) -> Headers:
    return (
        (b'ospreyford-outcome', b'answered'),
        (b'ospreyford-request-id', call.request_id.encode()),
        *span.to_headers(),
    )


async def _tell(
    exchange: Exchange,
    outcome: NotRun | Unknown,
    request_id: str,
) -> None:
    problem = make_problem(outcome, request_id)
    try:
        await exchange.respond(problem.status, problem.body, problem.headers)
    except ConnectionLost:
        return
