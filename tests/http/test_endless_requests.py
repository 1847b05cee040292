"""Callers whose requests never end."""

from __future__ import annotations

import math
import tracemalloc
from typing import Any

import curio
import pytest

from ospreyford.http.connections import OpenConnections
from ospreyford.http.errors import BufferFull, HttpError
from ospreyford.http.message import Limits
from ospreyford.http.server import (
    Exchange,
    ServerConnection,
    serve_connection,
)
from tests.http.endless import HELD_SECONDS, EndlessSocket, Ticker
from tests.http.test_endless_answers import (
    MAX_MEMORY_BYTES,
    MAX_SHARE,
    make_chunk,
    measure_processor_share,
)

LIMITS = Limits(head_seconds=0.3, body_seconds=0.3, body_bytes=1_000_000)
PATIENT = LIMITS._replace(head_seconds=60, body_seconds=60)
BUFFER_BYTES = 2_000_000
HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD
#: Name, what comes first, and what comes without end.
ENDLESS = (
    ('chunks of 1 byte', CHUNKED, make_chunk(1)),
    ('chunks of 16 bytes', CHUNKED, make_chunk(16)),
    ('chunks of 100 kB', CHUNKED, make_chunk(100_000)),
    ('chunk extensions', CHUNKED, b'1;%b\r\nx\r\n' % (b'e' * 2000)),
    ('chunk extension', b'%b1;' % CHUNKED, b'e'),
    ('trailers', b'%b0\r\n' % CHUNKED, b'A: b\r\n'),
    ('request line', b'GET /', b'x'),
    ('field', b'%bA: ' % HEAD, b'b'),
    ('fields', HEAD, b'A: b\r\n'),
    ('empty lines', b'', b'\r\n'),
    ('requests', b'', b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'),
)


async def echo(exchange: Exchange) -> None:
    await exchange.respond(200, await exchange.read_body())


async def ignore(error: HttpError, connection: ServerConnection) -> None:
    """Leave the caller without an answer."""


@pytest.mark.parametrize(
    ('head', 'block'),
    [case[1:] for case in ENDLESS],
    ids=[case[0] for case in ENDLESS],
)
def test_request_without_end_does_not_hold_the_loop(
    head: bytes, block: bytes
) -> None:
    """One caller kept all others from the processor."""

    async def main() -> float:
        ticker = Ticker()
        await curio.spawn(ticker.run, daemon=True)
        sock: Any = EndlessSocket(head, block, ticker)
        async with curio.ignore_after(1):
            await serve_connection(sock, LIMITS, echo, ignore)
        ticker.check()
        assert sock.is_closed
        return ticker.longest_held

    assert curio.run(main) < HELD_SECONDS


def test_many_requests_without_end_use_part_of_the_processor() -> None:
    """Many endless requests at once kept others from the processor."""

    async def main() -> tuple[float, float]:
        ticker = Ticker()
        await curio.spawn(ticker.run, daemon=True)
        await start_many(ticker, OpenConnections(buffer_bytes=BUFFER_BYTES))
        await curio.sleep(0.5)
        share = await measure_processor_share(2)
        return share, ticker.longest_held

    share, longest_held = curio.run(main)
    assert longest_held < HELD_SECONDS
    assert share < MAX_SHARE


def test_many_requests_without_end_need_little_memory() -> None:
    """Unfinished requests took a process beyond its memory."""

    async def main() -> int:
        # Tracing slows the reader down: others are not looked at here.
        ticker = Ticker(math.inf)
        began_with, _ = tracemalloc.get_traced_memory()
        await start_many(ticker, OpenConnections(buffer_bytes=BUFFER_BYTES))
        await curio.sleep(4)
        return tracemalloc.get_traced_memory()[1] - began_with

    tracemalloc.start()
    try:
        assert curio.run(main) < MAX_MEMORY_BYTES
    finally:
        tracemalloc.stop()


async def start_many(ticker: Ticker, siblings: OpenConnections) -> None:
    """Serve 200 callers, of all kinds but those of whole requests."""
    for number in range(200):
        _, head, block = ENDLESS[number % (len(ENDLESS) - 1)]
        sock: Any = EndlessSocket(head, block, ticker)
        await curio.spawn(
            serve_connection,
            sock,
            PATIENT,
            echo,
            ignore,
            siblings,
            daemon=True,
        )


def test_request_without_memory_is_refused() -> None:
    """A request that was dropped unread left its caller without an answer."""
    errors: list[HttpError] = []

    async def refuse(error: HttpError, connection: ServerConnection) -> None:
        errors.append(error)

    async def main() -> None:
        sock: Any = EndlessSocket(CHUNKED, make_chunk(1000), Ticker(math.inf))
        siblings = OpenConnections(buffer_bytes=10_000)
        await serve_connection(sock, LIMITS, echo, refuse, siblings)

    curio.run(main)
    assert errors == [BufferFull(10_000)]
