"""Hashes over shares of the members, to find where two views differ."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

import xxhash

from ospreyford.membership.member import (
    UNKNOWN_INCARNATION,
    Member,
    MemberState,
    Version,
)

#: Buckets of each zone; a bucket of a zone of 900 has 57 members.
BUCKETS: Final = 16


class Bucket(NamedTuple):
    """A share of a zone's members, compared by one hash."""

    zone: str
    number: int


@dataclass(slots=True)
class Record:
    """A member as this process knows it.

    :param member: its description.
    :param version: its version.
    :param since: when the version was taken over, by the monotonic clock.
    :param is_shared: whether the record takes part in digests and repairs.
    """

    member: Member
    version: Version
    since: float
    is_shared: bool = False

    @property
    def state(self) -> MemberState:
        """The member's state."""
        return self.version.state

    @property
    def is_listed_only(self) -> bool:
        """Whether only the host list has told of this member."""
        return self.version.incarnation == UNKNOWN_INCARNATION


class Digests:
    """The shared records by bucket, and a hash for each bucket and zone."""

    def __init__(self) -> None:
        self._records: dict[Bucket, dict[str, Record]] = {}
        self._hashes: dict[Bucket, int] = {}
        self._zones: dict[str, int] = {}

    def zones(self) -> list[str]:
        """List the zones that have buckets.

        :returns: their names, sorted.
        """
        return sorted(self._zones)

    def digest(self, zone: str) -> int:
        """Look up a zone's hash.

        :param zone: which.
        :returns: 64 bits, 0 for an empty one.
        """
        return self._zones.get(zone, 0)

    def bucket_digests(self, zone: str) -> list[int]:
        """Look up the hashes of a zone's buckets.

        :param zone: which.
        :returns: 64 bits for each bucket, 0 for an empty one.
        """
        return [
            self._hashes.get(Bucket(zone, number), 0)
            for number in range(BUCKETS)
        ]

    def shared(self, bucket: Bucket) -> list[Record]:
        """List a bucket's records.

        :param bucket: which.
        :returns: the records that others are told.
        """
        return list(self._records.get(bucket, {}).values())

    def share(self, record: Record) -> None:
        """Add a record.

        :param record: the record.
        """
        record.is_shared = True
        bucket = bucket_of(record.member)
        self._records.setdefault(bucket, {})[record.member.name] = record
        self._mix(bucket, record)

    def hide(self, record: Record) -> None:
        """Take a record out.

        :param record: the record; nothing happens if it is not shared.
        """
        if record.is_shared:
            record.is_shared = False
            bucket = bucket_of(record.member)
            self._records[bucket].pop(record.member.name)
            self._mix(bucket, record)

    def _mix(self, bucket: Bucket, record: Record) -> None:
        mixed = version_hash(record)
        self._hashes[bucket] = self._hashes.get(bucket, 0) ^ mixed
        self._zones[bucket.zone] = self.digest(bucket.zone) ^ mixed


def bucket_of(member: Member) -> Bucket:
    """Find a member's bucket.

    :param member: the member.
    :returns: its bucket.
    """
    number = xxhash.xxh3_64_intdigest(member.name.encode()) % BUCKETS
    return Bucket(member.zone, number)


def identity_hash(record: Record) -> int:
    """Hash a member's name and incarnation.

    :param record: its record.
    :returns: 64 bits.
    """
    parts = record.member.name, record.version.incarnation
    return xxhash.xxh3_64_intdigest('/'.join(parts).encode())


def version_hash(record: Record) -> int:
    """Hash a member's name and version.

    :param record: its record.
    :returns: 64 bits.
    """
    parts = record.member.name, *record.version
    text = '/'.join(str(part) for part in parts)
    return xxhash.xxh3_64_intdigest(text.encode())
