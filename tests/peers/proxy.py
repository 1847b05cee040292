from __future__ import annotations

from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from curio.io import Socket


class BlackholeProxy:
    """TCP proxy that can blackhole its open connections, but not new ones."""

    def __init__(self, upstream: str) -> None:
        host, port = upstream.split(':')
        self._upstream = (host, int(port))
        self.address = ''
        self.accepted = 0
        self._last_blackholed = 0
        self._server: curio.Task | None = None

    async def start(self) -> None:
        sock = curio.network.tcp_server_socket('127.0.0.1', 0)
        host, port = sock.getsockname()
        self.address = f'{host}:{port}'
        self._server = await curio.spawn(
            curio.network.run_server, sock, self._relay_both, daemon=True
        )

    def blackhole_open_connections(self) -> None:
        """Discard all data on the currently open connections."""
        self._last_blackholed = self.accepted

    async def stop(self) -> None:
        if self._server:
            await self._server.cancel()

    async def _relay_both(self, client: Socket, _address: object) -> None:
        self.accepted += 1
        number = self.accepted
        server = await curio.open_connection(*self._upstream)
        back = await curio.spawn(
            self._relay, number, server, client, daemon=True
        )
        await self._relay(number, client, server)
        await back.cancel()
        await server.close()

    async def _relay(self, number: int, source: Socket, sink: Socket) -> None:
        while received := await source.recv(65_536):
            if number > self._last_blackholed:
                await sink.sendall(received)
