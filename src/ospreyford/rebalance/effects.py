"""Effects of orders on the state of a rank."""

from __future__ import annotations

from ospreyford.rebalance.group import (
    Arm,
    Armed,
    Disarm,
    Go,
    Hold,
    Order,
    RankState,
)


def compute_state_after(
    state: RankState, order: Order, *, is_accepted: bool
) -> RankState:
    """Compute a rank's state after an order that it has answered.

    :param state: before the order.
    :param order: any order but :class:`Prepare`, which takes time.
    :param is_accepted: whether the rank has accepted the order; otherwise it
        was in that state already.
    :returns: the state after it.
    """
    sequence = state.sequence + 1 if is_accepted else state.sequence
    new_state = state._replace(sequence=sequence)
    match order:
        case Hold(step=step):
            return new_state._replace(held=step)
        case Arm(version=version, step=step):
            return new_state._replace(armed=Armed(version, step))
        case Go(step=step) if state.held == step:
            return new_state._replace(held=None)
        case Disarm(version=version) if _is_armed(state, version):
            return new_state._replace(armed=None)
        case _:
            return new_state


def _is_armed(state: RankState, version: int) -> bool:
    return state.armed is not None and state.armed.version == version
