"""Serves callers: one task for each connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
from ospreyford.http.errors import BodyTooLarge, ConnectionLost, TooSlow
from ospreyford.limits.limit import Refused
from ospreyford.wire.identity import make_id

if TYPE_CHECKING:
    from ospreyford.entry.admission import Admission
    from ospreyford.entry.call import Call, Directory, Plan
    from ospreyford.entry.dispatcher import Dispatcher
    from ospreyford.http.server import Exchange
    from ospreyford.limits.gate import LimitGate
    from ospreyford.ports.clock import Clock


class EntryService:
    """Admits requests, has them dispatched and tells their outcome.

    :param admission: checks requests.
    :param directory: what the published documents say.
    :param gate: the customers' limits.
    :param dispatcher: sends calls to back ends.
    :param clock: source of time.
    """

    def __init__(
        self,
        admission: Admission,
        directory: Directory,
        gate: LimitGate,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        self.in_flight = 0
        self._admission = admission
        self._directory = directory
        self._gate = gate
        self._dispatcher = dispatcher
        self._clock = clock

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request.

        :param exchange: the caller's request.
        """
        self.in_flight += 1
        try:
            await self._admit(exchange)
        finally:
            self.in_flight -= 1

    async def _admit(self, exchange: Exchange) -> None:
        try:
            body = await exchange.read_body()
            call = self._admission.read_call(exchange.request, body)
        except BodyTooLarge:
            await _tell(exchange, NotRun(Cause.body_too_large, 0), make_id())
        except TooSlow:
            await _tell(exchange, NotRun(Cause.too_slow, 0), make_id())
        except BadCall as error:
            await _tell(exchange, NotRun(error.cause, 0), make_id())
        else:
            await self._answer(exchange, call)

    async def _answer(self, exchange: Exchange, call: Call) -> None:
        sink = CallerSink(exchange, _make_headers(call))
        outcome = await self._settle(call, sink)
        match outcome:
            case NotRun() | Unknown():
                await _tell(exchange, outcome, call.request_id)
            case Answered() | Cut() | Abandoned():
                # An answer that broke off has no end mark: the connection is
                # closed under it, and the caller sees that it was cut.
                return

    async def _settle(self, call: Call, sink: CallerSink) -> Outcome:
        plan = self._directory.find_plan(call.customer, call.service)
        if isinstance(plan, NotRun):
            return _judge_planless(call, plan)
        now = self._clock.monotonic()
        verdict = self._gate.admit(call.customer, plan.limit, call.tokens, now)
        if isinstance(verdict, Refused):
            refusal = NotRun(Cause.limited, verdict.retry_after)
            return await self._dispatcher.look_up(call, plan, sink, refusal)
        return await self._dispatch(call, plan, sink)

    async def _dispatch(
        self,
        call: Call,
        plan: Plan,
        sink: CallerSink,
    ) -> Outcome:
        try:
            return await self._dispatcher.dispatch(call, plan, sink)
        finally:
            self._release(call)

    def _release(self, call: Call) -> None:
        now = self._clock.monotonic()
        self._gate.release(call.customer, call.tokens, call.tokens, now)


def _judge_planless(call: Call, refusal: NotRun) -> Outcome:
    # An entry that has no documents yet cannot ask the key's home whether an
    # earlier sending ran.
    if call.key and refusal.cause is Cause.not_ready:
        return Unknown(refusal.cause, refusal.retry_after)
    return refusal


def _make_headers(call: Call) -> tuple[tuple[bytes, bytes], ...]:
    return (
        (b'ospreyford-outcome', b'answered'),
        (b'ospreyford-request-id', call.request_id.encode()),
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
