"""Entry service on a real socket, with agents and a raw backend."""

from __future__ import annotations

import socket as plain_socket
from typing import Any

import curio
import msgspec

from ospreyford.agent.backend import BackendAddress, HttpBackend
from ospreyford.entry.admission import Admission
from ospreyford.entry.call import Plan
from ospreyford.entry.directory import FleetDirectory
from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.entry.service import AdmissionDependencies, EntryService
from ospreyford.entry.settings import RequestSettings
from ospreyford.http.connections import OpenConnections
from ospreyford.http.message import Limits
from ospreyford.http.server import listen, port_of, serve_connection
from ospreyford.limits.gate import LimitGate
from ospreyford.limits.limit import Limit
from ospreyford.limits.settings import GateSettings
from ospreyford.node.pauses import PauseGuard
from ospreyford.observability.metrics import Metrics
from ospreyford.ports.clock import SystemClock
from tests.faults.rig import TRACER, Rig

LIMITS = Limits(
    head_seconds=0.15,
    idle_seconds=1,
    body_seconds=0.15,
    stall_seconds=0.15,
    head_bytes=2000,
    body_bytes=1000,
)
OK_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
VALID_FIELDS = b'ospreyford-customer: c\r\nospreyford-service: svc\r\n'


def make_request(
    fields: bytes = VALID_FIELDS,
    body: bytes = b'',
    line: bytes = b'POST / HTTP/1.1',
) -> bytes:
    length = b'content-length: %d\r\n' % len(body)
    return b'%b\r\nhost: x\r\n%b%b\r\n%b' % (line, fields, length, body)


def read_problem(received: bytes) -> tuple[int, dict[str, str], Any]:
    """Split a response into status, header fields and JSON document."""
    head, _, body = received.partition(b'\r\n\r\n')
    line, *fields = head.decode().split('\r\n')
    headers = dict(field.lower().split(': ', 1) for field in fields)
    document = msgspec.json.decode(body or b'null')
    return int(line.split()[1]), headers, document


class StaleMembership:
    def is_stale(self) -> bool:
        return True


class SingleCustomerDirectory(FleetDirectory):
    plan: Plan

    def find_plan(self, customer: str, service: str) -> Plan | NotRun:
        if customer == 'c' and service == 'svc':
            return self.plan
        if service == 'svc':
            return NotRun(Cause.unknown_customer, 1)
        return NotRun(Cause.unknown_service, 1)

    def is_idempotent(self, service: str, method: str, target: str) -> bool:
        return method != 'POST'


class EntryServer:
    """Entry, agents and backend in one kernel.

    :param response: what the backend sends to each request.
    """

    def __init__(
        self, response: bytes = OK_RESPONSE, *, delay: float = 0
    ) -> None:
        self.response = response
        self.delay = delay
        self.backend_requests: list[bytes] = []
        self.metrics = Metrics()
        self.rig = Rig([])
        self.directory = SingleCustomerDirectory()
        self.gate = LimitGate(GateSettings())
        self._tasks: list[Any] = []
        self.connections = OpenConnections(100)

    async def __aenter__(self) -> EntryServer:
        port = await self._serve_on(self._run_backend)
        agent = self.rig.agents[0]
        address = BackendAddress('127.0.0.1', port)
        agent.backend = HttpBackend(address, 1)  # type: ignore[assignment]
        await self.rig.__aenter__()
        self.directory.hosts = self.rig.directory.hosts
        limit = Limit(concurrency=4)
        self.directory.plan = self.rig.plan._replace(limit=limit)
        clock = SystemClock()
        self.dispatcher = self.rig.make_entry()
        self.service = EntryService(
            AdmissionDependencies(
                Admission(RequestSettings(), self.directory, clock),
                self.directory,
                self.gate,
                PauseGuard(clock, StaleMembership()),
            ),
            self.dispatcher,
            clock,
            self.metrics,
            TRACER,
        )
        self.port = await self._serve_on(self._serve)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            await task.cancel()
        await self.rig.__aexit__()

    async def call(self, request: bytes, seconds: float = 1) -> bytes:
        """Send bytes and read until the connection ends."""
        sock = await self.connect()
        async with sock:
            await sock.sendall(request)
            return await read_to_end(sock, seconds)

    async def connect(self) -> Any:
        return await curio.open_connection('127.0.0.1', self.port)

    async def wait_idle(self) -> bool:
        """Wait until no request is in flight; return whether that is so."""
        for _ in range(100):
            if not self.service.in_flight:
                break
            await curio.sleep(0.02)
        return not self.service.in_flight

    def count_refused(self) -> float:
        """Count refused requests of any cause."""
        return sum(
            float(line.split()[-1])
            for line in self.metrics.render().decode().splitlines()
            if 'bad_input_total{' in line or 'refused_total{' in line
        )

    async def _serve_on(self, serve: Any) -> int:
        sock = listen('127.0.0.1', 0)
        self._tasks.append(await curio.spawn(self._accept, sock, serve))
        return port_of(sock)

    async def _accept(self, sock: Any, serve: Any) -> None:
        async with sock, curio.TaskGroup() as group:
            while True:
                client, _ = await sock.accept()
                await group.spawn(serve, client)

    async def _serve(self, sock: Any) -> None:
        service = self.service
        await serve_connection(
            sock, LIMITS, service.serve, service.refuse, self.connections
        )

    async def _run_backend(self, sock: Any) -> None:
        async with sock:
            received = b''
            while b'\r\n\r\n' not in received:
                piece = await sock.recv(65_536)
                if not piece:
                    return
                received += piece
            self.backend_requests.append(received)
            await curio.sleep(self.delay)
            await sock.sendall(self.response)


async def read_to_end(sock: Any, seconds: float = 1) -> bytes:
    """Read until the connection ends or the timeout passes."""
    received = b''
    while piece := await curio.ignore_after(seconds, sock.recv(1_000_000)):
        received += piece
    return received


def reset_on_close(sock: Any) -> None:
    """Make the next close reset the connection."""
    linger = b'\x01\0\0\0\0\0\0\0'
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, linger)
