"""Decisions and changes that an agent logs: one type each, one line each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CoordinatorChanged:
    """An agent follows another coordinator, or has become it.

    :param group: the group's name.
    :param coordinator: its IP number.
    :param token: the highest fencing token known here.
    :param seconds: by this host's clock, which tokens are made of.
    """

    group: str
    coordinator: str
    token: int
    seconds: int


@dataclass(frozen=True)
class MapChanged:
    """A coordinator's change of maps ended.

    :param group: the group's name.
    :param epoch: of the group.
    :param version: of the new map.
    :param outcome: how it ended.
    :param copies: experts that were copied.
    :param before: expected load of the most loaded rank over the mean.
    :param after: the same with the new map.
    :param step: the last pass that was begun as it was planned.
    :param running: requests that ran in the group then.
    :param queued: requests that waited at its ranks then.
    :param age_ms: age of the oldest counts that it rests on.
    :param took_ms: from the plan to the end of the change.
    """

    group: str
    epoch: int
    version: int
    outcome: str
    copies: int
    before: float
    after: float
    step: int
    running: int
    queued: int
    age_ms: int
    took_ms: int


@dataclass(frozen=True)
class GroupSettled:
    """A coordinator found a group that an earlier one left in a change.

    :param group: the group's name.
    :param epoch: of the group.
    :param held: ranks that hold a pass.
    :param armed: ranks that are armed.
    :param outcome: whether the group is at rest now.
    """

    group: str
    epoch: int
    held: list[int]
    armed: list[int]
    outcome: bool


@dataclass(frozen=True)
class OrderCarriedOut:
    """An agent had its rank carry out a coordinator's order.

    :param order: the order's type.
    :param version: of the map, or 0.
    :param step: the pass, or 0.
    :param token: the coordinator's fencing token.
    :param epoch: that it was meant for.
    :param outcome: what came of it.
    :param took_ms: how long that took.
    """

    order: str
    version: int
    step: int
    token: int
    epoch: int
    outcome: str
    took_ms: int


@dataclass(frozen=True)
class RankChanged:
    """The rank beside the agent answers again, or no more, or in a new epoch.

    :param group: the group's name.
    :param rank: its number.
    :param epoch: of the group.
    :param is_open: whether the group takes requests.
    :param change: what was seen.
    """

    group: str
    rank: int
    epoch: int
    is_open: bool
    change: str


Decision = (
    CoordinatorChanged
    | MapChanged
    | GroupSettled
    | OrderCarriedOut
    | RankChanged
)
