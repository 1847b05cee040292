"""A rank group as its ranks show it, and the orders that change its map."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

#: For each set and each rank, the experts that the rank holds.
ExpertMap = tuple[tuple[tuple[int, ...], ...], ...]
#: For each set, the experts that one rank holds.
RankExperts = tuple[tuple[int, ...], ...]


class Armed(NamedTuple):
    """A switch that a rank will make by itself.

    :param version: of the map that it will use.
    :param step: the pass that is the first with it.
    """

    version: int
    step: int


class RankState(NamedTuple):
    """What one rank shows of itself.

    :param group: name of its group.
    :param epoch: of the group; nothing of an earlier epoch is left.
    :param rank: its number.
    :param size: ranks of the group.
    :param is_open: whether the group takes requests.
    :param step: the last pass that was begun.
    :param sequence: orders that the rank has accepted since its start.
    :param version: of the map in force.
    :param prepared: version of the map that is ready to be armed, or
        ``None``.
    :param armed: the switch to come, or ``None``.
    :param held: the pass that the group does not begin, or ``None``.
    :param active: requests that run.
    :param queued: requests that wait at the rank.
    :param pace: above 1 the rank is slower than usual.
    :param born_ms: when its process started, in Unix milliseconds; 0 if it
        does not tell. A rank that started again may have the same id and
        address; it holds nothing, and its counts begin anew.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    sequence: int
    version: int
    prepared: int | None
    armed: Armed | None
    held: int | None
    active: int
    queued: int
    pace: float
    born_ms: int = 0


class Term(NamedTuple):
    """In whose name an order is given.

    :param token: fencing token of the coordinator.
    :param epoch: of the group that the order is meant for.
    """

    token: int
    epoch: int


class Guard(NamedTuple):
    """What a rank checks before it accepts an order.

    :param token: fencing token of the coordinator; a rank refuses one that is
        lower than the highest it has seen.
    :param epoch: the group's epoch; an order of another one is refused.
    :param sequence: orders accepted before this one. An order whose answer was
        lost may be carried out seconds later: another one has been accepted
        since, so the late one is refused.
    """

    token: int
    epoch: int
    sequence: int | None


@dataclass(frozen=True)
class Prepare:
    """Copy the experts that are new to the rank.

    :param version: of the map.
    :param experts: the map.
    """

    version: int
    experts: ExpertMap


@dataclass(frozen=True)
class Hold:
    """Do not begin a pass until :class:`Go`.

    :param step: the pass.
    """

    step: int


@dataclass(frozen=True)
class Arm:
    """Use a prepared map from a pass on.

    :param version: of the map.
    :param step: the pass.
    """

    version: int
    step: int


@dataclass(frozen=True)
class Go:
    """Begin a held pass.

    :param step: the pass.
    """

    step: int


@dataclass(frozen=True)
class Disarm:
    """Take back an order to switch.

    :param version: of the map.
    :param held: the pass that the rank must still hold, or ``None``. Had the
        group been let go in between, the other ranks would switch and this one
        would not.
    """

    version: int
    held: int | None = None


Order = Prepare | Hold | Arm | Go | Disarm


@dataclass(frozen=True)
class Done:
    """The rank is in the state that the order asks for.

    :param state: its state.
    """

    state: RankState


@dataclass(frozen=True)
class Rejected:
    """The rank is in a state that the order does not fit.

    :param state: its state.
    """

    state: RankState


@dataclass(frozen=True)
class Fenced:
    """Another coordinator with a higher token has given orders."""


@dataclass(frozen=True)
class Silent:
    """The fate of the order is unknown."""


Outcome = Done | Rejected | Fenced | Silent


def is_satisfied(state: RankState, order: Order) -> bool:
    """Tell whether a rank is in the state that an order asks for.

    :param state: the rank's.
    :param order: the order.
    :returns: whether there is nothing left to do.
    """
    match order:
        case Prepare(version=version):
            return version in {state.prepared, state.version}
        case Hold(step=step):
            return state.held == step
        case Arm(version=version, step=step):
            return state.armed == Armed(version, step) or (
                state.version == version
            )
        case Go(step=step):
            return state.held != step
        case Disarm(version=version):
            return state.armed is None or state.armed.version != version
