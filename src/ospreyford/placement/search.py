"""Local search: which few changes of a layer are worth their cost."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import chain
from typing import NamedTuple

from ospreyford.placement.changes import (
    Change,
    Replicate,
    Retire,
    Shift,
    apply,
    score,
)
from ospreyford.placement.layer import Expected, LayerState
from ospreyford.placement.map import LayerMap

#: Destinations tried for each expert: the coolest ranks with a free slot.
DESTINATIONS = 3
#: Changes tried beyond the best so far: two ranks may share the peak, so one
#: change alone may lower nothing.
PATIENCE = 4


class SearchLimits(NamedTuple):
    """What a search keeps to.

    :param ranks: ranks in the group.
    :param slots: experts of one layer that a rank's memory takes.
    :param change_cost: what one change must lower the peak by, hysteresis
        included.
    :param max_changes: most changes of one layer.
    :param replicas: whether an expert may be on more than one rank.
    """

    ranks: int
    slots: int
    change_cost: float
    max_changes: int
    replicas: bool


class Proposal(NamedTuple):
    """The best that was found for a layer.

    :param number: the layer's number.
    :param wanted: the layer after the changes.
    :param changes: how many changes lead there.
    :param gain: by how much the peak falls.
    :param net: ``gain`` less the changes' cost.
    """

    number: int
    wanted: LayerMap
    changes: int
    gain: float
    net: float


def improve_layer(
    number: int,
    layer: LayerMap,
    expected: Sequence[Expected],
    limits: SearchLimits,
) -> Proposal | None:
    """Search for changes of one layer that are worth their cost.

    :param number: the layer's number.
    :param layer: for each expert, the ranks that hold it now.
    :param expected: the popularities to serve.
    :param limits: memory and cost.
    :returns: the best changes, or ``None`` if none is worth it.
    """
    state = LayerState(layer, expected, limits.ranks)
    # No placement has a peak below 1, so nothing can gain more than this.
    if state.peak() - 1 <= limits.change_cost:
        return None
    return _walk_down(number, state, limits) or _make_room(
        number, layer, expected, limits
    )


def _walk_down(
    number: int, state: LayerState, limits: SearchLimits
) -> Proposal | None:
    first = state.peak()
    best: Proposal | None = None
    best_net: float = 0
    best_count = 0
    for count in range(1, limits.max_changes + 1):
        change = _choose_change(state, limits)
        if change is None or count > best_count + PATIENCE:
            break
        apply(state, change)
        gain = first - state.peak()
        net = gain - count * limits.change_cost
        if net > best_net:
            best_net = net
            best_count = count
            best = Proposal(number, state.freeze(), count, gain, net)
    return best


def _make_room(
    number: int,
    layer: LayerMap,
    expected: Sequence[Expected],
    limits: SearchLimits,
) -> Proposal | None:
    """Free a slot on a cool rank whose memory is full, if that pays.

    The slot is free only once the change is in force, so the plan is this
    change alone; the next plan fills the slot.
    """
    state = LayerState(layer, expected, limits.ranks)
    first = state.peak()
    change = _choose_eviction(state, limits.slots)
    if change is None:
        return None
    apply(state, change)
    raised = state.peak() - first
    roomier = state.freeze()
    filled = _walk_down(
        number, LayerState(roomier, expected, limits.ranks), limits
    )
    net = filled.net - raised - limits.change_cost if filled else 0
    if filled is None or net <= 0:
        return None
    return Proposal(number, roomier, 1, filled.gain - raised, net)


def _choose_eviction(state: LayerState, slots: int) -> Change | None:
    cool = _list_cool_ranks(state)
    if state.held[cool[0]] < slots:
        return None
    free = [rank for rank in cool if state.held[rank] < slots]
    changes = chain.from_iterable(
        _list_evictions(state, expert, source, free)
        for source in cool[:DESTINATIONS]
        for expert in sorted(state.residents[source])
    )
    return min(changes, key=lambda each: score(state, each), default=None)


def _list_evictions(
    state: LayerState, expert: int, source: int, free: Sequence[int]
) -> Iterator[Change]:
    if len(state.holders[expert]) > 1:
        yield Retire(expert, source)
    elsewhere = [rank for rank in free if rank not in state.holders[expert]]
    for target in elsewhere[:1]:
        yield Shift(expert, source, target)


def _choose_change(state: LayerState, limits: SearchLimits) -> Change | None:
    scored = (
        (score(state, change), index, change)
        for index, change in enumerate(_list_changes(state, limits))
    )
    best = min(scored, default=None)
    return best[-1] if best else None


def _list_changes(state: LayerState, limits: SearchLimits) -> Iterator[Change]:
    cool = [
        rank
        for rank in _list_cool_ranks(state)
        if state.held[rank] < limits.slots
    ]
    hot = {loads.index(max(loads)) for loads in state.rank_loads}
    for source in sorted(hot):
        for expert in sorted(state.residents[source]):
            yield from _list_expert_changes(
                state, expert, source, cool, limits.replicas
            )


def _list_expert_changes(
    state: LayerState,
    expert: int,
    source: int,
    cool: Sequence[int],
    replicas: bool,
) -> Iterator[Change]:
    holders = state.holders[expert]
    if len(holders) > 1:
        yield Retire(expert, source)
    targets = [rank for rank in cool if rank not in holders]
    for target in targets[:DESTINATIONS]:
        yield Shift(expert, source, target)
        if replicas:
            yield Replicate(expert, target)


def _list_cool_ranks(state: LayerState) -> list[int]:
    warmth = [
        sum(
            each.share * load
            for each, load in zip(state.expected, loads, strict=True)
        )
        for loads in zip(*state.rank_loads, strict=True)
    ]
    return sorted(range(len(warmth)), key=warmth.__getitem__)
