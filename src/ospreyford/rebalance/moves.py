"""Search for moves that take load from the most loaded rank of a set."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.rebalance.setplacement import SetPlacement

#: Candidates for one move: the heaviest experts and least loaded ranks.
MAX_EXPERTS_TRIED = 4
MAX_TARGETS_TRIED = 4


class Move(NamedTuple):
    """A candidate move of one expert.

    :param peak: load of the more loaded of both ranks afterwards.
    :param expert: the expert that the target receives.
    :param source: the most loaded rank.
    :param target: the rank that receives the expert.
    :param dropped: the expert that the target drops, or ``None``.
    :param removes_source: whether the source drops the expert.
    :param is_exchange: whether the source receives the dropped expert.
    """

    peak: float
    expert: int
    source: int
    target: int
    dropped: int | None
    removes_source: bool
    is_exchange: bool


class MoveSearch:
    """Finds the move that lowers a set's peak load most.

    :param placement: the placement as planned so far.
    :param in_force: for each rank, its current experts; these can be restored
        without a copy.
    :param receivers: ranks that may still receive a copy.
    :param places: maximum experts of a rank.
    """

    def __init__(
        self,
        placement: SetPlacement,
        in_force: Sequence[Sequence[int]],
        receivers: Collection[int],
        places: int,
    ) -> None:
        self._placement = placement
        self._in_force = in_force
        self._receivers = receivers
        self._places = places
        self._source = placement.find_most_loaded()

    def find_best(self) -> Move | None:
        """Find the move with the lowest resulting peak.

        :returns: the move, or ``None`` if there is none.
        """
        return min(self._list_moves(), key=lambda move: move.peak, default=None)

    def _list_moves(self) -> Iterator[Move]:
        yield from self._list_removals()
        placement = self._placement
        loads = placement.rank_loads
        heaviest = sorted(
            placement.held[self._source],
            key=placement.compute_share,
            reverse=True,
        )
        least_loaded = sorted(range(len(loads)), key=loads.__getitem__)
        for expert in heaviest[:MAX_EXPERTS_TRIED]:
            targets = (
                rank for rank in least_loaded if self._may_take(rank, expert)
            )
            for target in islice(targets, MAX_TARGETS_TRIED):
                yield from self._list_moves_to(expert, target)

    def _may_take(self, rank: int, expert: int) -> bool:
        if expert in self._placement.held[rank]:
            return False
        return rank in self._receivers or expert in self._in_force[rank]

    def _list_moves_to(self, expert: int, target: int) -> Iterator[Move]:
        """List replication, relocation and exchange of an expert."""
        placement = self._placement
        share = placement.compute_share(expert)
        replicated_share = share - share / (placement.count_copies(expert) + 1)
        dropped_share: float = 0
        dropped: int | None = None
        if len(placement.held[target]) >= self._places:
            dropped = self._find_redundant(target)
            if dropped is None:
                yield from self._list_exchanges(expert, target)
                return
            dropped_share = placement.compute_share(dropped)
        for target_share, removes_source in (
            (replicated_share, False),
            (share, True),
        ):
            source_share = 0 if removes_source else replicated_share
            yield Move(
                self._compute_peak(
                    target, source_share - share, target_share - dropped_share
                ),
                expert,
                self._source,
                target,
                dropped,
                removes_source=removes_source,
                is_exchange=False,
            )

    def _compute_peak(
        self, target: int, source_change: float, target_change: float
    ) -> float:
        placement = self._placement
        source = self._source
        return max(
            placement.rank_loads[source]
            + source_change * placement.paces[source],
            placement.rank_loads[target]
            + target_change * placement.paces[target],
        )

    def _list_removals(self) -> Iterator[Move]:
        """List removals of experts that have other copies."""
        placement = self._placement
        for expert in placement.held[self._source]:
            if placement.count_copies(expert) > 1:
                yield Move(
                    placement.estimate_peak_without(expert, self._source),
                    expert,
                    self._source,
                    self._source,
                    None,
                    removes_source=True,
                    is_exchange=False,
                )

    def _find_redundant(self, rank: int) -> int | None:
        placement = self._placement
        redundant = [
            one
            for one in placement.held[rank]
            if placement.count_copies(one) > 1
        ]
        return min(redundant, key=placement.compute_share, default=None)

    def _list_exchanges(self, expert: int, target: int) -> Iterator[Move]:
        # No expert of the full target is replicated: swap the lightest one.
        placement = self._placement
        lightest = min(placement.held[target], key=placement.compute_share)
        if not self._may_take(self._source, lightest):
            return
        transferred = placement.compute_share(expert) - placement.compute_share(
            lightest
        )
        yield Move(
            self._compute_peak(target, -transferred, transferred),
            expert,
            self._source,
            target,
            lightest,
            removes_source=True,
            is_exchange=True,
        )


def apply_move(placement: SetPlacement, move: Move) -> None:
    """Apply a move.

    :param placement: the placement; changed in place.
    :param move: the move.
    """
    if move.target == move.source:
        placement.remove(move.expert, move.source)
        return
    placement.add(move.expert, move.target)
    if move.dropped is not None:
        if move.is_exchange:
            placement.add(move.dropped, move.source)
        placement.remove(move.dropped, move.target)
    if move.removes_source:
        placement.remove(move.expert, move.source)
