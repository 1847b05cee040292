"""The platform's host list, which lags.

``GET /v1/hosts`` answers ``{"hosts": [...]}`` as the list was ``lag_seconds``
ago. ``POST /control`` takes ``{"add": host}``, ``{"leave": name}``,
``{"remove": name}``, ``{"mode": "up" | "down"}`` and ``{"lag_seconds": s}``.
"""

from __future__ import annotations

import math
import time
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Literal, NamedTuple

import msgspec

from ospreyford.http.server import Exchange
from ospreyford.ports.fleet import Host, HostState
from ospreyford.standins.journal import Journal
from ospreyford.standins.process import (
    find_route,
    read_options,
    refuse,
    respond_journal,
    respond_json,
    run,
)

Mode = Literal['up', 'down']


class HostRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A host as the list publishes it: the fields of ``Host`` by name."""

    name: str
    instance: str
    role: str
    zone: str
    region: str
    service: str
    data_address: str
    peer_address: str
    state: HostState = HostState.live
    labels: dict[str, str] = {}


class HostDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /v1/hosts`` and of the file loaded at the start."""

    hosts: tuple[HostRecord, ...]


class Control(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /control``; each field is a change of its own."""

    add: HostRecord | None = None
    leave: str | None = None
    remove: str | None = None
    mode: Mode | None = None
    lag_seconds: float | None = None


@dataclass(frozen=True)
class HostListOptions:
    """Options of the host list; ``hosts`` is a JSON file or empty."""

    port: int = 0
    hosts: str = ''
    lag_seconds: float = 0


def publish_host(host: Host) -> HostRecord:
    """Give a host the form in which the list publishes it.

    :param host: the host.
    :returns: the same fields, encoded by name.
    """
    return msgspec.convert(host._asdict(), HostRecord)


class _Published(NamedTuple):
    at: float
    hosts: tuple[HostRecord, ...]


class HostList:
    """The list, and what it was a while ago.

    :param options: the host list's options.
    """

    def __init__(self, options: HostListOptions) -> None:
        self._lag_seconds = options.lag_seconds
        self._mode: Mode = 'up'
        self._hosts: dict[str, HostRecord] = {}
        self._history: deque[_Published] = deque()
        self._journal = Journal()
        if options.hosts:
            encoded = Path(options.hosts).read_bytes()
            document = msgspec.json.decode(encoded, type=HostDocument)
            self._hosts = {host.name: host for host in document.hosts}
        # What was loaded at the start has been true for ever.
        self._history.append(_Published(-math.inf, tuple(self._hosts.values())))

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request.

        :param exchange: the exchange to answer.
        """
        route = find_route(exchange.request)
        match (route.method, route.path):
            case ('GET', ('v1', 'hosts')):
                await self._list(exchange)
            case ('POST', ('control',)):
                await self._control(exchange)
            case ('GET', ('journal',)):
                await respond_journal(exchange, self._journal)
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def _list(self, exchange: Exchange) -> None:
        self._journal.record('list')
        if self._mode == 'down':
            await refuse(exchange, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        await respond_json(exchange, HostDocument(hosts=self._delayed()))

    async def _control(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        control = msgspec.json.decode(body, type=Control)
        self._mode = control.mode or self._mode
        if control.lag_seconds is not None:
            self._lag_seconds = control.lag_seconds
        self._change(control)
        await respond_json(exchange, {})

    def _change(self, control: Control) -> None:
        if control.add:
            self._hosts[control.add.name] = control.add
        host = self._hosts.get(control.leave or '')
        if host:
            self._hosts[host.name] = msgspec.structs.replace(
                host, state=HostState.leaving
            )
        if control.remove:
            self._hosts.pop(control.remove, None)
        hosts = tuple(self._hosts.values())
        self._history.append(_Published(time.monotonic(), hosts))

    def _delayed(self) -> tuple[HostRecord, ...]:
        horizon = time.monotonic() - self._lag_seconds
        seen = [hosts for at, hosts in self._history if at <= horizon]
        return seen[-1]


def main() -> None:
    """Run the host list."""
    options = read_options(HostListOptions)
    run(HostList(options).serve, options.port)


if __name__ == '__main__':
    main()
