"""Planner of expert maps: selects moves from the measured load."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ospreyford.rebalance.group import ExpertMap
from ospreyford.rebalance.moves import Move, MoveSearch, apply_move
from ospreyford.rebalance.setplacement import SetPlacement

#: Bounds the time of a plan.
MAX_MOVES_PER_RANK = 3


class PlanLimits(NamedTuple):
    """Limits of a plan.

    :param places: maximum experts of a set on one rank.
    :param spare: maximum experts of a set that a plan adds to a rank.
    :param copies: maximum experts of all sets that a plan adds to a rank.
    :param least_gain: minimum decrease of the set's peak load per move, as a
        fraction of the mean load of a rank.
    :param copy_cost: minimum decrease of the mean skew of all sets per copy.
    """

    places: int
    spare: int
    copies: int
    least_gain: float
    copy_cost: float


class Plan(NamedTuple):
    """A map and its expected effect.

    :param experts: the map.
    :param copies: number of experts to copy.
    :param before: peak over mean load of the ranks, averaged over the sets,
        with the current map.
    :param after: the same with the new map.
    """

    experts: ExpertMap
    copies: int
    before: float
    after: float


class Planner:
    """Greedy planner that relieves the most loaded set first.

    All ranks wait in each pass for the most loaded one, so only moves that take
    load from that rank help. Copies per rank are bounded because the change
    waits for the rank that copies most.

    :param loads: for each set, the expected load of each expert.
    :param experts: the current map.
    :param limits: limits of the plan.
    :param paces: for each rank, its slowdown factor; 1 at normal speed.
    :param is_out_of_time: whether to return the best plan so far.
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
        # Experts added to each rank, by set and in total.
        self._added = [[0 for _ in held] for held in experts]
        self._copied = [0 for _ in experts[0]]
        self._skews = [state.compute_skew() for state in self._placements]
        # Set and rank pairs changed since the best plan.
        self._changed: set[tuple[int, int]] = set()
        self._planned = [list(held) for held in experts]
        self._before = self._compute_mean_skew()
        self._best = Plan(experts, 0, self._before, self._before)

    def plan(self) -> Plan | None:
        """Compute the best plan.

        :returns: the plan, or ``None`` if no move is worth its cost.
        """
        candidate_sets = set(range(len(self._placements)))
        ranks = len(self._in_force[0])
        for _ in range(MAX_MOVES_PER_RANK * ranks * len(self._placements)):
            if not candidate_sets or self._is_out_of_time():
                break
            set_index = max(candidate_sets, key=self._compute_peak)
            move = self._select_move(set_index)
            if move is None:
                candidate_sets.discard(set_index)
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
        # With several equally loaded ranks only a series of moves pays.
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
