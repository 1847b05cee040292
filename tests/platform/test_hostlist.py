"""Host list client with valid and invalid responses."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.http.server import listen, port_of
from ospreyford.platform.hostlist import HostListClient

ROW = (
    b'{"name":"a","instance":"i","role":"backend","zone":"z","region":"r",'
    b'"service":"s","data_address":"d","peer_address":"p","state":"%b"}'
)
DEEPLY_NESTED = b'{"x":%b' % (b'[' * 100_000)


def make_response(body: bytes, status: bytes = b'200 OK') -> bytes:
    length = b'content-length: %d' % len(body)
    return b'HTTP/1.1 %b\r\n%b\r\n\r\n%b' % (status, length, body)


LIVE = make_response(b'{"hosts":[%b],"more":1}' % (ROW % b'live'))


@pytest.mark.parametrize(
    ('raw', 'names'),
    [
        (LIVE, ['a']),
        (make_response(b'{"hosts":[]}'), []),
        (LIVE[:-9], None),
        (make_response(b'{"hosts":[%b]}' % (ROW % b'odd')), None),
        (make_response(b'{"hosts":[{}]}'), None),
        (make_response(b'{"hosts":"\xff"}'), None),
        (make_response(DEEPLY_NESTED), None),
        (make_response(b'', b'503 Down'), None),
        (b'nonsense\r\n\r\n', None),
        (b'', None),
    ],
)
def test_invalid_host_list_is_not_read(
    raw: bytes, names: list[str] | None
) -> None:
    """An invalid response must not end the reading task with an error."""

    async def serve(sock: Any) -> None:
        client, _ = await sock.accept()
        async with client:
            await client.recv(65_536)
            await client.sendall(raw)

    async def main() -> Any:
        sock = listen('127.0.0.1', 0)
        async with sock:
            await curio.spawn(serve, sock, daemon=True)
            return await HostListClient('127.0.0.1', port_of(sock)).read()

    hosts = curio.run(main)
    assert (hosts is None) is (names is None)
    assert [one.name for one in hosts or ()] == (names or [])
