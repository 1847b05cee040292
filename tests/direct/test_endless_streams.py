"""Backends whose streams, or events of them, never end."""

from __future__ import annotations

import time
from typing import Any, NamedTuple

import curio
import pytest

from ospreyford.direct.catalog import RetryMode
from ospreyford.direct.decisions import RequestEnded
from ospreyford.direct.events import EventSplitter
from ospreyford.http.buffers import BufferPool
from ospreyford.http.errors import HttpError
from tests.direct import backends as be
from tests.direct.endlessbackend import (
    CHUNKED,
    HEAD,
    EndlessBackend,
    make_chunk,
)
from tests.http.endless import HELD_SECONDS

TIMEOUT_SECONDS = 2.5
SLACK_SECONDS = 0.5
LAST_EVENT = 3
WHOLE = b''.join(map(be.make_event, range(1, LAST_EVENT + 1)))


class Outcome(NamedTuple):
    """What became of a stream.

    :param is_whole: whether the caller got all of it, and nothing else.
    :param attempts: how the attempts at the two backends ended.
    :param is_late: whether it lasted until its timeout.
    :param closed: connections of the endless backend that the entry closed.
    :param buffered: bytes that the entry keeps in memory.
    """

    is_whole: bool
    attempts: list[str]
    is_late: bool
    closed: int
    buffered: int


async def read_stream(site: be.Site) -> bytes:
    """Read what the caller gets; whole or cut."""
    connection = await site.send()
    received = bytearray()
    try:
        await connection.read_head()
        async for piece in connection.read_pieces():
            received.extend(piece)
    except HttpError:
        received.extend(b'(cut)')
    await connection.close()
    return bytes(received)


async def ask(endless: EndlessBackend, mode: RetryMode) -> Outcome:
    route = be.make_route(mode, streams=True, timeout=TIMEOUT_SECONDS)
    site = await be.open_site(route, be.stream(LAST_EVENT))
    await endless.join(site)
    async with curio.timeout_after(TIMEOUT_SECONDS + SLACK_SECONDS):
        received = await read_stream(site)
    await curio.sleep(0.05)
    ended: Any = site.log.find(RequestEnded)[0]
    return Outcome(
        received == WHOLE,
        [one.split(' ')[-1] for one in ended.attempts],
        ended.took_ms >= TIMEOUT_SECONDS * 1000,
        endless.closed,
        site.context.pool.reading.buffers.size,
    )


BEGUN = b'%b%b' % (CHUNKED, make_chunk(be.make_event(1)))
ONCE = RetryMode.once
RESUMABLE = RetryMode.resumable
FAST = make_chunk(b'data: %b' % (b'x' * 50_000))
SMALL = make_chunk(b'x')
COMMENT = make_chunk(b': comment\n\n')
#: Bytes after the head; what comes without end, and with which pause; mode of
#: the route; whether the stream gets whole and whether it lasts to its timeout.
CASES = (
    (BEGUN, FAST, 0, RESUMABLE, True, False),
    (BEGUN, FAST, 0, ONCE, False, False),
    (CHUNKED, FAST, 0, RESUMABLE, True, False),
    (BEGUN, SMALL, 0, RESUMABLE, True, False),
    (BEGUN, SMALL, 0, ONCE, False, True),
    (BEGUN, SMALL, 0.02, RESUMABLE, True, False),
    (BEGUN, SMALL, 0.02, ONCE, False, True),
    # To the end of the connection.
    (b'%b\r\n' % HEAD, b'x' * 50_000, 0, RESUMABLE, True, False),
    # Events that are none of the stream, as fast as their caller takes them.
    (BEGUN, COMMENT, 0, ONCE, False, True),
    (BEGUN, make_chunk(b'\n\n' * 4000), 0, ONCE, False, True),
)  # fmt: skip


@pytest.mark.parametrize(
    ('head', 'block', 'pause', 'mode', 'is_whole', 'is_late'), CASES
)
def test_stream_without_end_has_an_outcome(
    head: bytes,
    block: bytes,
    pause: float,
    mode: RetryMode,
    *,
    is_whole: bool,
    is_late: bool,
) -> None:
    """A stream with an event without end was read beyond its timeout."""
    endless = EndlessBackend(head, block, pause)
    outcome = curio.run(ask, endless, mode)
    assert outcome == Outcome(is_whole, outcome.attempts, is_late, 1, 0)


def test_event_without_end_costs_what_its_bytes_cost() -> None:
    """Each piece of a long event cost as much as all before it."""
    splitter = EventSplitter(BufferPool(10_000_000))
    used = time.thread_time()
    for _ in range(4000):
        assert not splitter.add(bytes(1000))
    assert time.thread_time() - used < HELD_SECONDS
