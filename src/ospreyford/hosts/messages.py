"""Host listing queries between processes, in MessagePack."""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec

from ospreyford.ports.fleet import Host, HostState
from ospreyford.ports.interning import intern_host

HOST_QUERY_TOPIC: Final = 'hosts.rows'

_Message = TypeVar('_Message')


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """A host as sent by the platform; fields as in :class:`Host`."""

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
    """Identifies an instance; also the query for its listing."""

    name: str
    instance: str


class HostResponse(msgspec.Struct, frozen=True, array_like=True):
    """Response to queries for listings.

    :param listings: the known listings.
    :param unlisted_names: names missing from a recently read list.
    """

    listings: tuple[HostRow, ...]
    unlisted_names: tuple[str, ...]


def decode_host(row: HostRow) -> Host:
    """Decode a listing.

    :param row: the listing.
    :returns: the host.
    """
    return intern_host(Host(**msgspec.structs.asdict(row)))


def encode_host(host: Host) -> HostRow:
    """Encode a listing.

    :param host: the host.
    :returns: the listing.
    """
    return HostRow(**(host._asdict() | {'labels': dict(host.labels)}))


def decode(body: bytes, message_type: type[_Message]) -> _Message | None:
    """Decode a message.

    :param body: the encoded message.
    :param message_type: the expected type.
    :returns: the message, or ``None`` if the body is malformed.
    """
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
