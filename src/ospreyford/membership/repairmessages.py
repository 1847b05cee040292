"""What members send each other to repair their views."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from ospreyford.membership.digests import BUCKETS
from ospreyford.membership.messages import Change, Description

COMPARE: Final = 'membership.compare'
SYNC: Final = 'membership.sync'


class CompareQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Asks which buckets of a zone differ.

    :param zone: the zone.
    :param digests: the asker's hash of each bucket.
    """

    zone: str
    digests: Annotated[
        list[int],
        msgspec.Meta(min_length=BUCKETS, max_length=BUCKETS),
    ]


class CompareAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of the buckets that differ."""

    buckets: list[int]


class SyncQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Asks for what the asker lacks in a bucket.

    :param zone: zone of the bucket.
    :param bucket: its number.
    :param known: by hash of name and incarnation, the hash of the version.
    """

    zone: str
    bucket: int
    known: dict[int, int]


class SyncAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What the asker lacks, as far as it fits."""

    changes: list[Change]
    descriptions: list[Description]
