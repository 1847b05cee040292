"""Probe messages, encoded as MessagePack arrays."""

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
#: Encoding overhead of a change or description besides its strings.
_MAX_OVERHEAD_BYTES: Final = 24

_Message = TypeVar('_Message')


@dataclass(unsafe_hash=True)
class MalformedMessage(Exception):
    """A message body that cannot be decoded."""

    detail: str


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Version of a member whose description the receiver has.

    ``flags`` is the condition, plus 4 if the member is leaving.
    """

    name: str
    incarnation: str
    counter: int
    flags: int

    def to_version(self) -> Version:
        """Decode the version.

        :returns: the version.
        """
        return decode_version(self.incarnation, self.counter, self.flags)

    def estimate_size(self) -> int:
        """Estimate the encoded size.

        :returns: upper bound in bytes.
        """
        return len(self.name) + len(self.incarnation) + _MAX_OVERHEAD_BYTES


class Description(msgspec.Struct, frozen=True, array_like=True):
    """A member's description with its version.

    ``dead_seconds`` is the time since a dead member died, so that all
    processes forget it at about the same time.
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
        """Decode the member; interns strings that many members share.

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
        """Decode the version.

        :returns: the version.
        """
        return decode_version(self.incarnation, self.counter, self.flags)

    def estimate_size(self) -> int:
        """Estimate the encoded size.

        :returns: upper bound in bytes.
        """
        return _MAX_OVERHEAD_BYTES + sum(
            len(part) + 1 for part in self.to_member()
        )


class Exchange(msgspec.Struct, frozen=True, array_like=True):
    """A probe or the response to one.

    :param sender: the sender's own version.
    :param receiver: the receiver's version as known to the sender.
    :param introduction: the sender's description, if the receiver may lack
        it.
    :param changes: gossiped versions.
    :param descriptions: gossiped descriptions.
    :param zone: the zone of ``digest``.
    :param digest: 64-bit digest of all versions in that zone.
    :param attachments: piggybacked payloads, by name.
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
    """Requests that a helper probe a member.

    :param name: the member's name.
    :param incarnation: its incarnation, or an earlier one.
    :param address: its peer address.
    """

    name: str
    incarnation: str
    address: str


class IndirectProbeResponse(msgspec.Struct, frozen=True, array_like=True):
    """Whether the member responded to the helper."""

    is_reachable: bool


def decode_version(incarnation: str, counter: int, flags: int) -> Version:
    """Decode a version.

    :param incarnation: the incarnation.
    :param counter: the refutation counter.
    :param flags: see :class:`Change`.
    :returns: the version.
    :raises MalformedMessage: unknown condition or negative counter.
    """
    try:
        condition = Condition(flags & _CONDITION_BITS)
    except ValueError as error:
        raise MalformedMessage(str(error)) from error
    if counter < 0:
        raise MalformedMessage('negative refutation counter')
    return Version(
        incarnation,
        bool(flags & _LEAVING_BIT),
        counter,
        condition,
    )


def encode_change(name: str, version: Version) -> Change:
    """Encode a version.

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
    """Encode a member.

    :param member: the member.
    :param version: its version.
    :param dead_seconds: time since its death, 0 unless dead.
    :returns: the description.
    """
    return Description(
        *member,
        counter=version.counter,
        flags=_encode_flags(version),
        dead_seconds=int(dead_seconds),
    )


def decode(body: bytes, message_type: type[_Message]) -> _Message:
    """Decode a message.

    :param body: the encoded message.
    :param message_type: the expected type.
    :returns: the message.
    :raises MalformedMessage: the body cannot be decoded.
    """
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessage(str(error)) from error


def _encode_flags(version: Version) -> int:
    return int(version.condition) + _LEAVING_BIT * version.leaving
