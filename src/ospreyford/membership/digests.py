"""Bucketed digests of the member records, for anti-entropy."""

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

BUCKETS_PER_ZONE: Final = 16


class Bucket(NamedTuple):
    """A hash bucket of a zone's members."""

    zone: str
    number: int


@dataclass(slots=True)
class Record:
    """A member as this process knows it.

    :param member: its description.
    :param version: its version.
    :param since: monotonic time at which the version was applied.
    :param is_in_digests: whether digests and repairs include the record.
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
        """Whether the member is known only from the host list."""
        return self.version.incarnation == UNKNOWN_INCARNATION


class Digests:
    """Records by bucket, with an XOR digest per bucket and per zone."""

    def __init__(self) -> None:
        self._records: dict[Bucket, dict[str, Record]] = {}
        self._bucket_hashes: dict[Bucket, int] = {}
        self._zone_hashes: dict[str, int] = {}

    def list_zones(self) -> list[str]:
        """List the zones that have buckets.

        :returns: sorted zone names.
        """
        return sorted(self._zone_hashes)

    def get_zone_digest(self, zone: str) -> int:
        """Look up the digest of a zone.

        :param zone: the zone.
        :returns: 64-bit digest, 0 for an empty zone.
        """
        return self._zone_hashes.get(zone, 0)

    def get_bucket_digests(self, zone: str) -> list[int]:
        """Look up the digests of a zone's buckets.

        :param zone: the zone.
        :returns: a 64-bit digest per bucket, 0 for an empty bucket.
        """
        return [
            self._bucket_hashes.get(Bucket(zone, number), 0)
            for number in range(BUCKETS_PER_ZONE)
        ]

    def list_records(self, bucket: Bucket) -> list[Record]:
        """List a bucket's records.

        :param bucket: the bucket.
        :returns: the records included in its digest.
        """
        return list(self._records.get(bucket, {}).values())

    def add(self, record: Record) -> None:
        """Include a record in the digests.

        :param record: the record.
        """
        record.is_in_digests = True
        bucket = compute_bucket(record.member)
        self._records.setdefault(bucket, {})[record.member.name] = record
        self._toggle_hash(bucket, record)

    def remove(self, record: Record) -> None:
        """Exclude a record from the digests, if it is included.

        :param record: the record.
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
    """Compute the bucket of a member.

    :param member: the member.
    :returns: its bucket.
    """
    number = xxhash.xxh3_64_intdigest(member.name.encode()) % BUCKETS_PER_ZONE
    return Bucket(member.zone, number)


def compute_identity_hash(record: Record) -> int:
    """Hash a member's name and incarnation.

    :param record: its record.
    :returns: 64-bit hash.
    """
    parts = record.member.name, record.version.incarnation
    return xxhash.xxh3_64_intdigest('/'.join(parts).encode())


def compute_version_hash(record: Record) -> int:
    """Hash a member's name and version.

    :param record: its record.
    :returns: 64-bit hash.
    """
    parts = record.member.name, *record.version
    text = '/'.join(str(part) for part in parts)
    return xxhash.xxh3_64_intdigest(text.encode())
