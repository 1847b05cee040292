"""A backend whose responses never end."""

from __future__ import annotations

from typing import Any

import curio

from ospreyford.direct.registry import BackendServer
from ospreyford.http.server import listen, port_of
from tests.direct import backends as be
from tests.fakes.loopback import next_address

HEAD = b'HTTP/1.1 200 OK\r\nx-id: mine\r\nx-seal: s\r\n'
CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % HEAD


def make_chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


class EndlessBackend:
    """Sends a block again and again until the entry closes.

    :param head: bytes that come first.
    :param block: bytes that come without end.
    :param pause: seconds between two blocks.
    """

    def __init__(self, head: bytes, block: bytes, pause: float = 0) -> None:
        self.runs = 0
        self.closed = 0
        self._head = head
        self._block = block
        self._pause = pause

    async def join(self, site: be.Site) -> None:
        """Register at an entry, where it is selected first."""
        host = next_address()
        sock = listen(host, 0)
        await curio.spawn(self._accept, sock, daemon=True)
        for sound in site.context.backends.list_all('service'):
            sound.in_flight = 5
        site.context.backends.put(
            BackendServer(
                'endless', 'service', host, port_of(sock), 'a', 6, False, 1
            )
        )

    async def _accept(self, sock: Any) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(self._send, client, daemon=True)

    async def _send(self, client: Any) -> None:
        async with client:
            # The entry may only look whether the backend is there.
            if not await client.recv(65_536):
                return
            self.runs += 1
            try:
                await client.sendall(self._head)
                while True:
                    await client.sendall(self._block)
                    await curio.sleep(self._pause)
            except OSError:
                self.closed += 1
