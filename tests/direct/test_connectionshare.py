"""Connections that a backend accepts from all entries together."""

from __future__ import annotations

from typing import NamedTuple

import curio
import pytest

from ospreyford.direct.catalog import RetryMode, Service
from ospreyford.http.message import find_header
from ospreyford.http.server import Exchange
from tests.direct import backends as be

ROUTE = be.make_route(RetryMode.idempotent, timeout=8.0)
ENTRIES = be.SETTINGS.retries.assumed_entries
CALLERS = 12


class CountingBackend:
    """A backend that counts the connections with a request."""

    def __init__(self) -> None:
        self.running = 0
        self.most = 0

    async def serve(self, exchange: Exchange) -> None:
        self.running += 1
        self.most = max(self.most, self.running)
        await curio.sleep(0.3)
        self.running -= 1
        await be.answer(exchange)


class Result(NamedTuple):
    """What callers that came at the same time got.

    :param most: most connections with a request at the backend.
    :param statuses: of the responses.
    :param retry_times: values of ``Retry-After`` in the refusals.
    """

    most: int
    statuses: list[int]
    retry_times: list[bytes | None]


async def ask_at_once(max_connections: int) -> Result:
    counting = CountingBackend()
    site = await be.open_site(ROUTE, counting.serve)
    catalog = site.context.catalog
    assert catalog is not None
    service = Service('service', max_connections, None)
    site.context.catalog = catalog._replace(services={'service': service})
    tasks = [await curio.spawn(site.ask) for _ in range(CALLERS)]
    heads = [(await task.join())[0] for task in tasks]
    return Result(
        counting.most,
        [head.status for head in heads],
        [
            find_header(head.headers, b'retry-after')
            for head in heads
            if head.status != 200
        ],
    )


@pytest.mark.parametrize('max_connections', [8, 24, 60])
def test_entries_share_the_connections_of_a_backend(
    max_connections: int,
) -> None:
    """A backend resets what all entries open beyond its maximum."""
    got = curio.run(ask_at_once, max_connections)
    assert 0 < got.most <= max_connections / ENTRIES
    assert set(got.statuses) == {200, 503}
    assert got.statuses.count(200) >= got.most
    assert all(got.retry_times)


async def ask_while_entries_start() -> tuple[int, int]:
    site = await be.open_site(ROUTE, CountingBackend().serve)
    tasks = [await curio.spawn(site.ask) for _ in range(CALLERS)]
    for task in tasks:
        await task.join()
    idle = site.context.pool.idle_count
    site.context.record_entry_count(1000)
    for _ in range(idle):
        await site.ask()
    return idle, site.context.pool.idle_count


def test_idle_connections_are_closed_as_entries_start() -> None:
    """Idle connections of many entries must not exceed the maximum."""
    idle, later = curio.run(ask_while_entries_start)
    assert idle > 1
    assert later == 1


def test_a_large_maximum_refuses_nobody() -> None:
    got = curio.run(ask_at_once, 1000)
    assert got.statuses == [200] * CALLERS
