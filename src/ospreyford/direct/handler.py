"""Handling of callers' requests: routing, authorization and responses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final
from urllib.parse import urlsplit

import curio

from ospreyford.direct.call import Call
from ospreyford.direct.catalog import find_route
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.headers import read_text
from ospreyford.direct.messages import (
    CONTENT_TYPE,
    encode_problem,
    format_retry_after,
)
from ospreyford.direct.relay import Relay
from ospreyford.direct.requestlog import RequestLog
from ospreyford.direct.selection import select_service
from ospreyford.direct.startup import wait_until_prepared
from ospreyford.direct.verdicts import (
    BLOCKED,
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
#: Maximum number of digits of a numeric header field.
MAX_DIGITS = 15
#: Deadline of requests that set none; the route's timeout is usually shorter.
DEFAULT_DEADLINE_SECONDS = 30.0
#: Retry time before the configuration is loaded; a little longer than loading.
STARTUP_RETRY_AFTER_SECONDS = 0.5
#: Retry time if only this entry cannot serve: retries reach other entries,
#: where a stream would be late after half a second.
OTHER_ENTRY_RETRY_AFTER_SECONDS = 0.05


class RequestHandler:
    """Handles the requests of each connection in sequence.

    :param context: shared state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._log = RequestLog(context)
        self._shutdown = curio.Event()

    async def serve(self, exchange: Exchange) -> None:
        """Handle a request.

        :param exchange: the request and its response channel.
        """
        body = await exchange.read_body()
        await wait_until_prepared(self._context)
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
        verdict: Verdict
        if self._context.suspects.is_blocked(admitted):
            verdict = BLOCKED
        else:
            verdict = await self._relay(admitted, exchange)
        self._log.log_end(admitted, verdict, age_ms)
        await self._answer(exchange, verdict, admitted.id)

    async def finish_all(self) -> None:
        """Answer all requests in flight before the process ends.

        Otherwise their connections would close without telling callers whether
        the requests have run and when to retry.
        """
        # Slots of cut streams must not go to queued requests.
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
            if not self._context.may_serve_keys():
                return NotRun(
                    Cause.stale_configuration, self._compute_stale_wait()
                )
            customer = catalog.customers.get(self._read_key(request) or '')
            if customer is None:
                return Denied(Cause.unknown_key, UNAUTHORIZED)
        service = select_service(route.splits, self._context.random)
        if service is None:
            return NotRun(Cause.no_backend, STARTUP_RETRY_AFTER_SECONDS)
        return self._make_call(request, route, service, customer)

    def _compute_stale_wait(self) -> float:
        # After a restore of the store all entries wait for the same time.
        wait_seconds = self._context.key_guard.compute_wait(read_boot_clock())
        return max(wait_seconds, OTHER_ENTRY_RETRY_AFTER_SECONDS)

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
        # Default timeouts carry no information about retries.
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
            # A caller resuming a stream was not refused.
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
        # The task group has ended, so nothing can be sent or answered any more.
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
                # Close the connection, so that a partial response does not look
                # complete.
                raise ConnectionLost


async def _watch_caller(exchange: Exchange) -> Verdict:
    await exchange.wait_for_hangup()
    return Left()


def parse_number(text: bytes | None) -> int | None:
    """Parse an integer header field.

    :param text: the raw value.
    :returns: the number, or ``None`` if it is missing or invalid.
    """
    digits = b'' if text is None else text.strip()
    # Longer numbers would overflow when converted to seconds.
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
