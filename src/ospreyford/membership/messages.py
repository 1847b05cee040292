"""What members send each other, in MessagePack arrays."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from ospreyford.membership.member import Condition, Member, Version

PING_TOPIC: Final = 'membership.ping'
INDIRECT_PROBE_TOPIC: Final = 'membership.relay'

_LEAVING_BIT: Final = 4
_CONDITION_BITS: Final = 3
#: Encoded bytes of a change or description beside its strings, at most.
_MAX_OVERHEAD_BYTES: Final = 24

_Message = TypeVar('_Message')


@dataclass(unsafe_hash=True)
class MalformedMessage(Exception):
    """A body that is no message of membership."""

    detail: str


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A version of a member whose description the receiver has.

    ``flags`` is the condition, plus 4 if the member is leaving.
    """

    name: str
    incarnation: str
    counter: int
    flags: int

    def to_version(self) -> Version:
        """Read the version.

        :returns: the version.
        """
        return decode_version(self.incarnation, self.counter, self.flags)

    def estimate_size(self) -> int:
        """Bound the encoded size.

        :returns: bytes.
        """
        return len(self.name) + len(self.incarnation) + _MAX_OVERHEAD_BYTES


class Description(msgspec.Struct, frozen=True, array_like=True):
    """A whole member with its version.

    ``dead_seconds`` tells for how long a dead member has been dead, so that
    all forget it at about the same time.
    """

    name: str
    instance: str
    role: str
    zone: str
    region: str
    service: str
    data_address: str
    peer_address: str
    incarnation: str
    counter: int
    flags: int
    dead_seconds: int

    def to_member(self) -> Member:
        """Read the member; strings shared by many members are kept once.

        :returns: the member.
        """
        return Member(
            name=self.name,
            instance=self.instance,
            role=sys.intern(self.role),
            zone=sys.intern(self.zone),
            region=sys.intern(self.region),
            service=sys.intern(self.service),
            data_address=self.data_address,
            peer_address=self.peer_address,
            incarnation=self.incarnation,
        )

    def to_version(self) -> Version:
        """Read the version.

        :returns: the version.
        """
        return decode_version(self.incarnation, self.counter, self.flags)

    def estimate_size(self) -> int:
        """Bound the encoded size.

        :returns: bytes.
        """
        return _MAX_OVERHEAD_BYTES + sum(
            len(part) + 1 for part in self.to_member()
        )


class Exchange(msgspec.Struct, frozen=True, array_like=True):
    """A probe, or the answer to one; both carry the same.

    :param sender: the sender's own version.
    :param about: the version that the sender has of the receiver, ``None``
        if it knows none.
    :param introduction: the sender's description, for a receiver that may
        not know it.
    :param changes: versions to pass on.
    :param descriptions: members to pass on.
    :param zone: the zone that ``digest`` is of.
    :param digest: hash of all versions in that zone.
    :param attached: other parts' messages, by name.
    """

    sender: Change
    receiver: Change | None
    introduction: Description | None
    changes: list[Change]
    descriptions: list[Description]
    zone: str
    digest: int
    attachments: list[tuple[str, bytes]]


class IndirectProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a helper to probe a member.

    :param name: the member's name.
    :param incarnation: its incarnation, or an earlier one.
    :param address: its peer address.
    """

    name: str
    incarnation: str
    address: str


class IndirectProbeResponse(msgspec.Struct, frozen=True, array_like=True):
    """Tells whether the helper was answered."""

    is_reachable: bool


def decode_version(incarnation: str, counter: int, flags: int) -> Version:
    """Read a version from the wire.

    :param incarnation: the incarnation.
    :param counter: the refutation counter.
    :param flags: see :class:`Change`.
    :returns: the version.
    :raises MalformedMessage: no such condition, or a negative counter.
    """
    try:
        condition = Condition(flags & _CONDITION_BITS)
    except ValueError as error:
        raise MalformedMessage(str(error)) from error
    if counter < 0:
        raise MalformedMessage('negative counter')
    return Version(
        incarnation,
        bool(flags & _LEAVING_BIT),
        counter,
        condition,
    )


def encode_change(name: str, version: Version) -> Change:
    """Prepare a version for the wire.

    :param name: the member's name.
    :param version: its version.
    :returns: the change.
    """
    return Change(
        name,
        version.incarnation,
        version.counter,
        _encode_flags(version),
    )


def encode_description(
    member: Member,
    version: Version,
    dead_seconds: float,
) -> Description:
    """Prepare a member for the wire.

    :param member: the member.
    :param version: its version.
    :param dead_seconds: for how long it has been dead.
    :returns: the description.
    """
    return Description(
        *member,
        counter=version.counter,
        flags=_encode_flags(version),
        dead_seconds=int(dead_seconds),
    )


def decode(body: bytes, message_type: type[_Message]) -> _Message:
    """Read a message.

    :param body: the bytes received.
    :param kind: the message expected.
    :returns: the message.
    :raises MalformedMessage: the body is none.
    """
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessage(str(error)) from error


def _encode_flags(version: Version) -> int:
    return int(version.condition) + _LEAVING_BIT * version.leaving
