"""Greedy local search for layer changes that are worth their cost."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import chain
from typing import NamedTuple

from ospreyford.placement.changes import (
    AddReplica,
    Change,
    MoveReplica,
    RemoveReplica,
    apply_change,
    score_change,
)
from ospreyford.placement.layer import LayerState, LoadScenario
from ospreyford.placement.map import LayerMap

#: Least loaded ranks tried as destinations of each expert.
MAX_DESTINATIONS = 3
#: Changes tried beyond the best result: a shared peak needs several.
MAX_CHANGES_WITHOUT_GAIN = 4


class SearchLimits(NamedTuple):
    """Constraints of the search.

    :param ranks: number of ranks in the group.
    :param slots: experts of one layer that fit in a rank's memory.
    :param change_cost: minimum peak reduction of a change, with hysteresis.
    :param max_changes: upper bound on the changes to one layer.
    :param replicas: whether an expert may have more than one replica.
    """

    ranks: int
    slots: int
    change_cost: float
    max_changes: int
    replicas: bool


class Proposal(NamedTuple):
    """Best result of the search for a layer.

    :param layer_index: index of the layer.
    :param target: the layer after the changes.
    :param change_count: number of changes.
    :param gain: reduction of the peak load.
    :param net_gain: ``gain`` less the cost of the changes.
    """

    layer_index: int
    target: LayerMap
    change_count: int
    gain: float
    net_gain: float


def improve_layer(
    layer_index: int,
    layer: LayerMap,
    scenarios: Sequence[LoadScenario],
    limits: SearchLimits,
) -> Proposal | None:
    """Search for changes of one layer that are worth their cost.

    :param layer_index: index of the layer.
    :param layer: for each expert, the ranks that hold it now.
    :param scenarios: the expected load scenarios.
    :param limits: constraints of the search.
    :returns: the best result, or ``None`` if no change is worth its cost.
    """
    state = LayerState(layer, scenarios, limits.ranks)
    # No placement has a peak below 1, which bounds the gain.
    if state.compute_peak() - 1 <= limits.change_cost:
        return None
    return _search_greedily(layer_index, state, limits) or _free_slot(
        layer_index, layer, scenarios, limits
    )


def _search_greedily(
    layer_index: int, state: LayerState, limits: SearchLimits
) -> Proposal | None:
    initial_peak = state.compute_peak()
    best: Proposal | None = None
    best_net_gain: float = 0
    best_count = 0
    for count in range(1, limits.max_changes + 1):
        change = _select_change(state, limits)
        if change is None or count > best_count + MAX_CHANGES_WITHOUT_GAIN:
            break
        apply_change(state, change)
        gain = initial_peak - state.compute_peak()
        net_gain = gain - count * limits.change_cost
        if net_gain > best_net_gain:
            best_net_gain = net_gain
            best_count = count
            best = Proposal(
                layer_index, state.to_layer_map(), count, gain, net_gain
            )
    return best


def _free_slot(
    layer_index: int,
    layer: LayerMap,
    scenarios: Sequence[LoadScenario],
    limits: SearchLimits,
) -> Proposal | None:
    """Free a slot on a full, lightly loaded rank if refilling it pays.

    The slot can be filled only by the next plan.
    """
    state = LayerState(layer, scenarios, limits.ranks)
    initial_peak = state.compute_peak()
    change = _select_eviction(state, limits.slots)
    if change is None:
        return None
    apply_change(state, change)
    peak_increase = state.compute_peak() - initial_peak
    freed_layer = state.to_layer_map()
    next_proposal = _search_greedily(
        layer_index, LayerState(freed_layer, scenarios, limits.ranks), limits
    )
    net_gain = (
        next_proposal.net_gain - peak_increase - limits.change_cost
        if next_proposal
        else 0
    )
    if next_proposal is None or net_gain <= 0:
        return None
    return Proposal(
        layer_index,
        freed_layer,
        1,
        next_proposal.gain - peak_increase,
        net_gain,
    )


def _select_eviction(state: LayerState, slots: int) -> Change | None:
    ranks_by_load = _sort_ranks_by_load(state)
    if state.used_slots[ranks_by_load[0]] < slots:
        return None
    ranks_with_slot = [
        rank for rank in ranks_by_load if state.used_slots[rank] < slots
    ]
    changes = chain.from_iterable(
        _list_evictions(state, expert, source, ranks_with_slot)
        for source in ranks_by_load[:MAX_DESTINATIONS]
        for expert in sorted(state.experts_by_rank[source])
    )
    return min(
        changes, key=lambda each: score_change(state, each), default=None
    )


def _list_evictions(
    state: LayerState, expert: int, source: int, ranks_with_slot: Sequence[int]
) -> Iterator[Change]:
    if len(state.holders[expert]) > 1:
        yield RemoveReplica(expert, source)
    targets = [
        rank for rank in ranks_with_slot if rank not in state.holders[expert]
    ]
    for target in targets[:1]:
        yield MoveReplica(expert, source, target)


def _select_change(state: LayerState, limits: SearchLimits) -> Change | None:
    scored = (
        (score_change(state, change), index, change)
        for index, change in enumerate(_list_changes(state, limits))
    )
    best = min(scored, default=None)
    return best[-1] if best else None


def _list_changes(state: LayerState, limits: SearchLimits) -> Iterator[Change]:
    ranks_with_slot = [
        rank
        for rank in _sort_ranks_by_load(state)
        if state.used_slots[rank] < limits.slots
    ]
    peak_ranks = {loads.index(max(loads)) for loads in state.rank_loads}
    for source in sorted(peak_ranks):
        for expert in sorted(state.experts_by_rank[source]):
            yield from _list_expert_changes(
                state, expert, source, ranks_with_slot, limits.replicas
            )


def _list_expert_changes(
    state: LayerState,
    expert: int,
    source: int,
    ranks_with_slot: Sequence[int],
    replicas: bool,
) -> Iterator[Change]:
    holders = state.holders[expert]
    if len(holders) > 1:
        yield RemoveReplica(expert, source)
    targets = [rank for rank in ranks_with_slot if rank not in holders]
    for target in targets[:MAX_DESTINATIONS]:
        yield MoveReplica(expert, source, target)
        if replicas:
            yield AddReplica(expert, target)


def _sort_ranks_by_load(state: LayerState) -> list[int]:
    mean_loads = [
        sum(
            each.weight * load
            for each, load in zip(state.scenarios, loads, strict=True)
        )
        for loads in zip(*state.rank_loads, strict=True)
    ]
    return sorted(range(len(mean_loads)), key=mean_loads.__getitem__)
