"""Memory of unfinished messages."""

from __future__ import annotations

from typing import Any

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ospreyford.http.buffers import BufferPool, MessageBuffer
from ospreyford.http.client import ClientConnection
from ospreyford.http.errors import BufferFull
from ospreyford.http.message import Request
from ospreyford.http.reading import make_resources
from tests.http.endless import EndlessSocket, Ticker
from tests.http.test_endless_answers import CHUNKED, make_chunk

LIMIT = 100_000
GET = Request('GET', '/', ((b'host', b'x'),))


def fill(pool: BufferPool, *sizes: int) -> list[MessageBuffer]:
    buffers = [pool.open() for _ in sizes]
    for buffer, size in zip(buffers, sizes, strict=True):
        buffer.add(bytes(size))
    return buffers


def test_largest_message_makes_room_for_the_others() -> None:
    """A message without end took the memory of all others."""
    pool = BufferPool(LIMIT)
    small, large = fill(pool, 100, LIMIT - 200)
    small.add(bytes(200))
    assert (len(small), len(large), pool.size) == (300, 0, 300)
    with pytest.raises(BufferFull):
        large.add(b'x')
    assert (pool.size, pool.dropped) == (300, 1)


def test_message_beyond_the_limit_is_dropped_at_once() -> None:
    """Bytes beyond the limit were kept until the answer's timeout."""
    pool = BufferPool(LIMIT)
    with pytest.raises(BufferFull):
        fill(pool, LIMIT + 1)
    assert pool.size == 0


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from(['add', 'take_all', 'close']),
            st.integers(0, 60),
        )
    )
)
def test_size_is_that_of_all_messages(
    steps: list[tuple[int, str, int]],
) -> None:
    """A wrong count would drop sound messages, or bound nothing."""
    pool = BufferPool(100)
    buffers = [pool.open() for _ in range(4)]
    for number, operation, size in steps:
        buffer = buffers[number]
        try:
            match operation:
                case 'add':
                    buffer.add(bytes(size))
                case 'take_all':
                    buffer.take_all()
                case _:
                    buffer.close()
        except BufferFull:
            assert not buffer
        assert pool.size == sum(map(len, buffers))
        assert pool.size <= pool.limit


def test_answer_without_end_is_given_up_for_its_size() -> None:
    """An answer without end took all memory of the process."""

    async def main() -> int:
        ticker = Ticker()
        await curio.spawn(ticker.run, daemon=True)
        sock: Any = EndlessSocket(CHUNKED, make_chunk(1000), ticker)
        resources = make_resources(LIMIT)
        connection = ClientConnection(sock, resources)
        await connection.send(GET)
        await connection.read_head()
        with pytest.raises(BufferFull):
            await curio.timeout_after(5, connection.read_body())
        return resources.buffers.size

    assert not curio.run(main)
