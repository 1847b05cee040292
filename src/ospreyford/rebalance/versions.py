"""Versions of expert maps: when and by whose plan."""

from __future__ import annotations

from typing import Final

#: Numbers of map versions, and of fencing tokens, within one millisecond: one
#: for each rank of the largest group, and one for nobody. Milliseconds since
#: 1970 times this number stay below 2**53, up to which JSON numbers are exact.
MAX_RANKS: Final = 1024
#: Author of versions that only shut ranks off from an earlier coordinator.
FENCE_AUTHOR: Final = MAX_RANKS - 1


def encode_version(milliseconds: int, author: int) -> int:
    """Make the version of a new map.

    :param milliseconds: wall-clock time; clocks are nearly true, so it is
        higher than those of earlier coordinators.
    :param author: the rank beside the coordinator that plans the map.
    :returns: the version.
    """
    return milliseconds * MAX_RANKS + author


def decode_author(version: int) -> int:
    """Find whose map a version names.

    :param version: the version.
    :returns: the rank beside the coordinator that planned it.
    """
    return version % MAX_RANKS
