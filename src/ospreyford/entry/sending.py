"""Makes attempts and counts them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from ospreyford.entry.attempt import Attempt
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
from ospreyford.entry.race import Lane
from ospreyford.entry.target import Sending
from ospreyford.routing.query import Attempt as AttemptKind
from ospreyford.routing.query import Outcome as RoutingOutcome
from ospreyford.wire.frame import Start
from ospreyford.wire.identity import make_id

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Plan
    from ospreyford.entry.settings import AttemptSettings
    from ospreyford.entry.sink import Sink
    from ospreyford.entry.waiting import WaitingRoom
    from ospreyford.http.message import Headers
    from ospreyford.observability.metrics import RequestMetrics
    from ospreyford.ports.clock import Clock
    from ospreyford.routing.router import Router
    from ospreyford.wire.pool import ConnectionPool

MILLISECONDS = 1000


class Wiring(NamedTuple):
    """What every attempt needs."""

    times: AttemptSettings
    router: Router
    pool: ConnectionPool
    clock: Clock
    metrics: RequestMetrics
    room: WaitingRoom


class Sender:
    """Makes one attempt after the other and tells the router of each.

    :param wiring: what an attempt needs.
    """

    def __init__(self, wiring: Wiring) -> None:
        self._wiring = wiring
        self._router = wiring.router
        self._clock = wiring.clock

    async def send(
        self,
        call: Call,
        sending: Sending,
        sink: Sink,
    ) -> AttemptOutcome:
        """Make an attempt.

        :param call: the admitted call.
        :param sending: where it goes, and why.
        :param sink: where the answer goes.
        :returns: how it ended.
        """
        name = sending.host.name
        began = self._clock.monotonic()
        call.servers.append(name)
        self._count(call, sending)
        self._router.record_sent(name, began, sending.kind, sending.allowance)
        attempt = self.make_attempt(call, sending, sink)
        routed = RoutingOutcome.cancelled
        try:
            outcome = await attempt.run(sending.host)
            routed = _rate(outcome)
        finally:
            first_at = attempt.answer.first_at
            self._note_finished(name, _overrule(routed, sink), began, first_at)
        await self._wiring.room.call_next()
        if attempt.answer.load is not None:
            now = self._clock.monotonic()
            self._router.record_load(name, attempt.answer.load, now)
        if isinstance(outcome, Unknown):
            self._wiring.metrics.unknowns.labels(call.service).inc()
        return outcome

    def make_attempt(
        self,
        call: Call,
        sending: Sending,
        sink: Sink,
    ) -> Attempt:
        """Prepare an attempt.

        :param call: the admitted call.
        :param sending: where it goes, and why.
        :param sink: where the answer goes.
        :returns: the attempt, nothing sent yet.
        """
        left = call.deadline - self._clock.monotonic()
        expires = self._clock.wall() + max(left, 0)
        start = Start(
            execution=sending.execution,
            attempt=make_id(),
            idempotent=call.idempotent,
            fresh=not call.key,
            dated=sending.dated,
            expires=int(expires * MILLISECONDS),
            fingerprint=_fingerprint(call),
            method=call.method,
            target=call.target,
            headers=call.headers + sending.headers,
            body=call.body,
        )
        return Attempt(
            self._wiring.times,
            self._wiring.pool,
            self._clock,
            start,
            sink,
            call.deadline,
        )

    def _count(self, call: Call, sending: Sending) -> None:
        match sending.kind:
            case AttemptKind.retry:
                self._wiring.metrics.retries.labels(call.service).inc()
            case AttemptKind.hedge:
                self._wiring.metrics.hedges.labels(call.service).inc()

    def _note_finished(
        self,
        name: str,
        routed: RoutingOutcome,
        began: float,
        first_at: float | None,
    ) -> None:
        now = self._clock.monotonic()
        # A long answer is not a slow back end: time to its first part counts.
        latency = (first_at or now) - began
        self._router.record_finished(name, routed, latency, now)


def make_headers(plan: Plan) -> Headers:
    """Make the header fields that follow from the plan.

    :param plan: what the documents say.
    :returns: priority, model version and adapter for the engine.
    """
    fields = [(b'x-priority', str(plan.engine_priority).encode())]
    if plan.version:
        fields.append((b'x-model-version', plan.version.encode()))
    if plan.adapter:
        fields.append((b'x-adapter', plan.adapter.encode()))
    return tuple(fields)


def settle_outcome(outcome: AttemptOutcome, least: float) -> Outcome:
    """Turn an attempt's end into a request's.

    :param outcome: how the attempt ended.
    :param least: seconds until one may come again at the earliest.
    :returns: how the request ended.
    """
    match outcome:
        case Moved():
            return Unknown(Cause.voided, least)
        case NotRun(cause=cause, retry_after=wait):
            return NotRun(cause, max(wait, least))
        case Unknown(cause=cause, retry_after=wait):
            return Unknown(cause, max(wait, least))
        case _:
            return outcome


def _fingerprint(call: Call) -> int:
    head = f'{call.method} {call.target}\n'
    return xxhash.xxh3_64_intdigest(head.encode() + call.body)


def _overrule(routed: RoutingOutcome, sink: Sink) -> RoutingOutcome:
    if isinstance(sink, Lane) and sink.is_outrun():
        return RoutingOutcome.outrun
    return routed


def _rate(outcome: AttemptOutcome) -> RoutingOutcome:
    match outcome:
        case NotRun(cause=Cause.unreachable | Cause.backend_refused):
            return RoutingOutcome.failed
        case NotRun() | Moved() | Abandoned():
            return RoutingOutcome.cancelled
        case Unknown() | Cut():
            return RoutingOutcome.failed
        case Answered():
            return RoutingOutcome.answered
