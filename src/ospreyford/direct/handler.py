"""What an entry does with each request of a caller."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final
from urllib.parse import urlsplit

import curio

from ospreyford.direct.call import Call
from ospreyford.direct.catalog import find_route
from ospreyford.direct.headers import read_text
from ospreyford.direct.messages import (
    CONTENT_TYPE,
    encode_problem,
    format_retry_after,
)
from ospreyford.direct.relay import Relay
from ospreyford.direct.requestlog import RequestLog
from ospreyford.direct.selection import select_service
from ospreyford.direct.verdicts import (
    Cause,
    Cut,
    Denied,
    Left,
    NotRun,
    Unknown,
    Verdict,
)
from ospreyford.http.errors import ConnectionLost
from ospreyford.http.message import find_header

if TYPE_CHECKING:
    from ospreyford.direct.catalog import Catalog, Customer, Route
    from ospreyford.direct.context import EntryContext
    from ospreyford.http.message import Request
    from ospreyford.http.server import Exchange

UNAUTHORIZED: Final = 401
NOT_FOUND: Final = 404
UNAVAILABLE: Final = 503
MILLISECONDS = 1000
#: Digits of a number in a header field at most; milliseconds need ten.
MAX_DIGITS = 15
#: Time that a request without a deadline has, in seconds; its route's timeout
#: is nearly always shorter.
DEFAULT_DEADLINE_SECONDS = 30.0
#: When to come back to a process that knows no configuration yet, in seconds:
#: a little longer than it takes to read one.
STARTUP_RETRY_AFTER_SECONDS = 0.5
#: When to come back where only this entry cannot serve, in seconds: retries
#: reach other entries. After half a second a stream is late there, too.
OTHER_ENTRY_RETRY_AFTER_SECONDS = 0.05


class RequestHandler:
    """Serves requests one at a time for each connection.

    :param world: what the entry knows and uses.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._log = RequestLog(context)
        self._shutdown = curio.Event()

    async def serve(self, exchange: Exchange) -> None:
        """Serve a request.

        :param exchange: the request and the way back to its caller.
        """
        body = await exchange.read_body()
        await self._context.wait_until_configured()
        admitted = self._admit(exchange)
        if not isinstance(admitted, Call):
            name = self._context.header_names.request_id
            request_id = read_text(exchange.request.headers, name) or ''
            await self._answer(exchange, admitted, request_id)
            self._log.log_denial(exchange, admitted)
            return
        admitted.body = body
        admitted.origin = exchange.origin
        self._context.budget.record_request(
            admitted.service, admitted.started_at
        )
        age_ms = self._context.compute_state_age_ms()
        verdict = await self._relay(admitted, exchange)
        self._log.log_end(admitted, verdict, age_ms)
        await self._answer(exchange, verdict, admitted.id)

    async def finish_all(self) -> None:
        """Give each request in flight the last answer that can be given.

        What goes wrong without it: the end of the process closes connections
        on which no answer has begun, and nobody tells the callers whether
        their requests have run, and where to turn.
        """
        # The places of streams that are cut here are for nobody.
        for gate in self._context.gates.values():
            gate.stop_admitting()
        await self._shutdown.set()

    def _admit(self, exchange: Exchange) -> Call | Denied | NotRun:
        if exchange.is_too_late() or self._shutdown.is_set():
            return NotRun(Cause.stopping, OTHER_ENTRY_RETRY_AFTER_SECONDS)
        return self._authorize(exchange.request)

    def _authorize(self, request: Request) -> Call | Denied | NotRun:
        catalog = self._context.catalog
        if catalog is None:
            return NotRun(Cause.no_configuration, STARTUP_RETRY_AFTER_SECONDS)
        route = self._find_route(catalog, request)
        if route is None:
            return Denied(Cause.no_route, NOT_FOUND)
        customer: Customer | None = None
        if catalog.customers is not None and not route.public:
            if not self._context.freshness.may_serve_keys():
                return NotRun(
                    Cause.stale_configuration, OTHER_ENTRY_RETRY_AFTER_SECONDS
                )
            customer = catalog.customers.get(self._read_key(request) or '')
            if customer is None:
                return Denied(Cause.unknown_key, UNAUTHORIZED)
        service = select_service(route.splits, self._context.random)
        if service is None:
            return NotRun(Cause.no_backend, STARTUP_RETRY_AFTER_SECONDS)
        return self._make_call(request, route, service, customer)

    def _find_route(self, catalog: Catalog, request: Request) -> Route | None:
        host = read_text(request.headers, b'host') or ''
        name = host.rsplit(':', 1)[0].lower()
        path = urlsplit(request.target).path
        return find_route(catalog, name, path)

    def _make_call(
        self,
        request: Request,
        route: Route,
        service: str,
        customer: Customer | None,
    ) -> Call:
        header_names = self._context.header_names
        now = time.monotonic()
        deadline_ms = parse_number(
            find_header(request.headers, header_names.deadline)
        )
        seconds = (
            DEFAULT_DEADLINE_SECONDS
            if deadline_ms is None
            else deadline_ms / MILLISECONDS
        )
        timeout = min(seconds, route.timeout)
        cursor = parse_number(
            find_header(request.headers, header_names.last_event)
        )
        name = customer.name if customer else ''
        is_retry = False
        # What is given to all that do not say says nothing of a caller.
        if deadline_ms is not None:
            is_retry = self._context.retry_detector.record_request(
                route.name, name, timeout
            )
        return Call(
            id=read_text(request.headers, header_names.request_id) or '',
            request=request,
            route=route,
            service=service,
            key=self._read_key(request),
            customer=customer,
            started_at=now,
            deadline=now + timeout,
            cursor=cursor,
            # Who has a part of the answer was not turned away.
            is_retry=is_retry and not cursor,
        )

    def _read_key(self, request: Request) -> str | None:
        return read_text(request.headers, self._context.header_names.key)

    async def _relay(self, call: Call, exchange: Exchange) -> Verdict:
        relay = Relay(call, exchange, self._context)
        group = curio.TaskGroup(wait=any)
        async with group:
            running = await group.spawn(self._run_relay, relay)
            await group.spawn(_watch_caller, exchange)
            await group.spawn(self._shutdown.wait)
        # Judged only now that nothing of it is under way any more: until then
        # it may be sent, or answered, against what was settled.
        if running.exception is None:
            verdict: Verdict = running.result
            return verdict
        final: Verdict | None = group.result
        return final or relay.abandon(OTHER_ENTRY_RETRY_AFTER_SECONDS)

    async def _run_relay(self, relay: Relay) -> Verdict:
        try:
            return await relay.run()
        except ConnectionLost:
            return Left()

    async def _answer(
        self, exchange: Exchange, verdict: Verdict, request_id: str
    ) -> None:
        match verdict:
            case NotRun(cause=cause, retry_after=seconds):
                await exchange.respond(
                    UNAVAILABLE,
                    encode_problem(cause, request_id),
                    (CONTENT_TYPE, *format_retry_after(seconds)),
                )
            case (
                Denied(cause=cause, status=status)
                | Unknown(cause=cause, status=status)
            ):
                await exchange.respond(
                    status, encode_problem(cause, request_id), (CONTENT_TYPE,)
                )
            case Cut() | Left():
                # Nothing else may follow on this connection: what was begun
                # must not look like a whole answer.
                raise ConnectionLost


async def _watch_caller(exchange: Exchange) -> Verdict:
    await exchange.wait_for_hangup()
    return Left()


def parse_number(text: bytes | None) -> int | None:
    """Read a whole number of a header field.

    :param text: the raw value.
    :returns: the number, or ``None`` if there is none.
    """
    digits = b'' if text is None else text.strip()
    # As a part of a second, more of them would be no number any more.
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
