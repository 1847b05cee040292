"""What processes ask each other of the host list, in MessagePack."""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec

from ospreyford.ports.fleet import Host, HostState
from ospreyford.ports.sharing import share_host

HOST_QUERY_TOPIC: Final = 'hosts.rows'

_Message = TypeVar('_Message')


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


class HostKey(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the listing of one instance."""

    name: str
    instance: str


class HostResponse(msgspec.Struct, frozen=True, array_like=True):
    """What the answerer knows of the instances asked for.

    :param rows: their listings.
    :param gone: names that a list it read a short time ago does not have.
    """

    listings: tuple[HostRow, ...]
    unlisted_names: tuple[str, ...]


def decode_host(row: HostRow) -> Host:
    """Take a listing from the wire.

    :param row: the listing.
    :returns: the host.
    """
    return share_host(Host(**msgspec.structs.asdict(row)))


def encode_host(host: Host) -> HostRow:
    """Prepare a listing for the wire.

    :param host: the host.
    :returns: the listing.
    """
    return HostRow(**(host._asdict() | {'labels': dict(host.labels)}))


def decode(body: bytes, message_type: type[_Message]) -> _Message | None:
    """Read a message.

    :param body: the bytes received.
    :param kind: the message expected.
    :returns: the message, or ``None`` if the body is none.
    """
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
