"""Outcomes of a placement decision: a plan, or why nothing changes."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.placement.reasons import Reason


@dataclass(frozen=True)
class NoChange:
    """The current map is kept."""

    reason: Reason


@dataclass(frozen=True)
class Copy:
    """Load an expert's weights on a rank before the new map is in force."""

    layer: int
    expert: int
    rank: int


@dataclass(frozen=True)
class Drop:
    """Free an expert's weights on a rank once no rank uses the old map."""

    layer: int
    expert: int
    rank: int


@dataclass(frozen=True)
class Plan:
    """Make-before-break change of the map.

    :param target: the new map, with the next revision.
    :param copies: weights to load before ``target`` is proposed to the group.
    :param drops: weights to free once every rank uses ``target``.
    :param copy_bytes: bytes that ``copies`` read from the weight store.
    :param saved_seconds: step time expected to be saved over the horizon; 0
        if the policy does not estimate it.
    """

    target: ExpertMap
    copies: tuple[Copy, ...]
    drops: tuple[Drop, ...]
    copy_bytes: int
    saved_seconds: float = 0


Outcome = Plan | NoChange
