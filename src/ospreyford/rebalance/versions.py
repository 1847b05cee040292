"""Map versions and fencing tokens: a timestamp combined with an author."""

from __future__ import annotations

from typing import Final

#: Authors per millisecond; keeps versions below 2**53, exact in JSON.
MAX_RANKS: Final = 1024
#: Author of versions that only fence earlier coordinators.
FENCE_AUTHOR: Final = MAX_RANKS - 1


def encode_version(milliseconds: int, author: int) -> int:
    """Encode the version of a new map.

    :param milliseconds: wall-clock time; clocks are synchronized well enough
        for it to exceed that of earlier coordinators.
    :param author: the rank on the host of the coordinator that plans the map.
    :returns: the version.
    """
    return milliseconds * MAX_RANKS + author


def decode_author(version: int) -> int:
    """Decode the author of a version.

    :param version: the version.
    :returns: the rank on the host of the coordinator that planned the map.
    """
    return version % MAX_RANKS
