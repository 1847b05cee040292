"""What members send each other to repair their views."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from ospreyford.membership.digests import BUCKETS_PER_ZONE
from ospreyford.membership.messages import Change, Description

COMPARE_TOPIC: Final = 'membership.compare'
SYNC_TOPIC: Final = 'membership.sync'


class CompareRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks which buckets of a zone differ.

    :param zone: the zone.
    :param digests: the asker's hash of each bucket.
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
    """Asks for what the asker lacks in a bucket.

    :param zone: zone of the bucket.
    :param bucket: its number.
    :param known: by hash of name and incarnation, the hash of the version.
    """

    zone: str
    bucket: int
    known: dict[int, int]


class SyncResponse(msgspec.Struct, frozen=True, array_like=True):
    """What the asker lacks, as far as it fits."""

    changes: list[Change]
    descriptions: list[Description]
