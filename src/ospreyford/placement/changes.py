"""Single changes of one layer."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyford.placement.layer import LayerState


@dataclass(frozen=True)
class Replicate:
    """Hold an expert on one more rank."""

    expert: int
    target: int


@dataclass(frozen=True)
class Shift:
    """Hold an expert on ``target`` in place of ``source``."""

    expert: int
    source: int
    target: int


@dataclass(frozen=True)
class Retire:
    """Hold an expert on one rank fewer."""

    expert: int
    source: int


Change = Replicate | Shift | Retire


def score(state: LayerState, change: Change) -> tuple[float, float]:
    """Try a change and undo it.

    :param state: the layer, left as it was.
    :param change: what changes.
    :returns: the peak after it, then the highest load of the ranks that it
        touches, which decides while another rank holds the peak.
    """
    touched = set(state.holders[change.expert])
    apply(state, change)
    touched |= state.holders[change.expert]
    peak = state.peak()
    highest = max(
        max(loads[rank] for rank in touched) for loads in state.rank_loads
    )
    revert(state, change)
    return peak, highest


def apply(state: LayerState, change: Change) -> None:
    """Make a change.

    A slot that the change leaves stays in use until the plan is in force.

    :param state: the layer.
    :param change: what changes.
    """
    match change:
        case Replicate(expert, target):
            state.add(expert, target)
            state.held[target] += 1
        case Shift(expert, source, target):
            state.add(expert, target)
            state.held[target] += 1
            state.drop(expert, source)
        case Retire(expert, source):
            state.drop(expert, source)


def revert(state: LayerState, change: Change) -> None:
    """Undo a change that was just made.

    :param state: the layer.
    :param change: what was changed.
    """
    match change:
        case Replicate(expert, target):
            state.drop(expert, target)
            state.held[target] -= 1
        case Shift(expert, source, target):
            state.add(expert, source)
            state.drop(expert, target)
            state.held[target] -= 1
        case Retire(expert, source):
            state.add(expert, source)
