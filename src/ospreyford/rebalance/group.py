"""State of a rank group, and the orders that change its map."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

#: For each set and each rank, the experts that the rank holds.
ExpertMap = tuple[tuple[tuple[int, ...], ...], ...]
#: For each set, the experts that one rank holds.
RankExperts = tuple[tuple[int, ...], ...]


class Armed(NamedTuple):
    """A scheduled switch of a rank to a new map.

    :param version: of the new map.
    :param step: the first pass that uses it.
    """

    version: int
    step: int


class RankState(NamedTuple):
    """State reported by one rank.

    :param group: name of its group.
    :param epoch: of the group; state of earlier epochs is discarded.
    :param rank: its number.
    :param size: number of ranks in the group.
    :param is_open: whether the group accepts requests.
    :param step: the last pass that was begun.
    :param sequence: number of orders accepted since the rank's start.
    :param version: of the current map.
    :param prepared: version of the map that is ready to be armed, or ``None``.
    :param armed: the scheduled switch, or ``None``.
    :param held: the pass that the rank holds back, or ``None``.
    :param active: running requests.
    :param queued: requests queued at the rank.
    :param pace: slowdown factor; above 1 the rank is slower than usual.
    :param born_ms: start of its process, in Unix milliseconds; 0 if unknown.
        Tells a restarted rank with the same id and address from the old one.
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
    """The coordinator's authority for an order.

    :param token: fencing token of the coordinator.
    :param epoch: of the group that the order is meant for.
    """

    token: int
    epoch: int


class Guard(NamedTuple):
    """Preconditions that a rank checks before it accepts an order.

    :param token: fencing token of the coordinator; a rank rejects one that is
        lower than the highest it has seen.
    :param epoch: the group's epoch; orders of other epochs are rejected.
    :param sequence: number of orders accepted before this one, so that a
        delayed order is rejected once another one was accepted.
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
    """Switch to a prepared map at a pass.

    :param version: of the map.
    :param step: the pass.
    """

    version: int
    step: int


@dataclass(frozen=True)
class Go:
    """Release a held pass.

    :param step: the pass.
    """

    step: int


@dataclass(frozen=True)
class Disarm:
    """Cancel a scheduled switch.

    :param version: of the map.
    :param held: the pass that the rank must still hold, or ``None``. Once it is
        released, the other ranks switch and this one must as well.
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
    """The order does not apply to the rank's state.

    :param state: its state.
    """

    state: RankState


@dataclass(frozen=True)
class Fenced:
    """The rank has seen a higher token of another coordinator."""


@dataclass(frozen=True)
class Silent:
    """The outcome of the order is unknown."""


Outcome = Done | Rejected | Fenced | Silent


def is_satisfied(state: RankState, order: Order) -> bool:
    """Return whether a rank is in the state that an order asks for.

    :param state: the rank's state.
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
