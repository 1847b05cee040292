"""Backends whose responses never end."""

from __future__ import annotations

from typing import Any, NamedTuple

import curio
import pytest

from ospreyford.direct.catalog import RetryMode
from ospreyford.direct.decisions import RequestEnded
from tests.direct import backends as be
from tests.direct.endlessbackend import (
    CHUNKED,
    HEAD,
    EndlessBackend,
    make_chunk,
)

#: The timeout of the route, and the time in which its response must follow.
TIMEOUT_SECONDS = 1.0
SLACK_SECONDS = 0.5


class Outcome(NamedTuple):
    """What a caller got.

    :param status: the status of the response.
    :param runs: requests that the endless backend and the sound one got.
    :param cause: why the first attempt has no response.
    :param closed: connections of the endless backend that the entry closed.
    :param buffered: bytes that the entry keeps in memory.
    """

    status: int
    runs: list[int]
    cause: str
    closed: int
    buffered: int


async def ask(endless: EndlessBackend, mode: RetryMode) -> Outcome:
    route = be.make_route(mode, timeout=TIMEOUT_SECONDS)
    site = await be.open_site(route, be.answer)
    await endless.join(site)
    async with curio.timeout_after(TIMEOUT_SECONDS + SLACK_SECONDS):
        head, _ = await site.ask()
    await curio.sleep(0.05)
    ended: Any = site.log.find(RequestEnded)[0]
    return Outcome(
        head.status,
        [endless.runs, *site.count_runs()],
        ended.detail.get('cause', ''),
        endless.closed,
        site.context.pool.reading.buffers.size,
    )


LARGE = make_chunk(bytes(50_000))
SMALL = make_chunk(b'x')
LENGTH = b'%bcontent-length: 9000000000\r\n\r\n' % HEAD
UNFRAMED = b'%b\r\n' % HEAD
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
WHOLE = b'%bcontent-length: 5\r\n\r\nwhole' % HEAD
REFUSAL = CHUNKED.replace(b'200 OK\r\n', b'503 No\r\nx-refused: 1\r\n')
FAILURE = CHUNKED.replace(b'200 OK', b'500 No')
OVERSIZED = 'answer of the back end too large'
LOST = 'connection to the back end lost'
OUT_OF_TIME = 'time is up'
#: Head, block, pause between blocks; mode of the route; status, runs, cause.
CASES = (
    # Beyond the limit of memory: at once.
    (CHUNKED, LARGE, 0, RetryMode.once, 502, [1, 0], OVERSIZED),
    (CHUNKED, LARGE, 0, RetryMode.idempotent, 200, [1, 1], ''),
    (LENGTH, bytes(50_000), 0, RetryMode.once, 502, [1, 0], OVERSIZED),
    (UNFRAMED, bytes(50_000), 0, RetryMode.once, 502, [1, 0], OVERSIZED),
    # Within it: at the timeout.
    (CHUNKED, SMALL, 0, RetryMode.once, 504, [1, 0], OUT_OF_TIME),
    (CHUNKED, SMALL, 0.01, RetryMode.once, 504, [1, 0], OUT_OF_TIME),
    (CHUNKED, SMALL, 0.01, RetryMode.idempotent, 504, [1, 0], OUT_OF_TIME),
    (b'', CONTINUE, 0, RetryMode.once, 504, [1, 0], OUT_OF_TIME),
    (b'', CONTINUE, 0.01, RetryMode.once, 504, [1, 0], OUT_OF_TIME),
    # After a whole answer; after a refusal, which says that it has not run.
    (WHOLE, CONTINUE, 0, RetryMode.once, 200, [1, 0], ''),
    (WHOLE, b'x' * 500, 0.01, RetryMode.once, 200, [1, 0], ''),
    (REFUSAL, SMALL, 0, RetryMode.once, 200, [1, 1], ''),
    (FAILURE, LARGE, 0, RetryMode.once, 502, [1, 0], OVERSIZED),
    (FAILURE, SMALL, 0, RetryMode.once, 504, [1, 0], OUT_OF_TIME),
    # No head: its size is limited.
    (b'%bx-y: ' % HEAD, b'z' * 500, 0, RetryMode.once, 502, [1, 0], LOST),
    (HEAD, b'x-y: z\r\n' * 50, 0, RetryMode.idempotent, 200, [1, 1], ''),
)  # fmt: skip


@pytest.mark.parametrize(
    ('head', 'block', 'pause', 'mode', 'status', 'runs', 'cause'), CASES
)
def test_response_without_end_has_an_outcome(
    head: bytes,
    block: bytes,
    pause: float,
    mode: RetryMode,
    status: int,
    runs: list[int],
    cause: str,
) -> None:
    """A response without end was read beyond the request's timeout."""
    endless = EndlessBackend(head, block, pause)
    outcome = curio.run(ask, endless, mode)
    assert outcome == Outcome(status, runs, cause, 1, 0)
