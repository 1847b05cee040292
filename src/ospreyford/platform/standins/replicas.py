"""Stand-ins of replicas that crash on marked requests and come back."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from http import HTTPStatus
from itertools import count
from typing import TYPE_CHECKING, Final, NamedTuple

import curio
import msgspec

from ospreyford.direct.prompts import read_shared_parts
from ospreyford.http.message import Limits, find_header
from ospreyford.http.server import listen, port_of, serve_connection
from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.records import SERVERS_PREFIX

if TYPE_CHECKING:
    from curio.io import Socket

    from ospreyford.http.message import Headers
    from ospreyford.http.server import Exchange
    from ospreyford.platform.standins.storestate import StoreState

#: Requests with these bytes in their body crash the replica that begins them.
CRASH_MARK: Final = b'crash'
SLOTS: Final = 6
PORT: Final = 9300

_numbers = count(1)


class ReplicaOptions(NamedTuple):
    """How a replica behaves.

    :param service: name of its service.
    :param zone: its availability zone.
    :param work_seconds: time that a request runs.
    :param back_seconds: time from a crash to the next start.
    :param expiry_seconds: time from a crash to the end of its registration.
    :param crash_part: id of a prompt part that crashes the replica that begins
        an answer on it, except as the last part; ``None`` if there is none.
    :param crash_events: events of that answer before the crash; ``None`` if it
        ends before its head.
    :param cold_ms: what it registers as the time for which it stays cold after
        a start.
    """

    service: str
    zone: str = 'a'
    work_seconds: float = 0.01
    back_seconds: float = 2.0
    expiry_seconds: float = 3.6
    crash_part: bytes | None = None
    crash_events: int | None = None
    cold_ms: int = 0


class Arrival(NamedTuple):
    """A request that reached a replica.

    :param replica: id of the replica.
    :param request_id: the caller's request id.
    :param body: the whole body.
    :param at: seconds since the Unix epoch.
    :param backoff: time without requests that the refusal asks for.
    :param parts: ids of the prompt parts that it shares with others.
    """

    replica: str
    request_id: str
    body: bytes
    at: float
    backoff: bytes | None = None
    parts: tuple[bytes, ...] = ()


@dataclass
class Arrivals:
    """What all replicas saw.

    :param requests: requests that reached a replica.
    :param runs: those that it began to run.
    :param crashes: those that crashed it.
    """

    requests: list[Arrival] = field(default_factory=list)
    runs: list[Arrival] = field(default_factory=list)
    crashes: list[Arrival] = field(default_factory=list)


class Replica:
    """A replica that registers itself in the store's state.

    Each start is a new process with another id at the same address.

    ``is_leaving`` is set by a drill that has announced its end: a crash is then
    its end. ``limit`` is the request rate that its responses declare,
    ``leaving`` marks them as those of a leaving backend. With a ``backoff``, it
    refuses all requests and asks for so many seconds without any. It registers
    as cold for ``cold_ms``.

    :param options: how it behaves.
    :param store: the state of the store.
    :param arrivals: receives what the replica saw.
    """

    def __init__(
        self, options: ReplicaOptions, store: StoreState, arrivals: Arrivals
    ) -> None:
        self.id = ''
        self.address = ('', 0)
        self.is_leaving = False
        self.limit: bytes | None = None
        self.leaving: bytes | None = None
        self.backoff: bytes | None = None
        self.cold_ms = options.cold_ms
        self._options = options
        self._store = store
        self._arrivals = arrivals
        self._accepting: curio.Task | None = None
        self._serving: list[curio.Task] = []

    async def start(self, host: str, port: int = PORT) -> None:
        """Listen and register.

        :param host: IP address to listen on.
        :param port: the port; fixed, so that a restart can listen on it again.
        """
        sock = listen(host, port)
        self.address = (host, port_of(sock))
        number = next(_numbers)
        self.id = f'i-{number}'
        self._accepting = await curio.spawn(self._accept, sock, daemon=True)
        self.register('ready')

    def register(self, state: str | None) -> None:
        """Write the registration.

        :param state: ``ready`` or ``draining``; ``None`` to remove it.
        """
        key = SERVERS_PREFIX + self.id
        if state is None:
            self._store.put(key, None)
            return
        options = self._options
        host, port = self.address
        registration = {
            'Service': options.service,
            'Address': f'{host}:{port}',
            'Zone': options.zone,
            'Version': 'v1',
            'Slots': SLOTS,
            'State': state,
            'ColdRemainingMs': self.cold_ms,
            'Sequence': 0,
        }
        self._store.put(key, msgspec.json.encode(registration))

    async def crash(self) -> None:
        """End at once, and start again as another process later."""
        accepting = self._accepting
        if accepting is None:
            return
        self._accepting = None
        ended = self.id
        await accepting.cancel()
        serving = self._serving
        self._serving = []
        for task in serving:
            await task.cancel()
        await curio.spawn(self._expire, ended, daemon=True)
        if not self.is_leaving:
            await curio.spawn(self.come_back, daemon=True)

    async def run_request(self, exchange: Exchange, request_id: bytes) -> None:
        """Run a request that does not crash the replica.

        :param exchange: the request.
        :param request_id: the caller's request id.
        """
        raise NotImplementedError

    async def refuse(self, exchange: Exchange) -> bool:
        """Refuse a request that cannot run now.

        :param exchange: the request.
        :returns: whether it was refused.
        """
        return False

    async def answer_probe(self, exchange: Exchange, body: bytes) -> bool:
        """Answer a call that is no request, if it is one.

        :param exchange: the call.
        :param body: its body.
        :returns: whether it was answered.
        """
        return False

    def sign_answer(self, request_id: bytes) -> Headers:
        """Make the header fields of an answer.

        :param request_id: the caller's request id.
        :returns: the fields that mark it as this replica's answer.
        """
        return (
            (HEADER_NAMES.request_id, request_id),
            (HEADER_NAMES.signature, b'seal'),
            *self._declare(),
        )

    async def come_back(self) -> None:
        """Start again as another process, some time after a crash."""
        await curio.sleep(self._options.back_seconds)
        await self.start(*self.address)

    def _declare(self) -> Headers:
        declared = (
            (HEADER_NAMES.limit, self.limit),
            (HEADER_NAMES.leaving, self.leaving),
        )
        return tuple(
            (name, text) for name, text in declared if text is not None
        )

    async def _shed(self, exchange: Exchange) -> bool:
        if self.backoff is None:
            return False
        await exchange.respond(
            HTTPStatus.SERVICE_UNAVAILABLE,
            b'',
            (
                (HEADER_NAMES.refused, b'1'),
                (b'retry-after', self.backoff),
                *self._declare(),
            ),
        )
        return True

    async def _expire(self, ended: str) -> None:
        await curio.sleep(self._options.expiry_seconds)
        if SERVERS_PREFIX + ended in self._store.items:
            self._store.put(SERVERS_PREFIX + ended, None)

    async def _accept(self, sock: Socket) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                self._serving = [
                    one for one in self._serving if not one.terminated
                ]
                task = await curio.spawn(
                    serve_connection, client, Limits(), self._serve, daemon=True
                )
                self._serving.append(task)

    async def _serve(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        if await self.answer_probe(exchange, body):
            return
        headers = exchange.request.headers
        expected = find_header(headers, HEADER_NAMES.instance)
        if expected is not None and expected.decode() != self.id:
            await exchange.respond(HTTPStatus.MISDIRECTED_REQUEST, b'')
            return
        request_id = find_header(headers, HEADER_NAMES.request_id) or b''
        arrival = Arrival(
            self.id,
            request_id.decode(),
            body,
            time.time(),
            self.backoff,
            tuple(read_shared_parts(headers, HEADER_NAMES.prompt_parts)),
        )
        self._arrivals.requests.append(arrival)
        if await self._shed(exchange) or await self.refuse(exchange):
            return
        self._arrivals.runs.append(arrival)
        is_crasher = self._options.crash_part in arrival.parts
        if CRASH_MARK not in body and not is_crasher:
            await self.run_request(exchange, request_id)
            return
        if is_crasher and self._options.crash_events is not None:
            await begin_answer(
                exchange,
                self.sign_answer(request_id),
                self._options.crash_events,
            )
        self._arrivals.crashes.append(arrival)
        # A task of its own: the crash cancels this one.
        await curio.spawn(self.crash, daemon=True)
        await curio.sleep(self._options.back_seconds)


async def begin_answer(
    exchange: Exchange, fields: Headers, events: int
) -> None:
    """Begin the answer to a request that then crashes the replica.

    :param exchange: the request.
    :param fields: header fields of the answer.
    :param events: events of the answer before the crash.
    """
    await exchange.start(HTTPStatus.OK, fields)
    for event in range(1, events + 1):
        await exchange.write(b'id: %d\ndata: x\n\n' % event)
