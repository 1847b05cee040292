"""A port that serves a process's figures and nothing else."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.http.connections import accept_next
from ospreyford.http.message import Limits
from ospreyford.http.server import listen, serve_connection

if TYPE_CHECKING:
    from curio.io import Socket

    from ospreyford.http.server import Exchange

OK: Final = 200
CONTENT_TYPE: Final = (b'content-type', b'text/plain; version=0.0.4')


async def accept(
    sock: Socket, handler: Callable[[Exchange], Awaitable[None]]
) -> None:
    """Serve a small port, for as long as the process lives.

    :param sock: the listening socket.
    :param handler: answers each request.
    """
    async with sock:
        while True:
            client = await accept_next(sock)
            await curio.spawn(
                serve_connection, client, Limits(), handler, daemon=True
            )


class FigureServer:
    """Serves figures as text.

    :param render: renders them for each request.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    async def start(self, host: str, port: int) -> None:
        """Serve for as long as the process lives, in a task of its own.

        :param host: the IP number to bind.
        :param port: the port.
        :raises OSError: the address is taken or not ours.
        """
        sock = listen(host, port)
        await curio.spawn(accept, sock, self._answer, daemon=True)

    async def _answer(self, exchange: Exchange) -> None:
        await exchange.respond(OK, self._render(), (CONTENT_TYPE,))
