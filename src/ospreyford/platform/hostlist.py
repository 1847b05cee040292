"""The platform's host list over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from ospreyford.ports.fleet import Host, HostState
from ospreyford.ports.sharing import share_host

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ospreyford.ports.clock import Clock
    from ospreyford.ports.hosts import HostListener, HostListPort

OK_STATUS = 200
READ_SECONDS = 2.0
#: Share of the interval by which two readings may differ, so that readers
#: that started together do not go on reading together.
JITTER = 0.2
_REQUEST = Request('GET', '/v1/hosts', ())


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """One host as the platform sends it; fields as in :class:`Host`."""

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


class HostTable(msgspec.Struct, frozen=True):
    """The list as the platform sends it."""

    hosts: tuple[HostRow, ...]


class HostListClient:
    """Reads the host list.

    :param host: IP number of the platform's service.
    :param port: its port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)

    async def read(self) -> tuple[Host, ...] | None:
        """Read the whole list.

        :returns: the hosts, or ``None`` when the platform does not answer or
            sends what is not a host list.
        """
        try:
            head, body = await fetch(
                self._address,
                _REQUEST,
                timeout=READ_SECONDS,
            )
        except HttpError:
            return None
        if head.status != OK_STATUS:
            return None
        return _decode_hosts(body)


async def watch_hosts(
    source: HostListPort,
    listener: HostListener,
    clock: Clock,
    rng: random.Random,
    pace: Callable[[], float],
) -> None:
    """Read the list for ever and tell of each reading that succeeded.

    :param source: the host list.
    :param listener: told of the hosts.
    :param clock: source of time.
    :param rng: source of jitter.
    :param pace: mean seconds until the next reading.
    """
    while True:
        hosts = await source.read()
        # An empty list is a fault of the platform's, not a fleet that is
        # gone: acting on it would refuse every request.
        if hosts:
            listener(hosts)
        spread = 1 + JITTER * (2 * rng.random() - 1)
        await clock.sleep(pace() * spread)


def _decode_hosts(body: bytes) -> tuple[Host, ...] | None:
    try:
        table = msgspec.json.decode(body, type=HostTable)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return tuple(
        share_host(Host(**msgspec.structs.asdict(row))) for row in table.hosts
    )
