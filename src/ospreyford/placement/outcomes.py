"""What a placement policy answers: a plan, or why nothing changes."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.expertmap.maps import ExpertMap
from ospreyford.placement.reasons import Reason


@dataclass(frozen=True)
class NoChange:
    """The current map stays, for ``reason``."""

    reason: Reason


@dataclass(frozen=True)
class Copy:
    """Load an expert's weights on a rank before the new map is in force."""

    layer: int
    expert: int
    rank: int


@dataclass(frozen=True)
class Drop:
    """Free an expert's weights on a rank once every rank left the old map."""

    layer: int
    expert: int
    rank: int


@dataclass(frozen=True)
class Plan:
    """A change of the map, in make-before-break order.

    :param target: the new map; its revision is the old one's plus one.
    :param copies: loads to finish before ``target`` is proposed to the group.
    :param drops: weights to free after every rank steps on ``target``.
    :param copy_bytes: what ``copies`` take from the weight store.
    :param saved_seconds: step time that the change is expected to save over
        the horizon; 0 from a policy that does not ask.
    """

    target: ExpertMap
    copies: tuple[Copy, ...]
    drops: tuple[Drop, ...]
    copy_bytes: int
    saved_seconds: float = 0


Outcome = Plan | NoChange
