"""Streams with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.direct.catalog import RetryMode
from ospreyford.direct.decisions import RequestEnded
from ospreyford.direct.registry import BackendServer
from ospreyford.http.errors import HttpError
from tests.direct import backends as be
from tests.direct.test_responses import SEALED, RawBackend

HEAD = b'HTTP/1.1 200 OK\r\n%b\r\n' % SEALED
FIRST = be.make_event(1)
ALL = FIRST + be.make_event(2)
INSIDE = ALL[:-4]
CUT = b'(cut)'


async def ask(raw: bytes, ending: str, retry_mode: RetryMode) -> Any:
    backend = RawBackend(raw, ending, reads=True)
    address = await backend.open()
    route = be.make_route(retry_mode, streams=True, max_gap=0.5)
    site = await be.open_site(route, be.stream(2))
    sound = site.context.backends.find('b0')
    assert sound is not None
    # The other backend is tried first.
    sound.in_flight = 5
    site.context.backends.put(
        BackendServer('raw', 'service', *address, 'a', 6, False, 1)
    )
    connection = await site.send()
    pieces = [b'']
    try:
        await connection.read_head()
        async for piece in connection.read_pieces():
            pieces.append(piece)
    except HttpError:
        pieces.append(CUT)
    await connection.close()
    return b''.join(pieces), site


#: Bytes after the head, how the connection ends, whether another backend may
#: go on, and what the caller gets.
CASES = (
    (ALL, 'closed', RetryMode.once, (ALL,)),
    (ALL, 'closed', RetryMode.resumable, (ALL,)),
    # Broken off inside an event, at its end mark, or before the first one.
    (INSIDE, 'closed', RetryMode.once, (FIRST, CUT)),
    (INSIDE, 'closed', RetryMode.resumable, (ALL,)),
    (ALL[:-1], 'closed', RetryMode.resumable, (ALL,)),
    (b'', 'closed', RetryMode.once, (CUT,)),
    (b'', 'closed', RetryMode.resumable, (ALL,)),
    # A reset is no end.
    (ALL, 'reset', RetryMode.once, (ALL, CUT)),
    (FIRST, 'reset', RetryMode.resumable, (ALL,)),
)


@pytest.mark.parametrize(('raw', 'ending', 'retry_mode', 'expected'), CASES)
def test_streams_that_end_with_their_connection(
    raw: bytes,
    ending: str,
    retry_mode: RetryMode,
    expected: tuple[bytes, ...],
) -> None:
    """A stream that was broken off must not look complete."""
    forwarded, site = curio.run(ask, HEAD + raw, ending, retry_mode)
    assert forwarded == b''.join(expected)
    verdict = 'Cut' if CUT in expected else 'Answered'
    assert [one.verdict for one in site.log.find(RequestEnded)] == [verdict]
    # Only connections to the other backend may be used again.
    assert site.context.pool.idle_count == sum(site.count_runs())
