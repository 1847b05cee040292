"""What an entry does with each request of a caller."""

from __future__ import annotations

import time
from dataclasses import asdict
from typing import TYPE_CHECKING, Final
from urllib.parse import urlsplit

import curio

from ospreyford.direct.call import Call
from ospreyford.direct.catalog import find_route
from ospreyford.direct.choosing import choose_service
from ospreyford.direct.decisions import RequestDenied, RequestEnded
from ospreyford.direct.messages import (
    CONTENT_TYPE,
    make_problem,
    make_retry_header,
)
from ospreyford.direct.relay import Relay
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
    from ospreyford.direct.world import World
    from ospreyford.http.message import Request
    from ospreyford.http.server import Exchange

UNAUTHORIZED: Final = 401
NOT_FOUND: Final = 404
UNAVAILABLE: Final = 503
MILLISECONDS = 1000
#: Time that a request without a deadline has, in seconds; its route's timeout
#: is nearly always shorter.
DEFAULT_SECONDS = 30.0
#: When to come back to a process that knows no configuration yet, in seconds:
#: a little longer than it takes to read one.
LEARNING_SECONDS = 0.5
#: When to come back where only this entry cannot serve, in seconds: retries
#: reach other entries. After half a second a stream is late there, too.
ELSEWHERE_SECONDS = 0.05


class RequestHandler:
    """Serves requests one at a time for each connection.

    :param world: what the entry knows and uses.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        # By identity: nothing else is sure to differ between two requests.
        self._under_way: dict[int, Call] = {}

    async def serve(self, exchange: Exchange) -> None:
        """Serve a request.

        :param exchange: the request and the way back to its caller.
        """
        body = await exchange.read_body()
        await self._world.wait_until_known()
        admitted = self._admit(exchange.request)
        if not isinstance(admitted, Call):
            await self._answer(exchange, admitted, self._read_id(exchange))
            self._log_denial(exchange, admitted)
            return
        admitted.body = body
        admitted.origin = exchange.origin
        self._world.budget.count_request(admitted.service, admitted.started_at)
        age_ms = self._world.tell_age_ms()
        self._under_way[id(admitted)] = admitted
        try:
            verdict = await self._relay(admitted, exchange)
        finally:
            self._under_way.pop(id(admitted))
        self._log_end(admitted, verdict, age_ms)
        await self._answer(exchange, verdict, admitted.id)

    def log_cut(self) -> None:
        """Log the requests that the end of the process cuts, one line each."""
        age_ms = self._world.tell_age_ms()
        for call in self._under_way.values():
            self._log_end(call, Cut(Cause.stopping, call.cursor), age_ms)

    def _admit(self, request: Request) -> Call | Denied | NotRun:
        catalog = self._world.catalog
        if catalog is None:
            return NotRun(Cause.no_configuration, LEARNING_SECONDS)
        route = self._find_route(catalog, request)
        if route is None:
            return Denied(Cause.no_route, NOT_FOUND)
        customer: Customer | None = None
        if catalog.customers is not None and not route.public:
            if not self._world.knowledge.may_serve_keys():
                return NotRun(Cause.stale_configuration, ELSEWHERE_SECONDS)
            customer = catalog.customers.get(self._read_key(request) or '')
            if customer is None:
                return Denied(Cause.unknown_key, UNAUTHORIZED)
        service = choose_service(route.splits, self._world.random)
        if service is None:
            return NotRun(Cause.no_backend, LEARNING_SECONDS)
        return self._make_call(request, route, service, customer)

    def _find_route(self, catalog: Catalog, request: Request) -> Route | None:
        host = find_header(request.headers, b'host') or b''
        name = host.decode('latin-1').rsplit(':', 1)[0].lower()
        path = urlsplit(request.target).path
        return find_route(catalog, name, path)

    def _make_call(
        self,
        request: Request,
        route: Route,
        service: str,
        customer: Customer | None,
    ) -> Call:
        dialect = self._world.dialect
        now = time.monotonic()
        wanted = read_number(find_header(request.headers, dialect.deadline))
        seconds = DEFAULT_SECONDS if wanted is None else wanted / MILLISECONDS
        request_id = find_header(request.headers, dialect.request_id) or b''
        return Call(
            id=request_id.decode('latin-1'),
            request=request,
            route=route,
            service=service,
            key=self._read_key(request),
            customer=customer,
            started_at=now,
            deadline=now + min(seconds, route.timeout),
            cursor=read_number(
                find_header(request.headers, dialect.last_event)
            ),
        )

    async def _relay(self, call: Call, exchange: Exchange) -> Verdict:
        relay = Relay(call, exchange, self._world)
        group = curio.TaskGroup(wait=any)
        async with group:
            await group.spawn(self._run_relay, relay)
            await group.spawn(_watch_caller, exchange)
        verdict: Verdict = group.result
        return verdict

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
                    make_problem(cause, request_id),
                    (CONTENT_TYPE, *make_retry_header(seconds)),
                )
            case (
                Denied(cause=cause, status=status)
                | Unknown(cause=cause, status=status)
            ):
                await exchange.respond(
                    status, make_problem(cause, request_id), (CONTENT_TYPE,)
                )
            case Cut() | Left():
                # Nothing else may follow on this connection: what was begun
                # must not look like a whole answer.
                raise ConnectionLost

    def _read_id(self, exchange: Exchange) -> str:
        name = self._world.dialect.request_id
        found = find_header(exchange.request.headers, name) or b''
        return found.decode('latin-1')

    def _read_key(self, request: Request) -> str | None:
        key = find_header(request.headers, self._world.dialect.key)
        return None if key is None else key.decode('latin-1')

    def _log_denial(self, exchange: Exchange, verdict: Denied | NotRun) -> None:
        world = self._world
        headers = exchange.request.headers
        status = verdict.status if isinstance(verdict, Denied) else UNAVAILABLE
        host = find_header(headers, b'host') or b''
        world.log.log_change(
            RequestDenied(
                request_id=self._read_id(exchange),
                asked_host=host.decode('latin-1'),
                path=exchange.request.target,
                cause=verdict.cause.value,
                status=status,
                version=world.catalog.version if world.catalog else -1,
                age_ms=world.tell_age_ms(),
            )
        )

    def _log_end(self, call: Call, verdict: Verdict, age_ms: int) -> None:
        catalog = self._world.catalog
        took = time.monotonic() - call.started_at
        metrics = self._world.metrics
        metrics.requests.labels(call.service, type(verdict).__name__).inc()
        metrics.seconds.labels(call.service).observe(took)
        for attempt in call.attempts:
            metrics.sendings.labels(call.service, attempt.outcome).inc()
        self._world.log.log_change(
            RequestEnded(
                request_id=call.id,
                customer=call.customer.name if call.customer else '',
                route=call.route.name,
                service=call.service,
                version=catalog.version if catalog else -1,
                age_ms=age_ms,
                attempts=[
                    f'{one.backend} {one.at} {one.outcome}'
                    for one in call.attempts
                ],
                verdict=type(verdict).__name__,
                detail=asdict(verdict),
                took_ms=int(took * MILLISECONDS),
                waited_ms=tell_ms(call.started_at, call.admitted_at),
                first_event_ms=tell_ms(call.started_at, call.first_event_at),
                longest_gap_ms=int(call.longest_gap * MILLISECONDS),
                gate=call.gate._asdict() if call.gate else {},
                connection=call.origin._asdict() if call.origin else {},
            )
        )


async def _watch_caller(exchange: Exchange) -> Verdict:
    await exchange.wait_for_hangup()
    return Left()


def tell_ms(began: float, ended: float | None) -> int:
    """Tell the time between two moments.

    :param began: seconds on the monotonic clock.
    :param ended: the same, or ``None`` if it never came.
    :returns: milliseconds, or -1.
    """
    return -1 if ended is None else int((ended - began) * MILLISECONDS)


def read_number(text: bytes | None) -> int | None:
    """Read a whole number of a header field.

    :param text: the raw value.
    :returns: the number, or ``None`` if there is none.
    """
    if text is None or not text.strip().isdigit():
        return None
    return int(text)
