"""Malformed HTTP from callers or backends does not affect other requests."""

from __future__ import annotations

from typing import Any

import curio
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from ospreyford.direct.catalog import RetryMode
from ospreyford.http.errors import HttpError
from tests.direct import backends as be

ONCE = be.make_route(RetryMode.once, timeout=0.3, attempts=1)
HEAD = b'HTTP/1.1 200 OK\r\nx-id: mine\r\nx-seal: s\r\n'
#: Statuses for an unknown outcome.
UNKNOWN = frozenset((502, 504))


async def meet_garbage(raw: bytes) -> tuple[int, bytes]:
    async def answer_raw(exchange: Any) -> None:
        await exchange._connection._sock.sendall(raw)  # noqa: SLF001
        raise curio.CancelledError

    site = await be.open_site(ONCE, answer_raw)
    head, _ = await site.ask()
    site.backends[0].script = be.answer
    _, body = await site.ask()
    return head.status, body


BROKEN_ANSWERS = (
    b'',
    HEAD,
    b'%bcontent-length: 9\r\n\r\nhalf' % HEAD,
    b'%btransfer-encoding: chunked\r\n\r\n4\r\nhalf' % HEAD,
    b'%btransfer-encoding: chunked\r\n\r\nzz\r\n' % HEAD,
    b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx',
    b'HTTP/1.1 999 \r\n\r\n',
)


@pytest.mark.parametrize('raw', BROKEN_ANSWERS)
def test_malformed_responses_of_a_backend(raw: bytes) -> None:
    status, following = curio.run(meet_garbage, raw)
    assert status in UNKNOWN
    assert following == b'whole'


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.binary(max_size=60))
def test_random_responses_of_a_backend(raw: bytes) -> None:
    status, following = curio.run(meet_garbage, raw)
    assert status in UNKNOWN
    assert following == b'whole'


async def send_garbage(raw: bytes) -> bytes:
    site = await be.open_site(ONCE, be.answer)
    sock = await curio.open_connection(*site.address)
    async with sock:
        await sock.sendall(raw)
        _, body = await site.ask()
        return bytes(body)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.binary(max_size=60))
@example(b'GET /a/x HTTP/1.1\r\n\r\n')
@example(b'POST /a/x HTTP/1.1\r\nhost: host\r\ncontent-length: -1\r\n\r\n')
@example(b'POST /a/x HTTP/1.1\r\nhost: host\r\nx-deadline: x\r\n\r\n')
def test_random_bytes_of_a_caller(raw: bytes) -> None:
    assert curio.run(send_garbage, raw) == b'whole'


async def ask_with(fields: list[tuple[bytes, bytes]]) -> int | None:
    site = await be.open_site(ONCE, be.answer)
    try:
        head, _ = await site.ask(headers=tuple(fields))
    except HttpError:
        return None
    return head.status


FIELD = st.sampled_from(
    (b'x-deadline', b'last-event-id', b'x-key', b'host', b'connection')
)
VALUE = st.from_regex(rb'\A[!-~]{0,12}\Z')


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(FIELD, VALUE), max_size=3))
def test_random_fields_of_a_caller(fields: list[tuple[bytes, bytes]]) -> None:
    status = curio.run(ask_with, fields)
    assert status in {None, 200, 401, 404, 503, 504}
