"""Prefix of datagrams between members of a group."""

from __future__ import annotations

from struct import Struct
from typing import Final, NamedTuple

#: First byte of a datagram between members of a group; msgpack has none such.
GROUP_MARK: Final = 0xC1
_GROUP_PREFIX: Final = Struct('!BI')


class GroupDatagram(NamedTuple):
    """A received datagram of a group's member.

    :param tag: short form of the key of the sender's group.
    :param payload: the encoded message.
    """

    tag: int
    payload: bytes


def add_group(tag: int, payload: bytes) -> bytes:
    """Address an encoded message to the members of a group.

    :param tag: short form of the group's key.
    :param payload: the encoded message.
    :returns: the datagram.
    """
    return _GROUP_PREFIX.pack(GROUP_MARK, tag) + payload


def split_group(datagram: bytes) -> GroupDatagram | None:
    """Split a datagram between members of a group.

    :param datagram: the received bytes.
    :returns: tag and payload; ``None`` if it is meant for no group.
    """
    size = _GROUP_PREFIX.size
    if len(datagram) <= size or datagram[0] != GROUP_MARK:
        return None
    _, tag = _GROUP_PREFIX.unpack_from(datagram)
    return GroupDatagram(tag, datagram[size:])
