"""Single changes of one layer."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.placement.layer import LayerState


@dataclass(frozen=True)
class AddReplica:
    """Hold an expert on one more rank."""

    expert: int
    target: int


@dataclass(frozen=True)
class MoveReplica:
    """Hold an expert on ``target`` in place of ``source``."""

    expert: int
    source: int
    target: int


@dataclass(frozen=True)
class RemoveReplica:
    """Hold an expert on one rank fewer."""

    expert: int
    source: int


Change = AddReplica | MoveReplica | RemoveReplica


def score_change(state: LayerState, change: Change) -> tuple[float, float]:
    """Try a change and undo it.

    :param state: the layer, left as it was.
    :param change: what changes.
    :returns: the peak after it, then the highest load of the ranks that it
        touches, which decides while another rank holds the peak.
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
    """Make a change.

    A slot that the change leaves stays in use until the plan is in force.

    :param state: the layer.
    :param change: what changes.
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
    """Undo a change that was just made.

    :param state: the layer.
    :param change: what was changed.
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
