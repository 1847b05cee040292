"""HTTP client of the platform's host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.hosts.messages import HostRow, decode_host
from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request

if TYPE_CHECKING:
    from ospreyford.ports.fleet import Host

OK_STATUS = 200
READ_TIMEOUT_SECONDS = 2.0
_REQUEST = Request('GET', '/v1/hosts', ())


class HostTable(msgspec.Struct, frozen=True):
    """Response body of the host list."""

    hosts: tuple[HostRow, ...]


class HostListClient:
    """Reads the host list.

    :param host: IP address of the platform's service.
    :param port: its port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)

    async def read(self) -> tuple[Host, ...] | None:
        """Read the whole list.

        :returns: the hosts, or ``None`` if the request fails or the response
            is invalid.
        """
        try:
            head, body = await fetch(
                self._address,
                _REQUEST,
                timeout=READ_TIMEOUT_SECONDS,
            )
        except HttpError:
            return None
        if head.status != OK_STATUS:
            return None
        return _decode_hosts(body)


def _decode_hosts(body: bytes) -> tuple[Host, ...] | None:
    try:
        host_table = msgspec.json.decode(body, type=HostTable)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return tuple(decode_host(row) for row in host_table.hosts)
