"""An entry as a process, beside many answers that never end."""

from __future__ import annotations

import itertools
import time
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import curio

from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from ospreyford.http.server import listen, port_of
from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.standins.storeserver import StoreServer
from ospreyford.platform.standins.storestate import StoreState
from tests.fakes.loopback import next_address
from tests.platform.drills.programs import READY_PORT, Program, Site
from tests.platform.fleet import BOUNDS
from tests.platform.soak.servers import (
    ENDLESS,
    Faults,
    PlainServer,
    Unending,
    read_request,
    send_without_end,
)
from tests.platform.storefake import make_config, make_registration

ANSWERS = 200
HOST = ((b'host', b'h'),)
#: Between two of them; callers do not send all of them in one moment.
PAUSE_SECONDS = 0.005
TIMEOUT_SECONDS = 2.0
#: A request without an answer at its timeout has one after this time.
SLACK_SECONDS = 0.5
READY_SECONDS = 1.0
#: More memory than with as many backends that do not answer (issue 59).
MAX_MEMORY_BYTES = 5_000_000


class Seen(NamedTuple):
    """What was seen beside many answers.

    :param statuses: of the requests whose answers never end.
    :param sound: statuses of other requests.
    :param ready: statuses of readiness checks.
    :param memory: of the process at its highest, in bytes.
    """

    statuses: set[int]
    sound: set[int]
    ready: set[int]
    memory: int


class EndlessServer:
    """Answers with bytes without end, or not at all."""

    def __init__(self) -> None:
        self.is_silent = True
        self._forms = itertools.cycle(ENDLESS)

    async def start(self, store: StoreState) -> None:
        host = next_address()
        sock = listen(host, 0)
        await curio.spawn(self._accept, sock, daemon=True)
        address = f'{host}:{port_of(sock)}'
        store.put('servers/endless', make_registration(Address=address))

    async def _accept(self, sock: Any) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, sock: Any) -> None:
        async with sock:
            with suppress(OSError):
                await self._answer(sock)

    async def _answer(self, sock: Any) -> None:
        request = await read_request(sock)
        if request is None:
            return
        if self.is_silent:
            await sock.recv(1)
            return
        head, block = next(self._forms)
        begun = f'HTTP/1.1 200 x\r\n{make_fields(request.fields)}{head}'
        answer = Unending(b'' if head is None else begun.encode(), block)
        await send_without_end(sock, answer)


def make_fields(fields: dict[str, str]) -> str:
    name = fields['x-attempt-id']
    return f'X-Attempt-Id: {name}\r\nX-Response-Seal: s.{name}\r\n'


class Entry:
    """An entry with a sound service and one whose answers never end."""

    def __init__(self, directory: Path) -> None:
        self.endless = EndlessServer()
        self.program: Program
        self._directory = directory
        self._numbers = itertools.count()

    async def start(self) -> None:
        state = StoreState(generation=3)
        store = StoreServer(state)
        host = await store.open(next_address())
        await self.endless.start(state)
        sound = PlainServer('s2', [], Faults(), Random(1))
        await sound.start(next_address(), state)
        routes = [make_route('endless', 's1'), make_route('sound', 's2')]
        services = [
            {'Name': name, 'MaxConnections': 4000} for name in ('s1', 's2')
        ]
        state.put(
            'op/config',
            make_config(
                3,
                Routes=routes,
                Services=services,
                Tenants=[{'Name': 't0', 'ApiKeys': ['k0']}],
            ),
        )
        drain_ms = int(BOUNDS.drain_seconds * 1000)
        site = Site(self._directory, host, drain_ms, 5000)
        self.program = Program(site, 'entry', next_address())
        self.program.start()
        until = time.monotonic() + 60
        while await self.ask('sound') != 200:
            assert time.monotonic() < until, 'the entry did not start'
            await curio.sleep(0.1)

    async def ask(self, route: str) -> int:
        """Send a request on a connection of its own.

        :returns: the status; 0 without an answer in time.
        """
        fields = (
            *HOST,
            (HEADER_NAMES.request_id, b'r%d' % next(self._numbers)),
            (HEADER_NAMES.key, b'k0'),
            (HEADER_NAMES.deadline, b'9000'),
        )
        return await ask(
            self.program.front,
            Request('POST', f'/{route}/x', fields),
            TIMEOUT_SECONDS + SLACK_SECONDS,
        )

    async def ask_again(
        self, statuses: set[int], address: tuple[str, int] | None = None
    ) -> None:
        """Send sound requests, or readiness checks, until cancelled."""
        ready = Request('GET', '/ready', HOST)
        while True:
            if address is None:
                statuses.add(await self.ask('sound'))
            else:
                statuses.add(await ask(address, ready, READY_SECONDS))
            await curio.sleep(0.05)

    async def watch_many(self, *, is_silent: bool) -> Seen:
        """Ask for many answers at once, and look at all else meanwhile."""
        self.endless.is_silent = is_silent
        seen = Seen(set(), set(), set(), 0)
        checks = (self.program.ip, READY_PORT)
        watching = [
            await curio.spawn(self.ask_again, seen.sound),
            await curio.spawn(self.ask_again, seen.ready, checks),
        ]
        asking = await self.ask_many()
        memory = 0
        while not all(task.terminated for task in asking):
            memory = max(memory, self.program.read_memory())
            await curio.sleep(0.05)
        for task in watching:
            await task.cancel()
        statuses = {task.result for task in asking}
        return seen._replace(statuses=statuses, memory=memory)

    async def ask_many(self) -> list[curio.Task]:
        """Ask for many answers, all of them before the first one ends."""
        asking = []
        for _ in range(ANSWERS):
            asking.append(await curio.spawn(self.ask, 'endless', daemon=True))
            await curio.sleep(PAUSE_SECONDS)
        return asking


async def ask(
    address: tuple[str, int], request: Request, seconds: float
) -> int:
    """Send a request on a connection of its own; 0 without an answer."""
    try:
        async with curio.timeout_after(seconds):
            return await exchange(address, request, seconds)
    except (HttpError, curio.TaskTimeout):
        return 0


async def exchange(
    address: tuple[str, int], request: Request, seconds: float
) -> int:
    connection = await ClientConnection.open(*address, seconds)
    try:
        await connection.send(request, b'body')
        head = await connection.read_head()
        await connection.read_body()
    finally:
        await connection.close()
    return head.status


def make_route(name: str, service: str) -> dict[str, Any]:
    return {
        'Name': name,
        'Host': 'h',
        'Prefix': f'/{name}/',
        'RouteType': 'non_idempotent',
        'TimeoutMs': int(TIMEOUT_SECONDS * 1000),
        'TargetLatencyMs': 500,
        'MaxAttempts': 1,
        'Service': service,
    }


def test_many_answers_without_end_stop_no_entry(tmp_path: Path) -> None:
    """Many answers without end held an entry, or took all its memory."""

    async def main() -> tuple[Seen, Seen, int | None]:
        entry = Entry(tmp_path)
        try:
            await entry.start()
            silent = await entry.watch_many(is_silent=True)
            endless = await entry.watch_many(is_silent=False)
            await entry.ask_many()
            await curio.sleep(0.5)
            entry.program.send('SIGTERM')
            sent_at = time.monotonic()
            while entry.program.poll() is None:
                assert time.monotonic() - sent_at < BOUNDS.grace_seconds
                await curio.sleep(0.05)
            return silent, endless, entry.program.poll()
        finally:
            entry.program.kill()

    silent, endless, code = curio.run(main)
    assert silent.statuses == {504}
    # Outcome unknown: at the timeout, or as the answer is too large.
    assert endless.statuses == {502, 504}
    for seen in (silent, endless):
        assert seen.sound == {200}
        assert seen.ready == {200}
    assert endless.memory - silent.memory < MAX_MEMORY_BYTES
    assert code == 0
