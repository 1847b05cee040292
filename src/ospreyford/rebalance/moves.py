"""The ways to take load from the most loaded rank of a set."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.rebalance.setstate import SetState

#: Experts of the most loaded rank, and ranks to put one of them on, that are
#: tried for one move: the heaviest and the least loaded ones.
HOT_EXPERTS = 4
COOL_RANKS = 4


class Move(NamedTuple):
    """One way to take load from a rank.

    :param peak: load of the more loaded of both ranks afterwards.
    :param expert: what is put on the target.
    :param source: the most loaded rank.
    :param target: the rank that takes the expert.
    :param dropped: what the target drops for it, or ``None``.
    :param leaves: whether the source drops the expert.
    :param returned: whether the source takes what the target drops.
    """

    peak: float
    expert: int
    source: int
    target: int
    dropped: int | None
    leaves: bool
    returned: bool


class MoveSearch:
    """Finds the move that lowers a set's peak most.

    :param state: the set as planned so far.
    :param in_force: for each rank, the experts that it holds now: what it
        dropped only in the plan can come back without a copy.
    :param roomy: ranks that may still take a copy.
    :param places: experts that a rank holds at most.
    """

    def __init__(
        self,
        state: SetState,
        in_force: Sequence[Sequence[int]],
        roomy: Collection[int],
        places: int,
    ) -> None:
        self._state = state
        self._in_force = in_force
        self._roomy = roomy
        self._places = places
        self._source = state.find_hottest()

    def find_best(self) -> Move | None:
        """Find the move after which both its ranks are least loaded.

        :returns: the move, or ``None`` if there is none.
        """
        return min(self._list_moves(), key=lambda move: move.peak, default=None)

    def _list_moves(self) -> Iterator[Move]:
        yield from self._list_retirements()
        state = self._state
        loads = state.rank_loads
        heavy = sorted(state.held[self._source], key=state.share, reverse=True)
        cool = sorted(range(len(loads)), key=loads.__getitem__)
        for expert in heavy[:HOT_EXPERTS]:
            targets = (rank for rank in cool if self._may_take(rank, expert))
            for target in islice(targets, COOL_RANKS):
                yield from self._list_ways(expert, target)

    def _may_take(self, rank: int, expert: int) -> bool:
        if expert in self._state.held[rank]:
            return False
        return rank in self._roomy or expert in self._in_force[rank]

    def _list_ways(self, expert: int, target: int) -> Iterator[Move]:
        """List a further copy, a change of place, and an exchange."""
        state = self._state
        share = state.share(expert)
        shared = share - share / (state.count_copies(expert) + 1)
        relief: float = 0
        dropped: int | None = None
        if len(state.held[target]) >= self._places:
            dropped = self._find_spare(target)
            if dropped is None:
                yield from self._list_exchange(expert, target)
                return
            relief = state.share(dropped)
        for taken, leaves in ((shared, False), (share, True)):
            left = 0 if leaves else shared
            yield Move(
                self._tell_peak(target, left - share, taken - relief),
                expert,
                self._source,
                target,
                dropped,
                leaves=leaves,
                returned=False,
            )

    def _tell_peak(
        self, target: int, source_change: float, target_change: float
    ) -> float:
        state = self._state
        source = self._source
        return max(
            state.rank_loads[source] + source_change * state.paces[source],
            state.rank_loads[target] + target_change * state.paces[target],
        )

    def _list_retirements(self) -> Iterator[Move]:
        """List the experts of the source that others can serve alone."""
        state = self._state
        for expert in state.held[self._source]:
            if state.count_copies(expert) > 1:
                yield Move(
                    state.tell_peak_without(expert, self._source),
                    expert,
                    self._source,
                    self._source,
                    None,
                    leaves=True,
                    returned=False,
                )

    def _find_spare(self, rank: int) -> int | None:
        state = self._state
        spare = [one for one in state.held[rank] if state.count_copies(one) > 1]
        return min(spare, key=state.share, default=None)

    def _list_exchange(self, expert: int, target: int) -> Iterator[Move]:
        # All that a full target holds stands nowhere else: the lightest of it
        # changes places with the expert.
        state = self._state
        light = min(state.held[target], key=state.share)
        if not self._may_take(self._source, light):
            return
        gained = state.share(expert) - state.share(light)
        yield Move(
            self._tell_peak(target, -gained, gained),
            expert,
            self._source,
            target,
            light,
            leaves=True,
            returned=True,
        )


def make_move(state: SetState, move: Move) -> None:
    """Make a move.

    :param state: the set; changed in place.
    :param move: the move.
    """
    if move.target == move.source:
        state.drop(move.expert, move.source)
        return
    state.add(move.expert, move.target)
    if move.dropped is not None:
        if move.returned:
            state.add(move.dropped, move.source)
        state.drop(move.dropped, move.target)
    if move.leaves:
        state.drop(move.expert, move.source)
