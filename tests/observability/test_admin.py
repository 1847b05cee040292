from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.http.client import fetch
from ospreyford.http.message import Request
from ospreyford.observability.admin import (
    AdminPort,
    NothingFound,
    Provider,
    Query,
    require_parameter,
)
from ospreyford.observability.metrics import Metrics
from ospreyford.observability.readiness import NoBackend, Unready
from ospreyford.peers.counters import PeerCounters
from ospreyford.settings.sections import Listen


class Status(msgspec.Struct):
    revision: int


async def explain(query: Query) -> dict[str, str]:
    return {'customer': require_parameter(query, 'customer', 'a customer')}


def fail(query: Query) -> object:
    raise ZeroDivisionError


def find_nothing(query: Query) -> object:
    raise NothingFound('request 7')


PROVIDERS: Mapping[str, Provider] = MappingProxyType(
    {
        '/status': lambda _: Status(7),
        '/explain': explain,
        '/fail': fail,
        '/traces': find_nothing,
    }
)


ASCII = st.characters(min_codepoint=33, max_codepoint=126)

# Built past the loader, so that the kernel may choose the port.
LISTEN = Listen(
    data_address='127.0.0.1:1',
    admin_address='127.0.0.1:0',
    peer_address='127.0.0.1:2',
)


def ask_port(
    ask: Callable[[int], Awaitable[object]],
    metrics: Metrics,
    unready: tuple[Unready, ...] = (),
) -> object:
    async def run() -> object:
        port = AdminPort(LISTEN, metrics, PROVIDERS, lambda: unready)
        task = await curio.spawn(port.run)
        try:
            return await ask(port.port)
        finally:
            await task.cancel()

    return curio.run(run)


def get(
    target: str,
    unready: tuple[Unready, ...] = (),
    method: str = 'GET',
) -> tuple[int, str]:
    async def ask(port: int) -> object:
        request = Request(method, target, ())
        head, body = await fetch(('127.0.0.1', port), request)
        return head.status, body.decode()

    return ask_port(ask, Metrics(), unready)  # type: ignore[return-value]


ANSWERS = (
    ('/healthz', (), 200, '{"healthy":true}'),
    ('/readyz', (), 200, '{"ready":true,"reasons":[]}'),
    (
        '/readyz',
        (NoBackend('drafting'),),
        503,
        '{"ready":false,"reasons":[{"kind":"NoBackend","service":"drafting"}]}',
    ),
    ('/status', (), 200, '{"revision":7}'),
    ('/explain?customer=a%20b&customer=c', (), 200, '{"customer":"a b"}'),
    ('/explain', (), 400, 'customer: allowed: a customer'),
    ('/traces?request=7', (), 404, 'request 7'),
    ('/fail', (), 500, 'ZeroDivisionError'),
    ('/none', (), 404, 'known paths: /explain, /fail, /status, /traces'),
    ('//[', (), 400, 'BadTarget'),
)


@pytest.mark.parametrize(('target', 'unready', 'status', 'text'), ANSWERS)
def test_answer(
    target: str, unready: tuple[Unready, ...], status: int, text: str
) -> None:
    found, body = get(target, unready)
    assert found == status
    assert text in body


@pytest.mark.parametrize('method', ['POST', 'DELETE', 'PUT'])
def test_reads_only(method: str) -> None:
    status, body = get('/status', method=method)
    assert status == 405
    assert 'GET only' in body


def test_exposition() -> None:
    metrics = Metrics()
    metrics.requests.requests.labels('drafting', 'answered').inc(3)
    metrics.flow.first_token.labels('drafting').observe(0.2)
    metrics.watch_drops('logs', lambda: 5)
    peers = PeerCounters()
    metrics.watch_peers(peers)
    peers.record_sent('swim', 7)
    text = metrics.render().decode()
    expected = (
        'ospreyford_requests_total{outcome="answered",service="drafting"} 3.0',
        'ospreyford_first_token_seconds_bucket{le="0.25",service="drafting"} 1',
        'ospreyford_dropped_lines_total{buffer="logs"} 5.0',
        'ospreyford_records 0.0',
        'ospreyford_peer_bytes_total{direction="sent",topic="swim"} 7.0',
    )
    for line in expected:
        assert line in text


def test_two_registries() -> None:
    # Symptom: a second entry in one process shows the first one's counts.
    # Cause: the library's global registry.
    first, second = Metrics(), Metrics()
    first.fleet.records.set(9)
    assert b'ospreyford_records 0.0' in second.render()


def test_many_connections() -> None:
    # Symptom: callers are refused for lack of descriptors.
    # Sequence: a scraper that never closes opens connection after
    # connection to the admin port.
    # Cause: no bound on them.
    async def ask(port: int) -> object:
        socks = [
            await curio.open_connection('127.0.0.1', port) for _ in range(65)
        ]
        refused = await curio.timeout_after(5, socks[64].recv, 1)
        await socks[0].close()
        await curio.sleep(0.05)
        _, body = await fetch(
            ('127.0.0.1', port), Request('GET', '/healthz', ())
        )
        for sock in socks[1:]:
            await sock.close()
        return refused, body

    assert ask_port(ask, Metrics()) == (b'', b'{"healthy":true}')


def test_bad_input_is_counted() -> None:
    metrics = Metrics()

    async def ask(port: int) -> object:
        sock = await curio.open_connection('127.0.0.1', port)
        await sock.sendall(b'\0\0\r\n\r\n')
        return await curio.timeout_after(5, sock.recv, 1)

    assert ask_port(ask, metrics) == b''
    assert (
        b'ospreyford_bad_input_total{kind="admin BadMessage"} 1.0'
        in metrics.render()
    )


TARGETS = st.lists(
    st.from_regex(r'\A/[!-~]{0,40}\Z')
    | st.from_regex(r'\A(http:)?//[][:@%/?#0-9a-f]{1,8}\Z')
    | st.text(ASCII, min_size=1),
    min_size=1,
    max_size=8,
)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(targets=TARGETS)
def test_any_target(targets: list[str]) -> None:
    # Symptom: the admin port stops answering after one odd request.
    # Cause: an exception that leaves the connection's task or the port.
    async def ask(port: int) -> object:
        statuses = []
        for target in (*targets, '/healthz'):
            request = Request('GET', target, ())
            head, _ = await fetch(('127.0.0.1', port), request)
            statuses.append(head.status)
        return statuses

    statuses = ask_port(ask, Metrics())
    assert isinstance(statuses, list)
    assert set(statuses) <= {200, 400, 404, 500, 503}
    assert statuses[-1] == 200
