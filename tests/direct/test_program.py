"""A complete entry: readiness, metrics and graceful shutdown."""

from __future__ import annotations

import time
from typing import Any

import curio
import pytest

from ospreyford.direct.catalog import RetryMode
from ospreyford.direct.context import EntryContext
from ospreyford.direct.decisions import RequestEnded
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.gate import StreamGate
from ospreyford.direct.program import ACCEPT_FRACTION, EntryServer, Listeners
from ospreyford.direct.verdicts import Cause
from ospreyford.http.client import ClientConnection, fetch
from ospreyford.http.errors import ConnectionRefused
from ospreyford.http.message import Request, find_header
from ospreyford.http.server import listen, port_of
from tests.direct import backends as be
from tests.direct.backends import get_room
from tests.fakes.loopback import next_address

ONCE = be.make_route(RetryMode.once)
GRACE = 1.5
READY = Request('GET', '/ready', ())
ASKED = Request(
    'POST',
    '/a/x',
    ((b'host', b'host'), (b'x-id', b'mine'), (b'x-key', b'good-key')),
)


class FakeStop:
    """A stop signal controlled by the test."""

    def __init__(self) -> None:
        self.requested = curio.Event()
        self.requested_at: float | None = None
        self.count_in_flight: Any = None


class Entry:
    """A complete entry in front of a site's backends."""

    def __init__(self, site: be.Site) -> None:
        self.site = site
        host = next_address()
        front = listen(host, 0)
        ready = listen(host, 0)
        self.front = (host, port_of(front))
        self.ready = (host, port_of(ready))
        self.stop = FakeStop()
        bounds = be.SETTINGS.bounds._replace(grace_seconds=GRACE)
        settings = be.SETTINGS._replace(
            front=self.front, bounds=bounds, datagrams=(host, 0)
        )
        self.context = EntryContext(settings, be.DIALECT, site.log)  # type: ignore[arg-type]
        self.context.backends = site.context.backends
        self.context.catalog = site.context.catalog
        self.context.freshness.confirm(read_boot_clock())
        # The site has no agents.
        self.context.is_informed = True
        listeners = Listeners(front, ready)
        self.server = EntryServer(
            self.context,
            self.stop,  # type: ignore[arg-type]
            listeners,
        )

    async def start(self) -> curio.Task:
        task = await curio.spawn(self.server.run, self._follow, daemon=True)
        await curio.sleep(0.05)
        return task

    async def ask(self) -> ClientConnection:
        connection = await ClientConnection.open(*self.front, 1)
        await connection.send(ASKED)
        return connection

    def fill_gate(self) -> None:
        gate = StreamGate(max_gap=0.12)
        limit = get_room(gate).limit
        limit.regular = 0
        limit.urgent = 0
        limit.late = 0
        self.context.gates['service'] = gate

    async def is_ready(self) -> bool:
        head, _ = await fetch(self.ready, READY)
        return head.status == 200

    async def _follow(self) -> None:
        await curio.sleep(60)


async def answer_slowly(exchange: Any) -> None:
    await curio.sleep(0.5)
    await be.answer(exchange)


async def stop_under_load() -> dict[str, Any]:
    entry = Entry(await be.open_site(ONCE, answer_slowly))
    running = await entry.start()
    seen: dict[str, Any] = {'before': await entry.is_ready()}
    early = await entry.ask()
    await curio.sleep(0.1)
    began = time.monotonic()
    await entry.stop.requested.set()
    await curio.sleep(0.05)
    seen['after'] = await entry.is_ready()
    # The balancer has not noticed yet: new requests are served.
    late = await entry.ask()
    answers = [await one.read_head() for one in (early, late)]
    seen['statuses'] = [head.status for head in answers]
    seen['closing'] = [
        find_header(head.headers, b'connection') for head in answers
    ]
    await running.join()
    seen['took'] = time.monotonic() - began
    with pytest.raises(ConnectionRefused):
        await entry.ask()
    return seen


def test_a_graceful_shutdown_cuts_no_request() -> None:
    """Requests must be served until the balancer has noticed the shutdown."""
    seen = curio.run(stop_under_load)
    assert seen['before']
    assert not seen['after']
    assert seen['statuses'] == [200, 200]
    assert seen['closing'] == [b'close', b'close']
    assert seen['took'] <= GRACE


async def lose_freshness() -> list[bool]:
    entry = Entry(await be.open_site(ONCE, be.answer))
    await entry.start()
    seen = [await entry.is_ready()]
    entry.context.freshness = type(entry.context.freshness)(
        entry.context.settings.bounds
    )
    entry.context.freshness.confirm(read_boot_clock() - 10)
    seen.append(await entry.is_ready())
    return seen


def test_an_entry_with_stale_state_is_not_ready() -> None:
    assert curio.run(lose_freshness) == [True, False]


async def rest_while_stopping() -> bool:
    entry = Entry(await be.open_site(ONCE, answer_slowly))
    await entry.start()
    resting = await entry.ask()
    await resting.read_head()
    await resting.read_body()
    await entry.stop.requested.set()
    late = await entry.ask()
    await curio.sleep(GRACE * ACCEPT_FRACTION + 0.1)
    is_open = resting.is_quiet()
    await late.close()
    return is_open


def test_a_stopping_entry_closes_kept_connections() -> None:
    """Kept connections must not take requests late in the shutdown."""
    assert not curio.run(rest_while_stopping)


async def ask_twice_on_one_connection() -> list[dict[str, int]]:
    entry = Entry(await be.open_site(ONCE, be.answer))
    await entry.start()
    connection = await entry.ask()
    await connection.read_head()
    await connection.read_body()
    connection.start_next_cycle()
    await entry.stop.requested.set()
    await curio.sleep(0.1)
    await connection.send(ASKED)
    await connection.read_head()
    # The log line is written after the response.
    await curio.sleep(0.05)
    await connection.close()
    lines = entry.site.log.find(RequestEnded)
    return [line.connection for line in lines]


def test_requests_log_connection_details() -> None:
    """The log must tell a new connection from a kept one during a shutdown."""
    first, second = curio.run(ask_twice_on_one_connection)
    assert (first['number'], first['closing_ms']) == (1, -1)
    assert second['number'] == 2
    assert 0 <= second['closing_ms'] <= second['open_ms']
    assert 0 <= second['rest_ms'] <= second['open_ms']


async def stop_before_an_answer() -> list[RequestEnded]:
    entry = Entry(await be.open_site(ONCE, be.never_answer))
    running = await entry.start()
    caller = await entry.ask()
    await entry.stop.requested.set()
    await running.join()
    await caller.close()
    return entry.site.log.find(RequestEnded)


def test_requests_cut_by_the_shutdown_are_logged() -> None:
    """Requests cut by the shutdown must be logged."""
    line = curio.run(stop_before_an_answer)[0]
    assert line.request_id == 'mine'
    assert line.detail['cause'] == Cause.stopping
