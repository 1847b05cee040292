"""Sending of a request to backends and forwarding of the response."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.direct.attempts import BackendAttempt
from ospreyford.direct.backendselector import (
    MAX_ATTEMPTS,
    BackendSelector,
    OtherGroup,
    Unavailable,
)
from ospreyford.direct.closedgroups import is_known_closed
from ospreyford.direct.gates import find_gate
from ospreyford.direct.headers import drop_hop_by_hop
from ospreyford.direct.migration import StreamMigrator
from ospreyford.direct.streamrelay import StreamRelay
from ospreyford.direct.takeover import StreamTakeover
from ospreyford.direct.verdicts import (
    BLOCKED,
    NOT_RUN_STATUSES,
    Answered,
    AttemptOutcome,
    Cause,
    Cut,
    Lost,
    NotRun,
    Refused,
    Replied,
    Streaming,
    Unknown,
    Verdict,
    Withheld,
)

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.direct.gate import StreamGate
    from ospreyford.direct.registry import BackendState
    from ospreyford.http.message import Response
    from ospreyford.http.server import Exchange

BAD_GATEWAY: Final = 502
GATEWAY_TIMEOUT: Final = 504
SERVER_ERROR: Final = 500
#: Retry time where nothing better is known.
DEFAULT_RETRY_AFTER_SECONDS = 0.3


class Relay:
    """Sends one request until it has a final outcome.

    :param call: the request.
    :param exchange: the caller's request and response channel.
    :param context: shared state of the entry.
    """

    def __init__(
        self, call: Call, exchange: Exchange, context: EntryContext
    ) -> None:
        self._call = call
        self._exchange = exchange
        self._context = context
        self._suspects = context.suspects
        self._gate = find_gate(context, call)
        self._cause = Cause.no_backend
        self._retry_after: float | None = None
        self._migrator = StreamMigrator(call, context, MAX_ATTEMPTS)
        self._selector = BackendSelector(
            call, context, self._migrator, in_group=self._gate is not None
        )
        self._streams = StreamRelay(
            call,
            exchange,
            context,
            StreamTakeover(call, context, self._selector),
            self._migrator,
            in_group=self._gate is not None,
        )

    async def run(self) -> Verdict:
        """Relay the request within its deadline.

        :returns: the outcome; a backend's response has been forwarded.
        """
        remaining = self._call.compute_remaining(time.monotonic())
        try:
            verdict: Verdict = await curio.timeout_after(
                remaining, self._send_until_final
            )
        except curio.TaskTimeout:
            return self._make_failure(Cause.out_of_time, GATEWAY_TIMEOUT)
        return verdict

    def abandon(self, retry_after: float) -> Verdict:
        """Determine the outcome if this process stops working on the request.

        :param retry_after: retry time in seconds if it has not run.
        :returns: the outcome.
        """
        match self._make_failure(Cause.stopping, BAD_GATEWAY):
            case NotRun(cause=cause):
                return NotRun(cause, retry_after)
            case verdict:
                return verdict

    async def _send_until_final(self) -> Verdict:
        verdict: Verdict | None = None
        while verdict is None:
            if self._gate is None:
                verdict = await self._send_with_retries()
            else:
                verdict = await self._send_through_gate(self._gate)
        return verdict

    async def _send_through_gate(self, gate: StreamGate) -> Verdict | None:
        unavailable = self._selector.find_unavailable()
        if unavailable is not None:
            return self._handle_unavailable(unavailable)
        if not await gate.acquire(
            self._call, self._selector.groups.list_allowed()
        ):
            if self._suspects.is_blocked(self._call):
                return self._make_failure(Cause.crashes_backends, BAD_GATEWAY)
            unavailable = self._selector.find_unavailable()
            return self._handle_unavailable(
                unavailable or Unavailable(Cause.overloaded)
            )
        self._call.admitted_at = time.monotonic()
        try:
            return await self._send_with_retries()
        finally:
            await gate.release(self._call)

    async def _send_with_retries(self) -> Verdict | None:
        """Send until the request has an outcome or its group is closed.

        :returns: the outcome, or ``None`` to wait for admission again.
        """
        verdict: Verdict | None = None
        while verdict is None:
            selected = await self._selector.select()
            if isinstance(selected, Unavailable):
                return self._handle_unavailable(selected)
            if isinstance(selected, OtherGroup):
                return None
            verdict = await self._attempt(selected)
            if verdict is None and self._gate is not None:
                if is_known_closed(self._call, self._gate.rooms):
                    break
        return verdict

    def _handle_unavailable(self, unavailable: Unavailable) -> Verdict:
        self._cause = unavailable.cause or self._cause
        self._retry_after = unavailable.retry_after
        return self._make_failure(self._cause, BAD_GATEWAY)

    async def _attempt(self, backend: BackendState) -> Verdict | None:
        attempt = BackendAttempt(self._call, backend, self._context)
        async with aclosing(attempt):
            return await self._handle_outcome(await attempt.start(), attempt)

    async def _handle_outcome(
        self, outcome: AttemptOutcome, attempt: BackendAttempt
    ) -> Verdict | None:
        match outcome:
            case Refused(head=head):
                self._cause = attempt.record_refusal(head)
                return None
            case Withheld():
                attempt.record.is_connected = False
                self._cause = Cause.backoff
                return None
            case Lost(cause=cause):
                return await self._handle_loss(cause, attempt.backend)
            case Replied(head=head, body=body):
                return await self._forward_response(head, body, attempt.backend)
            case Streaming(head=head):
                return await self._forward_stream(head, attempt)

    async def _handle_loss(
        self, cause: Cause, backend: BackendState
    ) -> Verdict | None:
        backend.record_failure(time.monotonic())
        self._call.may_have_run = True
        self._cause = cause
        await self._suspects.record_loss(
            self._call, backend, in_group=self._gate is not None
        )
        if self._call.is_retryable():
            return None
        return self._make_failure(cause, BAD_GATEWAY)

    async def _forward_response(
        self, head: Response, body: bytes, backend: BackendState
    ) -> Verdict | None:
        call = self._call
        # A backend marks what it has not run; its status alone says nothing.
        is_unmarked = head.status in NOT_RUN_STATUSES
        if is_unmarked or head.status >= SERVER_ERROR:
            backend.record_failure(time.monotonic())
            call.may_have_run = True
            self._cause = Cause.unmarked if is_unmarked else Cause.refused
            if call.is_retryable() and call.has_attempts_left():
                return None
            if is_unmarked:
                return self._make_failure(Cause.unmarked, BAD_GATEWAY)
        else:
            backend.record_success()
            self._suspects.record_answer(call)
        await self._exchange.respond(
            head.status, body, tuple(drop_hop_by_hop(head.headers))
        )
        return Answered(head.status)

    async def _forward_stream(
        self, head: Response, attempt: BackendAttempt
    ) -> Verdict | None:
        self._call.may_have_run = True
        if await self._streams.forward(head, attempt):
            return Answered(head.status)
        self._cause = Cause.lost
        if self._call.is_retryable():
            return None
        return self._make_failure(Cause.lost, BAD_GATEWAY)

    def _make_failure(self, cause: Cause, status: int) -> Verdict:
        if self._exchange.started:
            return Cut(cause, self._call.cursor)
        if cause is Cause.crashes_backends:
            return BLOCKED
        if self._call.may_have_run or self._call.is_in_flight():
            return Unknown(cause, status)
        if self._retry_after is not None:
            return NotRun(cause, self._retry_after)
        if self._gate is None:
            return NotRun(cause, DEFAULT_RETRY_AFTER_SECONDS)
        return NotRun(cause, self._gate.compute_retry_after())
