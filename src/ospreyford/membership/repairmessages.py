"""Anti-entropy messages, encoded as MessagePack arrays."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from ospreyford.membership.digests import BUCKETS_PER_ZONE
from ospreyford.membership.messages import Change, Description

COMPARE_TOPIC: Final = 'membership.compare'
SYNC_TOPIC: Final = 'membership.sync'


class CompareRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the buckets of a zone that differ.

    :param zone: the zone.
    :param digests: the requester's digest of each bucket.
    """

    zone: str
    digests: Annotated[
        list[int],
        msgspec.Meta(min_length=BUCKETS_PER_ZONE, max_length=BUCKETS_PER_ZONE),
    ]


class CompareResponse(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of the buckets that differ."""

    buckets: list[int]


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the records of a bucket that differ.

    :param zone: zone of the bucket.
    :param bucket: its number.
    :param known: version hashes by hash of name and incarnation.
    """

    zone: str
    bucket: int
    known: dict[int, int]


class SyncResponse(msgspec.Struct, frozen=True, array_like=True):
    """Records that the requester lacks, up to the byte limit."""

    changes: list[Change]
    descriptions: list[Description]
