"""Processor time of an entry that reaches back ends directly.

Callers, entry and back end run in one process: what the same requests take
without the entry, straight from caller to back end, is subtracted. Events are
sent one by one, so that each is read, passed on and written by itself.
"""

from __future__ import annotations

import os
import sys
import time
from typing import TYPE_CHECKING, Final, NamedTuple

import curio

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
from ospreyford.direct.handler import RequestHandler
from ospreyford.direct.headernames import HeaderNames
from ospreyford.direct.registry import BackendServer
from ospreyford.direct.settings import Bounds, DirectSettings, RetrySettings
from ospreyford.http.client import ClientConnection
from ospreyford.http.message import Limits, Request
from ospreyford.http.server import listen, port_of, serve_connection
from ospreyford.observability.lines import DescriptorSink
from ospreyford.observability.logs import ChangeLog
from ospreyford.settings.sections import Identity, Logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from curio.io import Socket

    from ospreyford.http.server import Exchange

    Handler = Callable[[Exchange], Awaitable[None]]

HOST: Final = '127.0.0.1'
ROUNDS: Final = 400
FEW_EVENTS: Final = 10
MANY_EVENTS: Final = 60
EVENT: Final = b'id: %d\ndata: %s\n\n'
PIECE_BYTES: Final = 70
PIECE: Final = b'x' * PIECE_BYTES
BODY_BYTES: Final = 800
BODY: Final = bytes(BODY_BYTES)
OK: Final = 200
LONG_SECONDS: Final = 30
MICROSECONDS: Final = 1_000_000
DIALECT: Final = HeaderNames(
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
SEALED: Final = ((b'x-id', b'mine'), (b'x-seal', b's'))
ASKED: Final = Request(
    'POST',
    '/a/x',
    (
        (b'host', b'host'),
        (b'x-id', b'mine'),
        (b'x-key', b'key'),
        (b'x-deadline', b'30000'),
    ),
)


class Cost(NamedTuple):
    """What an entry adds, in microseconds of processor time.

    :param request: a plain request.
    :param stream: a stream without its events.
    :param event: one event of a stream.
    """

    request: float
    stream: float
    event: float


async def answer(exchange: Exchange) -> None:
    """Answer as a plain back end.

    :param exchange: the request and the way back.
    """
    await exchange.read_body()
    await exchange.respond(OK, BODY, SEALED)


class Streamer:
    """A back end that answers with a stream.

    :param events: events of each stream.
    """

    def __init__(self, events: int) -> None:
        self._events = events

    async def answer(self, exchange: Exchange) -> None:
        """Answer with a stream.

        :param exchange: the request and the way back.
        """
        await exchange.read_body()
        await exchange.start(OK, SEALED)
        for number in range(1, self._events + 1):
            await exchange.write(EVENT % (number, PIECE))
            # Lets whoever reads take this event before the next one.
            await curio.sleep(0)
        await exchange.finish()


def make_world(
    *, streams: bool, address: tuple[str, int], log: int
) -> EntryContext:
    """Make an entry that knows one route and one back end.

    :param streams: whether answers are streams.
    :param address: of the back end.
    :param log: descriptor that log lines go to.
    :returns: the entry.
    """
    settings = DirectSettings(
        name='entry',
        zone='a',
        region='r',
        front=(HOST, 0),
        ready=(HOST, 0),
        datagrams=(HOST, 0),
        metrics_port=0,
        agent_port=0,
        retries=RetrySettings(ratio=0, slack=0, window=1),
        bounds=Bounds(2, 8, None),
    )
    identity = Identity(name='entry', instance='entry', zone='a', region='r')
    world = EntryContext(
        settings, DIALECT, ChangeLog(Logs(), identity, DescriptorSink(log))
    )
    route = Route(
        name='route',
        prefix='/a/',
        splits=(Split('service', 1),),
        retry_mode=RetryMode.idempotent,
        streams=streams,
        timeout=LONG_SECONDS,
        objective=1,
        max_gap=0,
        attempts=2,
        priority=1,
        public=False,
    )
    world.catalog = Catalog(
        version=1,
        routes={'host': (route,)},
        services={'service': Service('service', 10, None)},
        customers={'key': Customer('customer', None)},
        limits=Limits(),
    )
    world.freshness.confirm(read_boot_clock())
    world.backends.put(
        BackendServer('b', 'service', *address, 'a', 6, False, 1)
    )
    return world


async def open_server(handler: Handler) -> tuple[str, int]:
    """Serve on a free port of the loopback address.

    :param handler: serves each request.
    :returns: the address.
    """
    sock = listen(HOST, 0)
    await curio.spawn(_accept, sock, handler, daemon=True)
    return HOST, port_of(sock)


async def _accept(sock: Socket, handler: Handler) -> None:
    async with sock:
        while True:
            client, _ = await sock.accept()
            await curio.spawn(
                serve_connection, client, Limits(), handler, daemon=True
            )


async def time_requests(address: tuple[str, int]) -> float:
    """Time requests on one kept connection.

    :param address: who is asked.
    :returns: microseconds of processor time each, of this whole process.
    """
    connection = await ClientConnection.open(*address, 1)
    began = time.process_time()
    for _ in range(ROUNDS):
        await connection.send(ASKED, b'')
        await connection.read_head()
        await connection.read_body()
        connection.start_next_cycle()
    taken = time.process_time() - began
    await connection.close()
    return taken / ROUNDS * MICROSECONDS


async def measure_added(handler: Handler, *, streams: bool, log: int) -> float:
    """Measure what the entry adds to one exchange.

    :param handler: the back end.
    :param streams: whether it answers with streams.
    :param log: descriptor that log lines go to.
    :returns: microseconds of processor time.
    """
    backend = await open_server(handler)
    world = make_world(streams=streams, address=backend, log=log)
    entry = await open_server(RequestHandler(world).serve)
    through = await time_requests(entry)
    return through - await time_requests(backend)


async def measure_cost(log: int) -> Cost:
    """Measure an entry.

    :param log: descriptor that log lines go to.
    :returns: what it adds.
    """
    request = await measure_added(answer, streams=False, log=log)
    few, many = [
        await measure_added(Streamer(events).answer, streams=True, log=log)
        for events in (FEW_EVENTS, MANY_EVENTS)
    ]
    event = (many - few) / (MANY_EVENTS - FEW_EVENTS)
    return Cost(request, few - FEW_EVENTS * event, event)


def main() -> None:
    """Print the table."""
    with open(os.devnull, 'wb') as sink:
        cost: Cost = curio.run(measure_cost, sink.fileno())
    lines = [
        '| what an entry adds | processor time, microseconds |',
        '|---|---|',
        *[
            f'| {name} | {taken:.0f} |'
            for name, taken in cost._asdict().items()
        ],
    ]
    sys.stdout.write('\n'.join((*lines, '')))


if __name__ == '__main__':
    main()
