"""Runs attempts and reports them to the router and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from ospreyford.entry.attempt import Attempt
from ospreyford.entry.attemptspec import AttemptSpec
from ospreyford.entry.outcome import (
    Abandoned,
    Answered,
    AttemptOutcome,
    Cause,
    Cut,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from ospreyford.entry.race import RacingAttempt
from ospreyford.routing.query import Attempt as AttemptKind
from ospreyford.routing.query import Outcome as RoutingOutcome
from ospreyford.wire.frame import Start
from ospreyford.wire.ids import create_id

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Plan
    from ospreyford.entry.requestqueue import RequestQueue
    from ospreyford.entry.settings import AttemptSettings
    from ospreyford.entry.sink import Sink
    from ospreyford.http.message import Headers
    from ospreyford.observability.metrics import RequestMetrics
    from ospreyford.ports.clock import Clock
    from ospreyford.routing.router import Router
    from ospreyford.wire.pool import ConnectionPool

MILLISECONDS_PER_SECOND = 1000


class AttemptDependencies(NamedTuple):
    """Dependencies shared by all attempts."""

    attempt_settings: AttemptSettings
    router: Router
    pool: ConnectionPool
    clock: Clock
    metrics: RequestMetrics
    queue: RequestQueue


class Sender:
    """Runs attempts and reports each to the router.

    :param dependencies: shared dependencies of attempts.
    """

    def __init__(self, dependencies: AttemptDependencies) -> None:
        self._dependencies = dependencies
        self._router = dependencies.router
        self._clock = dependencies.clock

    async def send(
        self,
        call: Call,
        spec: AttemptSpec,
        sink: Sink,
    ) -> AttemptOutcome:
        """Run an attempt.

        :param call: the admitted call.
        :param spec: backend and kind of the attempt.
        :param sink: destination of the response.
        :returns: the outcome.
        """
        backend = spec.host.name
        started_at = self._clock.monotonic()
        call.attempted_backends.append(backend)
        self._record_attempt_kind(call, spec)
        self._router.record_sent(
            backend, started_at, spec.attempt_kind, spec.allowance
        )
        attempt = self.make_attempt(call, spec, sink)
        routing_outcome = RoutingOutcome.cancelled
        try:
            outcome = await attempt.run(spec.host)
            routing_outcome = _classify_for_routing(outcome)
        finally:
            head_received_at = attempt.response.head_received_at
            self._record_finished(
                backend,
                _adjust_for_race(routing_outcome, sink),
                started_at,
                head_received_at,
            )
        await self._dependencies.queue.dispatch_heads()
        if attempt.response.load is not None:
            now = self._clock.monotonic()
            self._router.record_load(backend, attempt.response.load, now)
        if isinstance(outcome, Unknown):
            self._dependencies.metrics.unknowns.labels(call.service).inc()
        return outcome

    def make_attempt(
        self,
        call: Call,
        spec: AttemptSpec,
        sink: Sink,
    ) -> Attempt:
        """Create an attempt without sending it.

        :param call: the admitted call.
        :param spec: backend and kind of the attempt.
        :param sink: destination of the response.
        :returns: the attempt.
        """
        remaining_seconds = call.deadline - self._clock.monotonic()
        expires_at = self._clock.wall() + max(remaining_seconds, 0)
        start = Start(
            execution=spec.execution,
            attempt=create_id(),
            idempotent=call.idempotent,
            fresh=not call.key,
            dated=spec.dated,
            expires=int(expires_at * MILLISECONDS_PER_SECOND),
            fingerprint=_compute_fingerprint(call),
            method=call.method,
            target=call.target,
            headers=call.headers + spec.headers,
            body=call.body,
        )
        return Attempt(
            self._dependencies.attempt_settings,
            self._dependencies.pool,
            self._clock,
            start,
            sink,
            call.deadline,
        )

    def _record_attempt_kind(self, call: Call, spec: AttemptSpec) -> None:
        match spec.attempt_kind:
            case AttemptKind.retry:
                self._dependencies.metrics.retries.labels(call.service).inc()
            case AttemptKind.hedge:
                self._dependencies.metrics.hedges.labels(call.service).inc()

    def _record_finished(
        self,
        backend: str,
        outcome: RoutingOutcome,
        started_at: float,
        head_received_at: float | None,
    ) -> None:
        now = self._clock.monotonic()
        # Time to the response head, since response lengths vary.
        latency = (head_received_at or now) - started_at
        self._router.record_finished(backend, outcome, latency, now)


def make_engine_headers(plan: Plan) -> Headers:
    """Make the engine's header fields.

    :param plan: plan of the call.
    :returns: fields for priority, model version and adapter.
    """
    fields = [(b'x-priority', str(plan.engine_priority).encode())]
    if plan.version:
        fields.append((b'x-model-version', plan.version.encode()))
    if plan.adapter:
        fields.append((b'x-adapter', plan.adapter.encode()))
    return tuple(fields)


def finalize_outcome(
    outcome: AttemptOutcome, min_retry_after: float
) -> Outcome:
    """Convert an attempt's outcome into a request's.

    :param outcome: outcome of the attempt.
    :param min_retry_after: lower bound of ``retry_after``, in seconds.
    :returns: outcome of the request.
    """
    match outcome:
        case Moved():
            return Unknown(Cause.voided, min_retry_after)
        case NotRun(cause=cause, retry_after=wait):
            return NotRun(cause, max(wait, min_retry_after))
        case Unknown(cause=cause, retry_after=wait):
            return Unknown(cause, max(wait, min_retry_after))
        case _:
            return outcome


def _compute_fingerprint(call: Call) -> int:
    head = f'{call.method} {call.target}\n'
    return xxhash.xxh3_64_intdigest(head.encode() + call.body)


def _adjust_for_race(outcome: RoutingOutcome, sink: Sink) -> RoutingOutcome:
    if isinstance(sink, RacingAttempt) and sink.lost_to_later():
        return RoutingOutcome.outrun
    return outcome


def _classify_for_routing(outcome: AttemptOutcome) -> RoutingOutcome:
    match outcome:
        case NotRun(cause=Cause.unreachable | Cause.backend_refused):
            return RoutingOutcome.failed
        case NotRun() | Moved() | Abandoned():
            return RoutingOutcome.cancelled
        case Unknown() | Cut():
            return RoutingOutcome.failed
        case Answered():
            return RoutingOutcome.answered
