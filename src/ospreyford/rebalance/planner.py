"""Which experts move, from the load of the last passes to the next map."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ospreyford.rebalance.group import ExpertMap
from ospreyford.rebalance.moves import Move, MoveSearch, apply_move
from ospreyford.rebalance.setplacement import SetPlacement

#: Moves of one set in one plan, for each rank: bounds the time of a plan.
MAX_MOVES_PER_RANK = 3


class PlanLimits(NamedTuple):
    """What a plan keeps to.

    :param places: experts of a set that a rank holds at most.
    :param spare: experts of a set that a plan may add to a rank.
    :param copies: experts of all sets that a plan may add to a rank; each one
        delays the change by the time of a copy.
    :param least_gain: what a move must lower the peak of its set by, as a part
        of the mean load of a rank.
    :param copy_cost: what a copy must lower the mean skew of all sets by.
    """

    places: int
    spare: int
    copies: int
    least_gain: float
    copy_cost: float


class Plan(NamedTuple):
    """A map and what it is expected to do.

    :param experts: the map.
    :param copies: experts that are copied.
    :param before: load of the most loaded rank over the mean, mean of the
        sets, with the map in force.
    :param after: the same with the new map.
    """

    experts: ExpertMap
    copies: int
    before: float
    after: float


class Planner:
    """Plans the moves that pay, most loaded set first.

    Load pattern: a few experts of a set take a quarter of its tokens for some
    seconds, then others do. All ranks wait in each pass for the most loaded
    one, set by set, so a move pays only if it takes load from that rank. The
    number of copies is bounded because the change waits for the rank that
    copies most, and load moves on meanwhile.

    :param loads: for each set, the expected load of each expert.
    :param experts: the map in force.
    :param limits: what the plan keeps to.
    :param paces: for each rank, above 1 if it is slower than usual.
    :param is_over: whether the time for the plan is used up; it is then the
        best one found so far.
    """

    def __init__(
        self,
        loads: Sequence[Sequence[float]],
        experts: ExpertMap,
        limits: PlanLimits,
        paces: Sequence[float] = (),
        is_out_of_time: Callable[[], bool] = bool,
    ) -> None:
        self._in_force = experts
        self._limits = limits
        self._is_out_of_time = is_out_of_time
        self._placements = [
            SetPlacement(of_set, held, paces)
            for of_set, held in zip(loads, experts, strict=True)
        ]
        # Experts that are new to each rank, by set, and of all sets.
        self._added = [[0 for _ in held] for held in experts]
        self._copied = [0 for _ in experts[0]]
        self._skews = [state.compute_skew() for state in self._placements]
        # Parts of the best plan that later moves have changed.
        self._changed: set[tuple[int, int]] = set()
        self._planned = [list(held) for held in experts]
        self._before = self._compute_mean_skew()
        self._best = Plan(experts, 0, self._before, self._before)

    def plan(self) -> Plan | None:
        """Plan.

        :returns: the plan, or ``None`` if no move pays.
        """
        open_sets = set(range(len(self._placements)))
        ranks = len(self._in_force[0])
        for _ in range(MAX_MOVES_PER_RANK * ranks * len(self._placements)):
            if not open_sets or self._is_out_of_time():
                break
            set_index = max(open_sets, key=self._compute_peak)
            move = self._select_move(set_index)
            if move is None:
                open_sets.discard(set_index)
            else:
                self._apply_move(set_index, move)
        experts = tuple(map(tuple, self._planned))
        if experts == self._in_force:
            return None
        return self._best._replace(experts=experts)

    def _compute_peak(self, set_index: int) -> float:
        return max(self._placements[set_index].rank_loads)

    def _compute_mean_skew(self) -> float:
        return sum(self._skews) / len(self._skews)

    def _select_move(self, set_index: int) -> Move | None:
        placement = self._placements[set_index]
        move = MoveSearch(
            placement,
            self._in_force[set_index],
            self._list_receivers(set_index),
            self._limits.places,
        ).find_best()
        if move is None:
            return None
        gain = self._compute_peak(set_index) - move.peak
        min_gain = self._limits.least_gain * placement.compute_mean()
        return move if gain > 0 and gain >= min_gain else None

    def _list_receivers(self, set_index: int) -> set[int]:
        limits = self._limits
        pairs = zip(self._copied, self._added[set_index], strict=True)
        return {
            rank
            for rank, (copied, added) in enumerate(pairs)
            if copied < limits.copies and added < limits.spare
        }

    def _apply_move(self, set_index: int, move: Move) -> None:
        placement = self._placements[set_index]
        apply_move(placement, move)
        added = self._added[set_index]
        for rank in (move.source, move.target):
            in_force = self._in_force[set_index][rank]
            self._copied[rank] -= added[rank]
            added[rank] = len(placement.held[rank].difference(in_force))
            self._copied[rank] += added[rank]
            self._changed.add((set_index, rank))
        self._skews[set_index] = placement.compute_skew()
        self._keep_if_best()

    def _keep_if_best(self) -> None:
        # Several ranks of a set may be equally loaded: moves that take load
        # from one of them pay only together with those for the others.
        plan = Plan(
            self._in_force,
            sum(self._copied),
            self._before,
            self._compute_mean_skew(),
        )
        if self._compute_net_gain(plan) <= self._compute_net_gain(self._best):
            return
        self._best = plan
        for set_index, rank in self._changed:
            held = self._placements[set_index].held[rank]
            self._planned[set_index][rank] = tuple(sorted(held))
        self._changed.clear()

    def _compute_net_gain(self, plan: Plan) -> float:
        return plan.before - plan.after - self._limits.copy_cost * plan.copies
