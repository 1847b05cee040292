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
BUCKETS_PER_ZONE: Final = 16


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
    is_in_digests: bool = False

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
        self._bucket_hashes: dict[Bucket, int] = {}
        self._zone_hashes: dict[str, int] = {}

    def list_zones(self) -> list[str]:
        """List the zones that have buckets.

        :returns: their names, sorted.
        """
        return sorted(self._zone_hashes)

    def get_zone_digest(self, zone: str) -> int:
        """Look up a zone's hash.

        :param zone: which.
        :returns: 64 bits, 0 for an empty one.
        """
        return self._zone_hashes.get(zone, 0)

    def get_bucket_digests(self, zone: str) -> list[int]:
        """Look up the hashes of a zone's buckets.

        :param zone: which.
        :returns: 64 bits for each bucket, 0 for an empty one.
        """
        return [
            self._bucket_hashes.get(Bucket(zone, number), 0)
            for number in range(BUCKETS_PER_ZONE)
        ]

    def list_records(self, bucket: Bucket) -> list[Record]:
        """List a bucket's records.

        :param bucket: which.
        :returns: the records that others are told.
        """
        return list(self._records.get(bucket, {}).values())

    def add(self, record: Record) -> None:
        """Add a record.

        :param record: the record.
        """
        record.is_in_digests = True
        bucket = compute_bucket(record.member)
        self._records.setdefault(bucket, {})[record.member.name] = record
        self._toggle_hash(bucket, record)

    def remove(self, record: Record) -> None:
        """Take a record out.

        :param record: the record; nothing happens if it is not shared.
        """
        if record.is_in_digests:
            record.is_in_digests = False
            bucket = compute_bucket(record.member)
            self._records[bucket].pop(record.member.name)
            self._toggle_hash(bucket, record)

    def _toggle_hash(self, bucket: Bucket, record: Record) -> None:
        record_hash = compute_version_hash(record)
        self._bucket_hashes[bucket] = (
            self._bucket_hashes.get(bucket, 0) ^ record_hash
        )
        self._zone_hashes[bucket.zone] = (
            self.get_zone_digest(bucket.zone) ^ record_hash
        )


def compute_bucket(member: Member) -> Bucket:
    """Find a member's bucket.

    :param member: the member.
    :returns: its bucket.
    """
    number = xxhash.xxh3_64_intdigest(member.name.encode()) % BUCKETS_PER_ZONE
    return Bucket(member.zone, number)


def compute_identity_hash(record: Record) -> int:
    """Hash a member's name and incarnation.

    :param record: its record.
    :returns: 64 bits.
    """
    parts = record.member.name, record.version.incarnation
    return xxhash.xxh3_64_intdigest('/'.join(parts).encode())


def compute_version_hash(record: Record) -> int:
    """Hash a member's name and version.

    :param record: its record.
    :returns: 64 bits.
    """
    parts = record.member.name, *record.version
    text = '/'.join(str(part) for part in parts)
    return xxhash.xxh3_64_intdigest(text.encode())
