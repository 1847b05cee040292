"""Limits of callers' connections."""

from __future__ import annotations

import curio
import pytest
from curio import socket

from ospreyford.direct.catalog import RetryMode
from ospreyford.http.message import Limits
from tests.direct import backends as be
from tests.direct.test_program import Entry

ONCE = be.make_route(RetryMode.once)
LIMITS = Limits(
    head_seconds=0.2,
    idle_seconds=0.3,
    body_seconds=0.2,
    head_bytes=600,
    body_bytes=50,
    stall_seconds=1,
)
START = b'POST /a/x HTTP/1.1\r\nhost: host\r\nx-id: mine\r\nx-key: good-key\r\n'
CHUNK = b'20\r\n%b\r\n' % (b'b' * 32)


def sized(declared: int, sent: int) -> bytes:
    head = b'%bcontent-length: %d\r\n\r\n' % (START, declared)
    return head + bytes(sent)


def chunked(*chunks: bytes) -> bytes:
    head = b'%btransfer-encoding: chunked\r\n\r\n' % START
    return b''.join((head, *chunks, b'0\r\n\r\n'))


def padded(size: int) -> bytes:
    line = b'%bcontent-length: 0\r\nx-pad: %b\r\n\r\n'
    rest = size - len(line % (START, b''))
    return line % (START, b'p' * rest)


async def converse(raw: bytes) -> tuple[bytes, bytes, int]:
    """Send bytes, read the response, then send a request as another caller."""
    site = await be.open_site(ONCE, be.answer)
    catalog = site.context.catalog
    assert catalog is not None
    site.context.catalog = catalog._replace(limits=LIMITS)
    entry = Entry(site)
    await entry.start()
    sock = await socket.create_connection(entry.front)
    await sock.sendall(raw)
    received = b''
    while data := await curio.timeout_after(3, sock.recv, 4096):
        received += data
    await sock.close()
    runs = sum(site.count_runs())
    other = await entry.ask()
    head = await other.read_head()
    return received, b'%d' % head.status, runs


@pytest.mark.parametrize(
    ('raw', 'status', 'runs'),
    [
        (padded(LIMITS.head_bytes - 20), b'200', 1),
        (padded(LIMITS.head_bytes * 3), b'431', 0),
        (sized(LIMITS.body_bytes, LIMITS.body_bytes), b'200', 1),
        (sized(LIMITS.body_bytes + 1, LIMITS.body_bytes + 1), b'413', 0),
        (chunked(CHUNK), b'200', 1),
        (chunked(CHUNK, CHUNK), b'413', 0),
        # The rest of the head, or of the body, is never sent.
        (START, b'408', 0),
        (sized(40, 10), b'408', 0),
        # Nothing is sent: the connection is closed without a response.
        (b'', b'', 0),
        (b'\x00\xff garbage\r\n\r\n', b'400', 0),
    ],
    ids=(
        'head-fits',
        'head-too-long',
        'body-fits',
        'body-too-long',
        'chunks-fit',
        'chunks-too-long',
        'head-too-slow',
        'body-too-slow',
        'idle',
        'garbage',
    ),
)
def test_connection_limits_are_enforced(
    raw: bytes, status: bytes, runs: int
) -> None:
    received, other, ran = curio.run(converse, raw)
    assert received[9:12] == status
    assert ran == runs
    assert other == b'200'
