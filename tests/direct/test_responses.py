"""Raw responses of backends: framed, unframed, early, broken, extra."""

from __future__ import annotations

import struct
from typing import Any

import curio
import pytest
from curio import socket

from ospreyford.direct.catalog import RetryMode
from ospreyford.direct.decisions import RequestEnded
from ospreyford.direct.registry import BackendServer
from ospreyford.http.server import listen, port_of
from tests.direct import backends as be
from tests.fakes.loopback import next_address

ONCE = be.make_route(RetryMode.once)
SEALED = b'x-id: mine\r\nx-seal: s\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n%b\r\nwhole' % SEALED
FRAMED = b'HTTP/1.1 200 OK\r\n%bcontent-length: 5\r\n\r\nwhole' % SEALED
SHORT = b'HTTP/1.1 200 OK\r\n%bcontent-length: 9\r\n\r\nwhole' % SEALED
CHUNKS = (
    b'HTTP/1.1 200 OK\r\n%btransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n'
    % SEALED
)
ALL_CHUNKS = b'%b0\r\n\r\n' % CHUNKS
HINT = b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n%b' % FRAMED
OTHER = FRAMED.replace(b'mine', b'yours').replace(b'whole', b'other')
RESET = struct.pack('ii', 1, 0)


class RawBackend:
    """A backend that sends given bytes and ends the connection as set."""

    def __init__(self, raw: bytes, ending: str, *, reads: bool) -> None:
        self._raw = raw
        self._ending = ending
        self._reads = reads

    async def open(self) -> tuple[str, int]:
        host = next_address()
        sock = listen(host, 0)
        await curio.spawn(self._accept, sock, daemon=True)
        return host, port_of(sock)

    async def _accept(self, sock: Any) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(self._answer, client, daemon=True)

    async def _answer(self, client: Any) -> None:
        async with client:
            while True:
                if not self._reads:
                    await client.sendall(self._raw)
                if not await client.recv(65_536):
                    return
                if self._reads:
                    await client.sendall(self._raw)
                if self._ending != 'kept':
                    break
            if self._ending == 'reset':
                # The data must have been read before the reset discards it.
                await curio.sleep(0.05)
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


async def ask(raw: bytes, ending: str, reads: bool) -> Any:
    backend = RawBackend(raw, ending, reads=reads)
    address = await backend.open()
    site = await be.open_site(ONCE)
    site.context.backends.put(
        BackendServer('raw', 'service', *address, 'a', 6, False, 1)
    )
    answers = []
    for _ in range(2):
        head, body = await site.ask()
        answers.append((head.status, body if head.status == 200 else b''))
        # Give the entry time to see how the connection ended.
        await curio.sleep(0.1)
    return answers, site


@pytest.mark.parametrize('reads', [True, False], ids=('late', 'early'))
@pytest.mark.parametrize(
    ('raw', 'ending', 'expected'),
    [
        (FRAMED, 'closed', (200, b'whole')),
        (FRAMED, 'reset', (200, b'whole')),
        (UNFRAMED, 'closed', (200, b'whole')),
        (ALL_CHUNKS, 'closed', (200, b'whole')),
        (HINT, 'kept', (200, b'whole')),
        # Bytes after a complete response are dropped.
        (FRAMED + OTHER, 'kept', (200, b'whole')),
        # An incomplete response must not be forwarded.
        (UNFRAMED, 'reset', (502, b'')),
        (SHORT, 'closed', (502, b'')),
        (CHUNKS, 'closed', (502, b'')),
        (OTHER, 'kept', (502, b'')),
        (b'\x16\x03\x01garbage\r\n\r\n', 'kept', (502, b'')),
        (b'HTTP/1.1 200 OK\r\n', 'closed', (502, b'')),
        (b'', 'closed', (502, b'')),
    ],
)
def test_only_complete_responses_are_forwarded(
    raw: bytes, ending: str, expected: tuple[int, bytes], reads: bool
) -> None:
    """Incomplete or foreign responses must not be forwarded.

    The request is sent twice: nothing of the first response may remain.
    """
    answers, site = curio.run(ask, raw, ending, reads)
    assert answers == [expected, expected]
    assert len(site.log.find(RequestEnded)) == 2
