"""Scripted backends over real sockets."""

from __future__ import annotations

import itertools
import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import h11

from ospreyford.direct.catalog import (
    Catalog,
    Customer,
    RetryMode,
    Route,
    Service,
    Split,
)
from ospreyford.direct.context import EntryContext
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.gate import StreamGate
from ospreyford.direct.grouproom import GroupRoom
from ospreyford.direct.handler import RequestHandler
from ospreyford.direct.headernames import HeaderNames
from ospreyford.direct.invalidrequests import respond_to_error
from ospreyford.direct.registry import BackendServer
from ospreyford.direct.retryshare import SETTLING_SECONDS
from ospreyford.direct.settings import Bounds, DirectSettings, RetrySettings
from ospreyford.http.client import ClientConnection
from ospreyford.http.message import Headers, Limits, Request, Response
from ospreyford.http.server import (
    Exchange,
    listen,
    port_of,
    serve_connection,
)
from tests.fakes.loopback import next_address

DIALECT = HeaderNames(
    request_id=b'x-id',
    deadline=b'x-deadline',
    key=b'x-key',
    customer=b'x-customer',
    instance=b'x-instance',
    refused=b'x-refused',
    signature=b'x-seal',
    last_event=b'last-event-id',
    limit=b'x-limit',
    leaving=b'x-leaving',
    prompt_parts=b'x-prompt',
)
SETTINGS = DirectSettings(
    name='entry',
    zone='a',
    region='r',
    front=('127.0.0.1', 0),
    ready=('127.0.0.1', 0),
    datagrams=('127.0.0.1', 0),
    metrics_port=0,
    agent_port=0,
    retries=RetrySettings(ratio=0.2, slack=100, window=10),
    bounds=Bounds(2, 8, 5),
)
Script = Callable[[Exchange], Awaitable[None]]


class RecordingLog:
    """Records log events."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def log_change(self, event: Any) -> None:
        self.events.append(event)

    def find(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


@dataclass
class Backend:
    """A backend that records its requests."""

    name: str
    script: Script
    seen: list[Request] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)

    async def serve(self, exchange: Exchange) -> None:
        self.seen.append(exchange.request)
        self.bodies.append(await exchange.read_body())
        await self.script(exchange)


def read_field(headers: Headers, name: bytes) -> bytes:
    return dict(headers).get(name, b'')


def sign(exchange: Exchange) -> Headers:
    sent = read_field(exchange.request.headers, b'x-id')
    return ((b'x-id', sent), (b'x-seal', b's'))


async def answer(exchange: Exchange) -> None:
    await exchange.respond(200, b'whole', sign(exchange))


async def fail(exchange: Exchange) -> None:
    await exchange.respond(500, b'broken', sign(exchange))


async def refuse(exchange: Exchange) -> None:
    await exchange.respond(503, b'', ((b'x-refused', b'1'),))


async def misdirect(exchange: Exchange) -> None:
    await exchange.respond(421, b'', ())


async def never_answer(exchange: Exchange) -> None:
    await curio.sleep(60)


async def hang_up(exchange: Exchange) -> None:
    raise curio.CancelledError


async def answer_another(exchange: Exchange) -> None:
    fields = ((b'x-id', b'another'), (b'x-seal', b's'))
    await exchange.respond(200, b'not yours', fields)


async def answer_unsigned(exchange: Exchange) -> None:
    sent = read_field(exchange.request.headers, b'x-id')
    await exchange.respond(200, b'forged', ((b'x-id', sent),))


async def answer_encoded(exchange: Exchange) -> None:
    fields = (*sign(exchange), (b'content-encoding', b'gzip'))
    await exchange.respond(200, b'packed', fields)


def make_event(number: int) -> bytes:
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def stream(last: int, *, breaks_after: int | None = None) -> Script:
    """Stream events up to ``last``, from the event that the caller has."""

    async def run(exchange: Exchange) -> None:
        text = read_field(exchange.request.headers, b'last-event-id')
        await exchange.start(200, sign(exchange))
        for number in range(int(text or 0) + 1, last + 1):
            if breaks_after is not None and number > breaks_after:
                await exchange.write(make_event(number)[:9])
                raise curio.CancelledError
            await exchange.write(make_event(number))
        await exchange.finish()

    return run


def make_route(retry_mode: RetryMode, **other: Any) -> Route:
    fields = {
        'name': 'route',
        'prefix': '/a/',
        'splits': (Split('service', 1),),
        'retry_mode': retry_mode,
        'streams': False,
        'timeout': 2.0,
        'objective': 0.5,
        'max_gap': 0.0,
        'attempts': 2,
        'priority': 1,
        'public': False,
    }
    return Route(**{**fields, **other})


def make_catalog(route: Route, version: int = 1) -> Catalog:
    return Catalog(
        version=version,
        routes={'host': (route,)},
        services={'service': Service('service', 1000, None)},
        customers={'good-key': Customer('customer', None)},
        limits=Limits(),
    )


@dataclass
class Site:
    """An entry in front of some backends."""

    context: EntryContext
    log: RecordingLog
    backends: list[Backend]
    address: tuple[str, int]

    async def ask(
        self,
        method: str = 'POST',
        headers: Headers = (),
        target: str = '/a/x?y=1',
    ) -> tuple[Response, bytes]:
        """Send a request and read the whole response."""
        connection = await self.send(method, headers, target)
        try:
            head = await connection.read_head()
            return head, await connection.read_body()
        finally:
            await connection.close()

    async def send(
        self,
        method: str = 'POST',
        headers: Headers = (),
        target: str = '/a/x?y=1',
    ) -> ClientConnection:
        """Send a request."""
        connection = await ClientConnection.open(*self.address, 1)
        fields = {
            b'host': b'host',
            b'x-id': b'mine',
            b'x-key': b'good-key',
            b'x-deadline': b'3000',
            **dict(headers),
        }
        request = Request(method, target, tuple(fields.items()))
        await connection.send(request, b'body')
        return connection

    def count_runs(self) -> list[int]:
        return [len(backend.seen) for backend in self.backends]


async def open_site(route: Route, *scripts: Script) -> Site:
    """Open an entry and its backends; they end with the test's kernel."""
    lines = RecordingLog()
    context = EntryContext(SETTINGS, DIALECT, lines)  # type: ignore[arg-type]
    context.catalog = make_catalog(route)
    context.started_at = 0
    _let_run(context)
    context.freshness.confirm(read_boot_clock())
    backends = []
    names = itertools.count()
    for script in scripts:
        backend = Backend(f'b{next(names)}', script)
        backends.append(backend)
        address = await _serve(backend.serve)
        context.backends.put(
            BackendServer(backend.name, 'service', *address, 'a', 6, False, 1)
        )
    address = await _serve(RequestHandler(context).serve)
    return Site(context, lines, backends, address)


def _let_run(context: EntryContext) -> None:
    """Let an entry have run for long, in contact with the agents."""
    entries = SETTINGS.retries.assumed_entries
    context.budget.started_at = -math.inf
    context.budget.record_entry_count(
        entries, time.monotonic() - SETTLING_SECONDS
    )
    context.record_entry_count(entries)


async def _serve(handler: Script) -> tuple[str, int]:
    host = next_address()
    sock = listen(host, 0)

    async def accept() -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(_serve_one, client, handler, daemon=True)

    await curio.spawn(accept, daemon=True)
    return host, port_of(sock)


async def _serve_one(client: Any, handler: Script) -> None:
    try:
        await serve_connection(client, Limits(), handler, respond_to_error)
    except (curio.CancelledError, h11.LocalProtocolError):
        return


def get_room(gate: StreamGate) -> GroupRoom:
    """Return the room of a gate with a single group."""
    assert gate.rooms.is_sole()
    return gate.rooms.list_all()[0]
