"""Events that an agent logs: one class per kind, one line per event."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CoordinatorChanged:
    """An agent follows another coordinator, or has become it.

    :param group: the group's name.
    :param coordinator: IP address of its host.
    :param token: the highest fencing token known here.
    :param seconds: Unix time of this host's clock.
    """

    group: str
    coordinator: str
    token: int
    seconds: int


@dataclass(frozen=True)
class MapChanged:
    """A map change of a coordinator has ended.

    :param group: the group's name.
    :param epoch: of the group.
    :param version: of the new map.
    :param outcome: the outcome.
    :param copies: number of copied experts.
    :param before: expected peak over mean load with the old map.
    :param after: the same with the new map.
    :param step: the last pass that was begun at the time of the plan.
    :param running: requests running in the group at that time.
    :param queued: requests queued at its ranks at that time.
    :param age_ms: age of the oldest counts used.
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
    """A coordinator has tried to recover a group from an unfinished change.

    :param group: the group's name.
    :param epoch: of the group.
    :param held: ranks that hold a pass.
    :param armed: ranks that are armed.
    :param outcome: whether no rank is held or armed any more.
    """

    group: str
    epoch: int
    held: list[int]
    armed: list[int]
    outcome: bool


@dataclass(frozen=True)
class OrderCarriedOut:
    """An agent has executed a coordinator's order on its rank.

    :param order: the order's type.
    :param version: of the map, or 0.
    :param step: the pass, or 0.
    :param token: the coordinator's fencing token.
    :param epoch: that the order is meant for.
    :param outcome: the outcome's type.
    :param took_ms: duration of the execution.
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
    """The rank on the agent's host was found or lost, or opened or closed.

    :param group: the group's name.
    :param rank: its number.
    :param epoch: of the group.
    :param is_open: whether the group accepts requests.
    :param change: the kind of change.
    """

    group: str
    rank: int
    epoch: int
    is_open: bool
    change: str


@dataclass(frozen=True)
class OrderRefused:
    """A rank has refused a coordinator's order as not possible.

    :param group: the group's name.
    :param rank: the rank's number.
    :param order: the order's type.
    :param token: the coordinator's fencing token.
    :param epoch: that the order is meant for.
    :param known_epoch: that the rank reports.
    :param step: the last pass that the rank has begun.
    :param version: of the rank's map.
    :param cause: what speaks against the order.
    """

    group: str
    rank: int
    order: str
    token: int
    epoch: int
    known_epoch: int
    step: int
    version: int
    cause: str


@dataclass(frozen=True)
class TermFenced:
    """A coordinator's term has ended, as a rank has seen a higher token.

    :param group: the group's name.
    :param token: the coordinator's fencing token.
    :param rank: the rank that has refused the token.
    :param order: type of the order that it was given.
    """

    group: str
    token: int
    rank: int
    order: str


@dataclass(frozen=True)
class SessionStarted:
    """An agent begins to take part in the group that its rank reports.

    :param service: the service's name.
    :param group: the group's name.
    :param rank: the rank's number.
    :param epoch: of the group.
    """

    service: str
    group: str
    rank: int
    epoch: int


@dataclass(frozen=True)
class SessionEnded:
    """An agent takes part in a group no more, since its rank has left it.

    :param service: the service's name.
    :param group: the group's name.
    """

    service: str
    group: str


Decision = (
    CoordinatorChanged
    | MapChanged
    | GroupSettled
    | OrderCarriedOut
    | RankChanged
    | OrderRefused
    | TermFenced
    | SessionStarted
    | SessionEnded
)
