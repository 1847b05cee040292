"""Replica changes that the local search applies to a layer."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.placement.layer import LayerState


@dataclass(frozen=True)
class AddReplica:
    """Add a replica of an expert on ``target``."""

    expert: int
    target: int


@dataclass(frozen=True)
class MoveReplica:
    """Move a replica of an expert from ``source`` to ``target``."""

    expert: int
    source: int
    target: int


@dataclass(frozen=True)
class RemoveReplica:
    """Remove the replica of an expert on ``source``."""

    expert: int
    source: int


Change = AddReplica | MoveReplica | RemoveReplica


def score_change(state: LayerState, change: Change) -> tuple[float, float]:
    """Evaluate a change without keeping it.

    :param state: the layer; unchanged on return.
    :param change: the change to evaluate.
    :returns: the resulting peak load, then the highest load of the affected
        ranks as a tie-breaker.
    """
    touched = set(state.holders[change.expert])
    apply_change(state, change)
    touched |= state.holders[change.expert]
    peak = state.compute_peak()
    touched_peak = max(
        max(loads[rank] for rank in touched) for loads in state.rank_loads
    )
    revert_change(state, change)
    return peak, touched_peak


def apply_change(state: LayerState, change: Change) -> None:
    """Apply a change.

    A vacated slot stays in use until the plan is in force.

    :param state: the layer.
    :param change: the change to apply.
    """
    match change:
        case AddReplica(expert, target):
            state.add_replica(expert, target)
            state.used_slots[target] += 1
        case MoveReplica(expert, source, target):
            state.add_replica(expert, target)
            state.used_slots[target] += 1
            state.remove_replica(expert, source)
        case RemoveReplica(expert, source):
            state.remove_replica(expert, source)


def revert_change(state: LayerState, change: Change) -> None:
    """Revert the last applied change.

    :param state: the layer.
    :param change: the change to revert.
    """
    match change:
        case AddReplica(expert, target):
            state.remove_replica(expert, target)
            state.used_slots[target] -= 1
        case MoveReplica(expert, source, target):
            state.add_replica(expert, source)
            state.remove_replica(expert, target)
            state.used_slots[target] -= 1
        case RemoveReplica(expert, source):
            state.add_replica(expert, source)
