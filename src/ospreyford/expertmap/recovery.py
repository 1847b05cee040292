"""Recovery of the group's state from the members' promises."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ospreyford.expertmap.maps import MapName
from ospreyford.expertmap.messages import Promise
from ospreyford.expertmap.windows import NO_BALLOT, Ballot, Vote, Window


class Recovery(NamedTuple):
    """State from which a coordinator continues.

    ``generation`` equals the ballot if a new one must be formed. ``forced``
    is a window that may have been chosen and must be proposed first;
    ``first_step`` lies above all earlier grants. ``map_name`` is the map last
    in use, otherwise the newest held.
    """

    generation: Ballot
    incarnations: tuple[int, ...]
    released: Window | None
    forced: Window | None
    first_step: int
    map_name: MapName | None


def recover(ballot: Ballot, promises: Sequence[Promise]) -> Recovery:
    """Compute the state from which the group continues.

    :param ballot: the coordinator's ballot.
    :param promises: the promises of *all* members, by slot.
    :returns: the state, with the generation to continue or to form.
    """
    released = _find_released(promises)
    new_generation = Recovery(
        generation=ballot,
        incarnations=tuple(promise.incarnation for promise in promises),
        released=None,
        forced=None,
        first_step=max(promise.highest_step for promise in promises) + 1,
        map_name=_find_map(promises),
    )
    generation = promises[0].generation
    if generation == NO_BALLOT or _has_other_generation(generation, promises):
        # A member lost its votes or never joined, so the generation cannot
        # be continued.
        return new_generation
    forced = _find_forced(released, promises)
    return new_generation._replace(
        generation=generation, released=released, forced=forced
    )


def _has_other_generation(
    generation: Ballot, promises: Sequence[Promise]
) -> bool:
    return any(promise.generation != generation for promise in promises)


def _find_released(promises: Sequence[Promise]) -> Window | None:
    windows = [promise.released for promise in promises if promise.released]
    return max(windows, key=_get_index, default=None)


def _find_forced(
    released: Window | None, promises: Sequence[Promise]
) -> Window | None:
    released_index = -1 if released is None else released.index
    votes = [
        promise.vote
        for promise in promises
        if promise.vote and promise.vote.window.index > released_index
    ]
    latest = max(votes, key=_get_ballot, default=None)
    return None if latest is None else latest.window


def _find_map(promises: Sequence[Promise]) -> MapName | None:
    # Prefer maps in use: a newer one may fail to load and block the group.
    accepted = [
        promise.vote.window.map_name for promise in promises if promise.vote
    ]
    held = [promise.newest for promise in promises if promise.newest]
    return max(accepted or held, default=None)


def _get_index(window: Window) -> int:
    return window.index


def _get_ballot(vote: Vote) -> Ballot:
    return vote.ballot
