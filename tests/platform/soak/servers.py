"""Servers of a plain service, with answers that come wrong or twice."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass
from random import Random
from typing import NamedTuple, NoReturn

import curio
import msgspec
from curio.io import Socket

from ospreyford.http.server import listen, port_of
from ospreyford.platform.records import SERVERS_PREFIX
from ospreyford.platform.standins.storestate import StoreState
from tests.platform.soak.record import Run

SLOTS = 3
QUEUE = 1
#: Idle timeout that answers announce.
KEEP_SECONDS = 5
READ_BYTES = 65_536
HEAD_END = b'\r\n\r\n'

#: What comes without end: after a head with chunks, with a length, with
#: neither; in place of a head.
CHUNKS = ('Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n')
LARGE_CHUNKS = (CHUNKS[0], b'3e8\r\n%b\r\n' % bytes(1000))
LENGTH = ('Content-Length: 99999999999\r\n\r\n', bytes(1000))
UNFRAMED = ('\r\n', bytes(1000))
FIELDS = ('', b'A: b\r\n')
HEADS = (None, b'HTTP/1.1 100 Continue\r\n\r\n')
ENDLESS = (CHUNKS, LARGE_CHUNKS, LENGTH, UNFRAMED, FIELDS, HEADS)
BLOCK_BYTES = 10_000

_numbers = itertools.count(1)


class PlainRequest(NamedTuple):
    """A request as a server read it.

    :param fields: header fields by lower-case name.
    :param body: its body.
    """

    fields: dict[str, str]
    body: bytes


class Unending(NamedTuple):
    """An answer without end.

    :param head: how it begins.
    :param block: what comes again and again.
    """

    head: bytes
    block: bytes


@dataclass
class Faults:
    """What all servers do wrong now.

    :param late: share of answers of which a second copy comes late.
    :param unmarked: share of runs that end in an unmarked 503.
    :param endless: share of answers that never end.
    """

    late: float = 0
    unmarked: float = 0
    endless: float = 0


class PlainServer:
    """A server that runs a few requests at a time and refuses those beyond.

    :param service: name of its service.
    :param runs: receives its runs.
    :param faults: what it does wrong.
    :param random: source of work and faults.
    """

    def __init__(
        self, service: str, runs: list[Run], faults: Faults, random: Random
    ) -> None:
        self.id = f'p-{next(_numbers)}'
        self.address = ('', 0)
        self._service = service
        self._runs = runs
        self._faults = faults
        self._random = random
        self._places = curio.Semaphore(SLOTS)
        self._held = 0

    async def start(self, host: str, store: StoreState) -> None:
        """Listen and register.

        :param host: IP address to listen on.
        :param store: state of the store.
        """
        sock = listen(host, 0)
        self.address = (host, port_of(sock))
        await curio.spawn(self._accept, sock, daemon=True)
        registration = {
            'Service': self._service,
            'Address': f'{host}:{self.address[1]}',
            'Zone': 'a',
            'Version': 'v1',
            'Slots': SLOTS,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Sequence': 0,
        }
        store.put(SERVERS_PREFIX + self.id, msgspec.json.encode(registration))

    async def _accept(self, sock: Socket) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, sock: Socket) -> None:
        async with sock:
            try:
                await self._serve_requests(sock)
            except OSError:
                return

    async def _serve_requests(self, sock: Socket) -> None:
        late = b''
        request = await read_request(sock)
        while request is not None:
            answer = await self._answer(request.fields)
            if isinstance(answer, Unending):
                await send_without_end(sock, answer)
            # The copy comes where the answer to this request is expected.
            await sock.sendall(late + answer)
            late = self._draw_copy(answer)
            request = await read_request(sock)

    def _draw_copy(self, answer: bytes) -> bytes:
        return answer if self._random.random() < self._faults.late else b''

    async def _answer(self, fields: dict[str, str]) -> bytes | Unending:
        name = fields.get('x-attempt-id', '')
        common = (
            f'X-Attempt-Id: {name}\r\nKeep-Alive: timeout={KEEP_SECONDS}\r\n'
        )
        if fields.get('x-expect-replica') != self.id:
            return encode(421, common, b'')
        if self._held >= SLOTS + QUEUE:
            return encode(503, f'{common}X-Not-Executed: 1\r\n', b'full')
        run = Run(self.id, name, 0)
        self._held += 1
        try:
            async with self._places:
                await self._run(run)
        finally:
            self._held -= 1
        seal = f'{common}X-Response-Seal: {self.id}.{name}\r\n'
        if run.is_broken:
            head, block = self._random.choice(ENDLESS)
            begun = '' if head is None else f'HTTP/1.1 200 x\r\n{seal}{head}'
            return Unending(begun.encode(), block)
        return encode(run.status, seal, b'a' * 800)

    async def _run(self, run: Run) -> None:
        run.began_at = time.time()
        self._runs.append(run)
        await curio.sleep(self._random.uniform(0.02, 0.3))
        run.ended_at = time.time()
        run.is_broken = self._random.random() < self._faults.endless
        is_failed = self._random.random() < self._faults.unmarked
        run.status = 503 if is_failed else 200


async def send_without_end(sock: Socket, answer: Unending) -> NoReturn:
    """Send an answer until the caller closes the connection.

    :param sock: connection of the caller.
    :param answer: the answer.
    :raises OSError: the caller has closed it.
    """
    await sock.sendall(answer.head)
    block = answer.block * (1 + BLOCK_BYTES // len(answer.block))
    while True:
        await sock.sendall(block)
        await curio.sleep(0)


async def read_request(sock: Socket) -> PlainRequest | None:
    """Read a request.

    :param sock: connection of the caller.
    :returns: the request; ``None`` if the connection ended before its end.
    """
    received = b''
    while HEAD_END not in received:
        piece: bytes = await sock.recv(READ_BYTES)
        if not piece:
            return None
        received += piece
    head, _, body = received.partition(HEAD_END)
    fields = {}
    for line in head.decode('latin-1').split('\r\n')[1:]:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    while len(body) < int(fields.get('content-length', '0')):
        piece = await sock.recv(READ_BYTES)
        if not piece:
            return None
        body += piece
    return PlainRequest(fields, body)


def encode(status: int, fields: str, body: bytes) -> bytes:
    """Encode an answer.

    :param status: its HTTP status.
    :param fields: lines of header fields.
    :param body: its body.
    :returns: the bytes.
    """
    head = f'HTTP/1.1 {status} x\r\n{fields}Content-Length: {len(body)}\r\n\r\n'
    return head.encode('latin-1') + body
