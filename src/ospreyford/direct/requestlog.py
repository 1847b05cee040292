"""Log lines and metrics of finished requests."""

from __future__ import annotations

import time
from dataclasses import asdict
from typing import TYPE_CHECKING, Final

from ospreyford.direct.decisions import RequestDenied, RequestEnded
from ospreyford.direct.headers import read_text
from ospreyford.direct.verdicts import Denied

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.verdicts import NotRun, Verdict
    from ospreyford.http.server import Exchange

UNAVAILABLE: Final = 503
MILLISECONDS = 1000


class RequestLog:
    """Logs how each request ended.

    :param context: shared state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def log_denial(self, exchange: Exchange, verdict: Denied | NotRun) -> None:
        """Log a request that is answered without being sent.

        :param exchange: the request.
        :param verdict: the response.
        """
        context = self._context
        headers = exchange.request.headers
        status = verdict.status if isinstance(verdict, Denied) else UNAVAILABLE
        context.log.log_change(
            RequestDenied(
                request_id=read_text(headers, context.header_names.request_id)
                or '',
                asked_host=read_text(headers, b'host') or '',
                path=exchange.request.target,
                cause=verdict.cause.value,
                status=status,
                version=context.catalog.version if context.catalog else -1,
                age_ms=context.compute_state_age_ms(),
            )
        )

    def log_end(self, call: Call, verdict: Verdict, age_ms: int) -> None:
        """Count and log a finished request.

        :param call: the request.
        :param verdict: the outcome.
        :param age_ms: age of the catalog when it was read, in milliseconds.
        """
        catalog = self._context.catalog
        duration = time.monotonic() - call.started_at
        metrics = self._context.metrics
        metrics.requests.labels(call.service, type(verdict).__name__).inc()
        metrics.latency.labels(call.service).observe(duration)
        for attempt in call.attempts:
            metrics.attempts.labels(call.service, attempt.outcome).inc()
        self._context.log.log_change(
            RequestEnded(
                request_id=call.id,
                customer=call.customer.name if call.customer else '',
                route=call.route.name,
                service=call.service,
                version=catalog.version if catalog else -1,
                age_ms=age_ms,
                attempts=[one.describe() for one in call.attempts],
                verdict=type(verdict).__name__,
                detail=asdict(verdict),
                given_ms=compute_elapsed_ms(call.started_at, call.deadline),
                took_ms=int(duration * MILLISECONDS),
                waited_ms=compute_elapsed_ms(call.started_at, call.admitted_at),
                first_event_ms=compute_elapsed_ms(
                    call.started_at, call.first_event_at
                ),
                longest_gap_ms=int(call.longest_gap * MILLISECONDS),
                gate=call.gate._asdict() if call.gate else {},
                connection=call.origin._asdict() if call.origin else {},
            )
        )


def compute_elapsed_ms(started_at: float, ended_at: float | None) -> int:
    """Compute the time between two events.

    :param started_at: seconds on the monotonic clock.
    :param ended_at: the same, or ``None`` if it has not happened.
    :returns: milliseconds, or -1.
    """
    return (
        -1 if ended_at is None else int((ended_at - started_at) * MILLISECONDS)
    )
