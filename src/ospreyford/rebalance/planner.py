"""Which experts move, from the load of the last second to the next map."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ospreyford.rebalance.group import ExpertMap

#: Experts of the hottest rank, and ranks to put one of them on, that are
#: tried for one move. More of either lowered the peak of recorded loads by
#: less than a hundredth of the mean.
HOT_EXPERTS = 4
COOL_RANKS = 4
#: Moves of one set in one plan, for each rank.
MOVES_PER_RANK = 3


class PlanLimits(NamedTuple):
    """What a plan keeps to.

    :param places: experts of a set that a rank holds at most.
    :param spare: experts of a set that a plan may add to a rank.
    :param copies: experts of all sets that a plan may add to a rank; each one
        delays the change by the time of a copy.
    :param least_gain: what a move must lower the peak by, as a part of the
        mean load of a rank.
    """

    places: int
    spare: int
    copies: int
    least_gain: float


class Plan(NamedTuple):
    """A map and what it is expected to do.

    :param experts: the map.
    :param moves: experts that are copied.
    :param before: load of the most loaded rank over the mean, mean of the
        sets, with the map in force.
    :param after: the same with the new map.
    """

    experts: ExpertMap
    moves: int
    before: float
    after: float


class _Move(NamedTuple):
    peak: float
    expert: int
    target: int
    dropped: int | None
    leaves: bool


class SetState:
    """One set of layers while moves are tried on it.

    :param loads: load of each expert.
    :param held: for each rank, the experts that it holds.
    """

    def __init__(
        self, loads: Sequence[float], held: Sequence[Sequence[int]]
    ) -> None:
        self.held = [set(experts) for experts in held]
        self._loads = loads
        self._copies = [0] * len(loads)
        for experts in self.held:
            for expert in experts:
                self._copies[expert] += 1
        self.rank_loads = [
            sum(self.share(expert) for expert in experts)
            for experts in self.held
        ]

    def share(self, expert: int) -> float:
        """Tell what an expert adds to each rank that holds it.

        :param expert: its number.
        :returns: its load over its copies.
        """
        return self._loads[expert] / max(self._copies[expert], 1)

    def peak(self) -> float:
        """Tell the load of the most loaded rank.

        :returns: the load.
        """
        return max(self.rank_loads)

    def count_copies(self, expert: int) -> int:
        """Count the ranks that hold an expert.

        :param expert: its number.
        :returns: the number of ranks.
        """
        return self._copies[expert]

    def add(self, expert: int, rank: int) -> None:
        """Put an expert on one more rank.

        :param expert: its number.
        :param rank: the rank.
        """
        self._recount(expert, rank, joins=True)

    def drop(self, expert: int, rank: int) -> None:
        """Take an expert from a rank.

        :param expert: its number.
        :param rank: the rank.
        """
        self._recount(expert, rank, joins=False)

    def _recount(self, expert: int, rank: int, *, joins: bool) -> None:
        before = self.share(expert)
        copies = self._copies[expert]
        holders = [
            number
            for number, experts in enumerate(self.held)
            if expert in experts
        ]
        for holder in holders:
            self.rank_loads[holder] -= before
        if joins:
            self.held[rank].add(expert)
            holders.append(rank)
            self._copies[expert] = copies + 1
        else:
            self.held[rank].discard(expert)
            holders.remove(rank)
            self._copies[expert] = copies - 1
        after = self.share(expert)
        for holder in holders:
            self.rank_loads[holder] += after


def plan_map(
    loads: Sequence[Sequence[float]],
    experts: ExpertMap,
    limits: PlanLimits,
) -> Plan | None:
    """Plan the moves that pay, hottest set first.

    Load pattern: a few experts of a set take a quarter of its tokens for some
    seconds, then others do. All ranks wait in each pass for the most loaded
    one, set by set, so a move pays only if it takes load from that rank. The
    number of copies is bounded because the change waits for the rank that
    copies most, and load moves on meanwhile.

    :param loads: for each set, the expected load of each expert.
    :param experts: the map in force.
    :param limits: what the plan keeps to.
    :returns: the plan, or ``None`` if no move pays.
    """
    states = [
        SetState(of_set, held)
        for of_set, held in zip(loads, experts, strict=True)
    ]
    before = [_tell_skew(state) for state in states]
    left = [limits.copies] * len(experts[0])
    moves = 0
    spent = [[0] * len(left) for _ in states]
    waiting = set(range(len(states)))
    for _ in range(MOVES_PER_RANK * len(left) * len(states)):
        if not waiting:
            break
        number = max(waiting, key=lambda one: states[one].peak())
        state = states[number]
        room = [
            min(left[rank], limits.spare - spent[number][rank])
            for rank in range(len(left))
        ]
        move = _choose_move(state, experts[number], room, limits)
        if move is None:
            waiting.discard(number)
            continue
        _make(state, move)
        if move.expert not in experts[number][move.target]:
            left[move.target] -= 1
            spent[number][move.target] += 1
            moves += 1
    if not moves:
        return None
    return Plan(
        experts=tuple(
            tuple(tuple(sorted(held)) for held in state.held)
            for state in states
        ),
        moves=moves,
        before=sum(before) / len(before),
        after=sum(map(_tell_skew, states)) / len(states),
    )


def _tell_skew(state: SetState) -> float:
    total = sum(state.rank_loads)
    if total <= 0:
        return 1
    return state.peak() * len(state.rank_loads) / total


def _choose_move(
    state: SetState,
    in_force: Sequence[Sequence[int]],
    room: Sequence[int],
    limits: PlanLimits,
) -> _Move | None:
    ranks = range(len(state.rank_loads))
    hot = max(ranks, key=lambda rank: state.rank_loads[rank])
    peak = state.rank_loads[hot]
    mean = sum(state.rank_loads) / len(state.rank_loads)
    heavy = sorted(state.held[hot], key=state.share, reverse=True)
    cool = sorted(ranks, key=lambda rank: state.rank_loads[rank])
    best: _Move | None = None
    for expert in heavy[:HOT_EXPERTS]:
        targets = [
            rank
            for rank in cool
            if expert not in state.held[rank]
            and (room[rank] > 0 or expert in in_force[rank])
        ]
        for target in targets[:COOL_RANKS]:
            for move in _list_moves(state, expert, hot, target, limits):
                if best is None or move.peak < best.peak:
                    best = move
    if best is None or peak - best.peak < limits.least_gain * mean:
        return None
    return best


def _list_moves(
    state: SetState, expert: int, hot: int, target: int, limits: PlanLimits
) -> list[_Move]:
    """List the ways to put an expert of the hottest rank on another one.

    Either a further copy, or the copy moves, which takes more load from the
    hottest rank; a full target drops what it can spare best.
    """
    copies = state.count_copies(expert)
    share = state.share(expert)
    shared = share * copies / (copies + 1)
    target_load = state.rank_loads[target]
    dropped: int | None = None
    relief = 0.0
    if len(state.held[target]) >= limits.places:
        spare = [
            one for one in state.held[target] if state.count_copies(one) > 1
        ]
        if not spare:
            return []
        dropped = min(spare, key=state.share)
        relief = state.share(dropped)
    return [
        _Move(
            max(
                state.rank_loads[hot] - share + shared,
                target_load + shared - relief,
            ),
            expert,
            target,
            dropped,
            leaves=False,
        ),
        _Move(
            max(
                state.rank_loads[hot] - share, target_load + share - relief
            ),
            expert,
            target,
            dropped,
            leaves=True,
        ),
    ]


def _make(state: SetState, move: _Move) -> None:
    hot = max(
        range(len(state.rank_loads)), key=lambda rank: state.rank_loads[rank]
    )
    if move.dropped is not None:
        state.drop(move.dropped, move.target)
    state.add(move.expert, move.target)
    if move.leaves:
        state.drop(move.expert, hot)
