"""The admin HTTP port: metrics, health, readiness and what operators ask."""

from __future__ import annotations

import inspect
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import curio
import msgspec

from ospreyford.http.connections import accept_next
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Limits
from ospreyford.http.server import listen, port_of, serve_connection
from ospreyford.observability.plain import make_plain
from ospreyford.observability.readiness import Unready
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from curio.io import Socket

    from ospreyford.http.server import Exchange, ServerConnection
    from ospreyford.observability.metrics import Metrics
    from ospreyford.settings.sections import Listen

OK = 200
BAD_QUERY = 400
NOT_FOUND = 404
WRONG_METHOD = 405
FAILED = 500
UNAVAILABLE = 503
#: Open admin connections; more are closed at once, so that a client that
#: opens many cannot take the descriptors that requests need.
MAX_CONNECTIONS = 64
IDLE_SECONDS: Final = 15.0
LIMITS = Limits(idle_seconds=IDLE_SECONDS, body_bytes=1)

JSON = 'application/json'
TEXT = 'text/plain; version=0.0.4; charset=utf-8'
PROBLEM = 'application/problem+json'

#: Query parameters of a request; the first one of a name counts.
Query = Mapping[str, str]
#: Answers one path with dataclasses, named tuples, Structs and containers.
Provider = Callable[[Query], Any | Awaitable[Any]]
#: Tells why the process takes no work now; empty when it does.
Readiness = Callable[[], Sequence[Unready]]

_encoder = msgspec.json.Encoder(enc_hook=str)


@dataclass(unsafe_hash=True)
class BadQuery(Exception):
    """A provider's answer to a query that it cannot use.

    :param parameter: the query parameter.
    :param allowed: what it may be.
    """

    parameter: str
    allowed: str


@dataclass(unsafe_hash=True)
class NothingFound(Exception):
    """A provider's answer to a query that matches nothing.

    :param subject: what was looked for.
    """

    subject: str


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """A problem document (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str


class Answer(NamedTuple):
    """What goes back to the operator."""

    status: int
    body: bytes
    media_type: str = JSON


class Unreadiness(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of ``/readyz``."""

    ready: bool
    reasons: list[Any]


class AdminPort:
    """Answers operators and scrapers; reads only.

    :param settings: where to listen.
    :param metrics: what ``/metrics`` shows.
    :param providers: answers by path, such as ``/status``; more may be
        registered later.
    :param readiness: what ``/readyz`` asks.
    """

    def __init__(
        self,
        settings: Listen,
        metrics: Metrics,
        providers: Mapping[str, Provider],
        readiness: Readiness,
    ) -> None:
        self._metrics = metrics
        self._readiness = readiness
        self._providers: dict[str, Provider] = dict(providers)
        self._sock = listen(*split_address(settings.admin_address))
        self._open = 0

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return port_of(self._sock)

    def register(self, path: str, provider: Provider) -> None:
        """Answer one more path.

        :param path: such as ``/plan``.
        :param provider: called with the query of each request.
        """
        self._providers[path] = provider

    async def run(self) -> None:
        """Serve until cancelled."""
        # Daemon tasks leave the group when they end; others would stay in it
        # with their results as long as the port lives.
        async with curio.TaskGroup() as connections:
            async with self._sock:
                await self._accept(connections)

    async def _accept(self, connections: curio.TaskGroup) -> None:
        while True:
            sock = await accept_next(self._sock)
            if self._open >= MAX_CONNECTIONS:
                await sock.close()
                continue
            await connections.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: Socket) -> None:
        self._open += 1
        try:
            await serve_connection(
                sock, LIMITS, self._answer_exchange, self._refuse
            )
        finally:
            self._open -= 1

    async def _refuse(
        self, error: HttpError, connection: ServerConnection
    ) -> None:
        kind = type(error).__name__
        self._metrics.requests.bad_input.labels(f'admin {kind}').inc()

    async def _answer_exchange(self, exchange: Exchange) -> None:
        answer = await self._answer(exchange)
        kind = answer.media_type.encode()
        await exchange.respond(
            answer.status, answer.body, ((b'content-type', kind),)
        )

    async def _answer(self, exchange: Exchange) -> Answer:
        if exchange.request.method != 'GET':
            return explain_problem(WRONG_METHOD, 'MethodNotAllowed', 'GET only')
        try:
            target = urlsplit(exchange.request.target)
        except ValueError as error:
            return explain_problem(BAD_QUERY, 'BadTarget', str(error))
        match target.path:
            case '/metrics':
                return Answer(OK, self._metrics.render(), TEXT)
            case '/healthz':
                return Answer(OK, b'{"healthy":true}')
            case '/readyz':
                return self._tell_readiness()
            case path:
                return await self._ask(path, parse_query(target.query))

    def _tell_readiness(self) -> Answer:
        reasons = [make_plain(reason) for reason in self._readiness()]
        report = Unreadiness(ready=not reasons, reasons=reasons)
        status = UNAVAILABLE if reasons else OK
        return Answer(status, _encoder.encode(report))

    async def _ask(self, path: str, query: Query) -> Answer:
        provider = self._providers.get(path)
        if provider is None:
            known = ', '.join(sorted(self._providers))
            return explain_problem(
                NOT_FOUND, 'NoSuchPath', f'known paths: {known}'
            )
        try:
            return Answer(
                OK, _encoder.encode(make_plain(await _call(provider, query)))
            )
        except BadQuery as error:
            detail = f'{error.parameter}: allowed: {error.allowed}'
            return explain_problem(BAD_QUERY, 'BadQuery', detail)
        except NothingFound as error:
            detail = f'nothing found: {error.subject}'
            return explain_problem(NOT_FOUND, 'NothingFound', detail)
        # One broken view must leave the others, and /metrics, working.
        except Exception as error:
            return explain_problem(FAILED, type(error).__name__, str(error))


def parse_query(encoded: str) -> Query:
    """Decode a query.

    :param encoded: what follows the question mark.
    :returns: the parameters; the first one of a name counts.
    """
    pairs = parse_qsl(encoded, keep_blank_values=True, errors='replace')
    return dict(reversed(pairs))


def require_parameter(query: Query, name: str, allowed: str) -> str:
    """Read a parameter that a provider cannot do without.

    :param query: the request's query.
    :param name: the parameter.
    :param allowed: what it may be, for the caller who left it out.
    :returns: its value.
    :raises BadQuery: missing or empty.
    """
    found = query.get(name)
    if not found:
        raise BadQuery(name, allowed)
    return found


def explain_problem(status: int, title: str, detail: str) -> Answer:
    """Build a problem document.

    :param status: the HTTP status.
    :param title: the kind of problem.
    :param detail: what to do about it.
    :returns: the answer.
    """
    problem = Problem(
        type='about:blank', title=title, status=status, detail=detail
    )
    return Answer(status, _encoder.encode(problem), PROBLEM)


async def _call(provider: Provider, query: Query) -> Any:
    found = provider(query)
    if inspect.isawaitable(found):
        return await found
    return found
