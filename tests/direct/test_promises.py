"""Which responses of backends say that a request has not run."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.direct.catalog import RetryMode
from ospreyford.http.message import Headers
from ospreyford.http.server import Exchange
from tests.direct import backends as be

ONCE = be.make_route(RetryMode.once, attempts=1)
IDEMPOTENT = be.make_route(RetryMode.idempotent)
MARK = (b'x-refused', b'1')


def respond(status: int, *fields: tuple[bytes, bytes]) -> be.Script:
    async def run(exchange: Exchange) -> None:
        await exchange.respond(status, b'own', fields)

    return run


async def ask(route: Any, *scripts: be.Script) -> tuple[int, Headers]:
    site = await be.open_site(route, *scripts)
    head, _ = await site.ask()
    return head.status, head.headers


@pytest.mark.parametrize('status', [408, 429, 503])
def test_unmarked_status_is_not_passed_on(status: int) -> None:
    """A backend's own 503 was passed on for a request that had run."""
    own = respond(status, (b'x-id', b'mine'), (b'x-seal', b's'))
    got, headers = curio.run(ask, ONCE, own)
    assert got == 502
    assert b'x-seal' not in dict(headers)


def test_unmarked_status_is_retried_where_that_is_safe() -> None:
    own = respond(503, (b'x-id', b'mine'))
    assert curio.run(ask, IDEMPOTENT, own, own)[0] == 502


@pytest.mark.parametrize(
    ('status', 'fields'),
    [
        (503, (MARK,)),
        (429, (MARK, (b'x-id', b'mine'))),
        (421, (MARK, (b'x-id', b'mine'))),
        (421, ()),
    ],
)
def test_refusal_of_the_request_is_told(status: int, fields: Headers) -> None:
    assert curio.run(ask, ONCE, respond(status, *fields))[0] == 503


@pytest.mark.parametrize('status', [421, 429, 503])
@pytest.mark.parametrize('attempts', [1, 2])
def test_refusal_of_another_request_is_not_taken(
    status: int, attempts: int
) -> None:
    """A refusal that came twice was taken for the next request's."""
    route = be.make_route(RetryMode.once, attempts=attempts)
    late = respond(status, MARK, (b'x-id', b'another'))
    assert curio.run(ask, route, late, late)[0] == 502
