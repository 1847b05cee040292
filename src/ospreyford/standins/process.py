"""What every stand-in process does alike: options, port line, HTTP."""

from __future__ import annotations

import socket as plain_socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar
from urllib.parse import parse_qsl, unquote, urlsplit

import curio
import fire
import msgspec

from ospreyford.http.message import Headers, Limits, Request, find_header
from ospreyford.http.server import (
    Exchange,
    RequestHandler,
    listen,
    port_of,
    serve_connection,
)
from ospreyford.standins.journal import Journal, JournalFull

if TYPE_CHECKING:
    from _typeshed import DataclassInstance
    from curio.io import Socket

LOOPBACK = '127.0.0.1'
JSON_TYPE = (b'content-type', b'application/json')

IDLE_SECONDS = 3_600
MAX_BODY_BYTES = 16_777_216
BODILESS_METHODS = frozenset(('GET', 'DELETE'))

#: Idle connections of a pool stay open; bodies may be large documents.
LIMITS = Limits(idle_seconds=IDLE_SECONDS, body_bytes=MAX_BODY_BYTES)

Options = TypeVar('Options', bound='DataclassInstance')
Job = Callable[[], Awaitable[None]]
Carrier = Callable[['Socket'], Awaitable[None]]


class Route(NamedTuple):
    """Where a request goes: method, decoded path parts, query fields."""

    method: str
    path: tuple[str, ...]
    query: dict[str, str]


def find_route(request: Request) -> Route:
    """Take a request's target apart.

    :param request: the request's head.
    :returns: method, path parts without empty ones, query fields.
    """
    target = urlsplit(request.target)
    parts = (unquote(part) for part in target.path.split('/') if part)
    return Route(request.method, tuple(parts), dict(parse_qsl(target.query)))


def read_header(exchange: Exchange, name: bytes) -> str:
    """Read a header field as text.

    :param exchange: the exchange.
    :param name: the field's lower-case name.
    :returns: its content, or an empty string.
    """
    return (find_header(exchange.request.headers, name) or b'').decode()


async def respond_json(
    exchange: Exchange,
    message: Any,
    status: int = HTTPStatus.OK,
    headers: Headers = (),
) -> None:
    """Answer with a JSON body.

    :param exchange: the exchange to answer.
    :param message: anything that msgspec encodes.
    :param status: the HTTP status.
    :param headers: further header fields.
    """
    body = msgspec.json.encode(message)
    await exchange.respond(status, body, (JSON_TYPE, *headers))


async def refuse(exchange: Exchange, status: HTTPStatus) -> None:
    """Answer with an error status.

    :param exchange: the exchange to answer.
    :param status: the HTTP status; its phrase becomes the body.
    """
    await respond_json(exchange, {'error': status.phrase}, status)


async def respond_journal(exchange: Exchange, journal: Journal) -> None:
    """Answer with the whole journal, or an error if it has lost entries.

    :param exchange: the exchange to answer.
    :param journal: the stand-in's journal.
    """
    try:
        entries = journal.read()
    except JournalFull:
        await refuse(exchange, HTTPStatus.INSUFFICIENT_STORAGE)
        return
    await respond_json(exchange, entries)


def read_options(options_type: type[Options]) -> Options:
    """Read the command line into a data class of options.

    :param options_type: a data class; each field is an option.
    :returns: the options.
    :raises msgspec.ValidationError: an option has the wrong type.
    """
    # fire prints what it made unless the serializer makes nothing of it,
    # and the port line has to be the only output.
    options = fire.Fire(options_type, serialize=_serialize_nothing)
    return msgspec.convert(asdict(options), options_type)


def run(handler: RequestHandler, port: int, job: Job | None = None) -> None:
    """Serve until the process is ended; SIGTERM ends it at once.

    :param handler: answers one request.
    :param port: the port on loopback; 0 lets the kernel choose.
    :param job: what runs beside the requests.
    """
    curio.run(_serve_with_job, handler, port, job)


def announce(**ports: int) -> None:
    """Print the one line that tells a launcher the ports.

    :param ports: the ports that take connections now, by name.
    """
    line = msgspec.json.encode(ports).decode()
    sys.stdout.writelines((line, '\n'))
    sys.stdout.flush()


async def accept_forever(listener: Socket, carry: Carrier) -> None:
    """Accept connections, with a task for each.

    :param listener: the listening socket.
    :param carry: carries one connection to its end and closes it.
    """
    async with listener:
        while True:
            sock, _ = await listener.accept()
            # Head and body go out in separate sends; with Nagle's algorithm
            # the second waits for a delayed acknowledgement, 40 ms.
            sock.setsockopt(
                plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
            )
            await curio.spawn(carry, sock, daemon=True)


async def serve_forever(listener: Socket, handler: RequestHandler) -> None:
    """Serve HTTP on a listening socket.

    :param listener: the listening socket.
    :param handler: answers one request.
    """
    checked = _CheckedHandler(handler)
    await accept_forever(listener, checked.serve_client)


async def _serve_with_job(
    handler: RequestHandler, port: int, job: Job | None
) -> None:
    if job is not None:
        await curio.spawn(job, daemon=True)
    listener = listen(LOOPBACK, port)
    announce(port=port_of(listener))
    await serve_forever(listener, handler)


class _CheckedHandler:
    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler

    async def serve_client(self, sock: Socket) -> None:
        await serve_connection(sock, LIMITS, self.serve)

    async def serve(self, exchange: Exchange) -> None:
        # An unread body, even an empty one, ends the connection after the
        # answer, and a caller that reuses it loses its next request.
        if exchange.request.method in BODILESS_METHODS:
            await exchange.read_body()
        try:
            await self._handler(exchange)
        except msgspec.MsgspecError:
            await refuse(exchange, HTTPStatus.BAD_REQUEST)


def _serialize_nothing(_: Any) -> None:
    """Leave standard output to the port line."""
