"""Answers that never end."""

from __future__ import annotations

import math
import time
import tracemalloc
from typing import Any

import curio
import pytest

from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from tests.http.endless import HELD_SECONDS, EndlessSocket, Ticker

GET = Request('GET', '/', ((b'host', b'x'),))
TIMEOUT_SECONDS = 0.3
#: Part of the processor that endless answers may use together.
MAX_SHARE = 0.5
#: Memory of 200 endless answers, in bytes (issue 59).
MAX_MEMORY_BYTES = 5_000_000
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD


def make_chunk(size: int) -> bytes:
    return b'%x\r\n%b\r\n' % (size, bytes(size))


#: Name, what comes first, and what comes without end.
ENDLESS = (
    ('chunks of 1 byte', CHUNKED, make_chunk(1)),
    ('chunks of 16 bytes', CHUNKED, make_chunk(16)),
    ('chunks of 1024 bytes', CHUNKED, make_chunk(1024)),
    ('chunks of 100 kB', CHUNKED, make_chunk(100_000)),
    ('chunk extensions', CHUNKED, b'1;%b\r\nx\r\n' % (b'e' * 2000)),
    ('length', b'%bContent-Length: 1000000000000\r\n\r\n' % HEAD, bytes(9999)),
    ('end of the connection', b'%b\r\n' % HEAD, bytes(9999)),
    ('heads with status 100', b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    ('heads with status 102', b'', b'HTTP/1.1 102 x\r\nA: b\r\n\r\n'),
    ('status line', b'HTTP/1.1 200 ', b'O'),
    ('field', b'%bA: ' % HEAD, b'b'),
    ('fields', HEAD, b'A: b\r\n'),
    ('chunk size', CHUNKED, b'0'),
    ('chunk extension', b'%b1;' % CHUNKED, b'e'),
    ('trailers', b'%b0\r\n' % CHUNKED, b'A: b\r\n'),
    ('trailer', b'%b0\r\nA: ' % CHUNKED, b'b'),
    ('empty lines', b'', b'\r\n'),
)


async def read_answer(head: bytes, block: bytes, ticker: Ticker) -> None:
    """Read an answer until its time limit, or until it is given up."""
    sock: Any = EndlessSocket(head, block, ticker)
    connection = ClientConnection(sock)
    await connection.send(GET)
    try:
        async with curio.timeout_after(TIMEOUT_SECONDS):
            await connection.read_head()
            await connection.read_body()
    except (HttpError, curio.TaskTimeout):
        return
    pytest.fail('an answer without end has ended')


@pytest.mark.parametrize(
    ('head', 'block'),
    [case[1:] for case in ENDLESS],
    ids=[case[0] for case in ENDLESS],
)
def test_answer_without_end_does_not_hold_the_loop(
    head: bytes, block: bytes
) -> None:
    """One endless answer stopped an entry: no time limit, no other request."""

    async def main() -> None:
        ticker = Ticker()
        await curio.spawn(ticker.run, daemon=True)
        await read_answer(head, block, ticker)

    curio.run(main)


def test_many_answers_without_end_use_part_of_the_processor() -> None:
    """Many endless answers at once kept others from the processor."""

    async def main() -> tuple[float, float]:
        ticker = Ticker()
        await curio.spawn(ticker.run, daemon=True)
        for _, head, block in ENDLESS * 12:
            await curio.spawn(read_again, head, block, ticker, daemon=True)
        await curio.sleep(2 * TIMEOUT_SECONDS)
        share = await measure_processor_share(2)
        return share, ticker.longest_held

    share, longest_held = curio.run(main)
    assert longest_held < HELD_SECONDS
    assert share < MAX_SHARE


async def read_again(head: bytes, block: bytes, ticker: Ticker) -> None:
    sock: Any = EndlessSocket(head, block, ticker)
    connection = ClientConnection(sock)
    await connection.send(GET)
    try:
        await connection.read_head()
        await connection.read_body()
    except HttpError:
        return


async def measure_processor_share(seconds: float) -> float:
    began_at = time.monotonic()
    used = time.thread_time()
    await curio.sleep(seconds)
    return (time.thread_time() - used) / (time.monotonic() - began_at)


def test_many_answers_without_end_need_little_memory() -> None:
    """Endless answers took a process beyond its memory."""

    async def main() -> int:
        # Tracing slows the reader down: others are not looked at here.
        ticker = Ticker(math.inf)
        began_with, _ = tracemalloc.get_traced_memory()
        for number in range(200):
            _, head, block = ENDLESS[number % len(ENDLESS)]
            await curio.spawn(read_again, head, block, ticker, daemon=True)
        await curio.sleep(4)
        return tracemalloc.get_traced_memory()[1] - began_with

    tracemalloc.start()
    try:
        assert curio.run(main) < MAX_MEMORY_BYTES
    finally:
        tracemalloc.stop()
