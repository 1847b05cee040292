"""A TCP proxy that delays, silences, cuts or resets what it carries.

It takes connections on ``--listen`` and passes them to ``--upstream`` (an
``ip:port``); ``POST /control`` on ``--port`` takes one of the modes of
:mod:`ospreyford.standins.links`, such as ``{"mode": "silent"}``. Its port
line names both: ``{"port": control, "listen": proxied}``. TCP keeps the order
of bytes, so the proxy cannot reorder or duplicate; that is done to frames or
messages, at the ports.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import curio
import msgspec

from ospreyford.http.server import Exchange, listen, port_of
from ospreyford.standins.journal import Journal
from ospreyford.standins.links import (
    AnyMode,
    Direction,
    Link,
    Reset,
    Silence,
    Valve,
)
from ospreyford.standins.process import (
    LOOPBACK,
    accept_forever,
    announce,
    find_route,
    read_options,
    refuse,
    respond_journal,
    respond_json,
    serve_forever,
)

if TYPE_CHECKING:
    from curio.io import Socket


@dataclass(frozen=True)
class ProxyOptions:
    """Options; ``port`` is the control port, ``listen`` the proxied one."""

    upstream: str
    port: int = 0
    listen: int = 0


class FaultProxy:
    """The proxy's connections and its control.

    :param options: the proxy's options.
    """

    def __init__(self, options: ProxyOptions) -> None:
        host, _, port = options.upstream.rpartition(':')
        self._upstream = (host, int(port))
        self._valve = Valve()
        self._journal = Journal()
        self._links: dict[curio.Task, Link] = {}

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request on the control port.

        :param exchange: the exchange to answer.
        """
        route = find_route(exchange.request)
        match (route.method, route.path):
            case ('POST', ('control',)):
                await self._control(exchange)
            case ('GET', ('journal',)):
                await respond_journal(exchange, self._journal)
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def proxy(self, caller: Socket) -> None:
        """Carry one connection to its end.

        :param caller: the accepted socket; closed at the end.
        """
        try:
            upstream = await curio.open_connection(*self._upstream)
        except OSError:
            self._journal.record('refused')
            await caller.close()
            return
        link = Link(caller, upstream, self._valve)
        task = await curio.current_task()
        self._links[task] = link
        serial = self._journal.record('opened').serial
        try:
            await self._carry(link)
        finally:
            self._links.pop(task)
            self._journal.record(
                'closed',
                opened=serial,
                up=link.passed[Direction.up],
                down=link.passed[Direction.down],
            )

    async def _carry(self, link: Link) -> None:
        match self._valve.mode:
            case Silence(new=True) as silence:
                link.note_mode(silence)
            case Reset(new=True):
                link.linger_none()
                await link.close()
                return
            case _:
                """Everything else is suffered while bytes pass."""
        await link.carry()

    async def _control(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        mode: AnyMode = msgspec.json.decode(body, type=AnyMode)
        for link in self._links.values():
            link.note_mode(mode)
        await self._valve.set(mode)
        if isinstance(mode, Reset):
            await self._reset_all()
        self._journal.record('mode', body=body.decode())
        await respond_json(exchange, {'connections': len(self._links)})

    async def _reset_all(self) -> None:
        doomed = list(self._links.items())
        while doomed:
            task, link = doomed.pop()
            link.linger_none()
            await task.cancel()


async def _run(options: ProxyOptions) -> None:
    proxy = FaultProxy(options)
    proxied = listen(LOOPBACK, options.listen)
    control = listen(LOOPBACK, options.port)
    announce(port=port_of(control), listen=port_of(proxied))
    await curio.spawn(accept_forever, proxied, proxy.proxy, daemon=True)
    await serve_forever(control, proxy.serve)


def main() -> None:
    """Run the proxy."""
    curio.run(_run, read_options(ProxyOptions))


if __name__ == '__main__':
    main()
