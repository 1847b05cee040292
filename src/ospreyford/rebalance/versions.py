"""Versions of expert maps: when and by whose plan."""

from __future__ import annotations

from typing import Final

#: Numbers of map versions within one millisecond, one for each rank.
VERSIONS: Final = 128
#: Author of versions that only shut ranks off from an earlier coordinator.
NOBODY: Final = 127


def make_version(milliseconds: int, author: int) -> int:
    """Make the version of a new map.

    :param milliseconds: wall-clock time; clocks are nearly true, so it is
        higher than those of earlier coordinators.
    :param author: the rank beside the coordinator that plans the map.
    :returns: the version.
    """
    return milliseconds * VERSIONS + author


def find_author(version: int) -> int:
    """Find whose map a version names.

    :param version: the version.
    :returns: the rank beside the coordinator that planned it.
    """
    return version % VERSIONS
