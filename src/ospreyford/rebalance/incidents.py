"""Refused orders, fenced terms and foreign ranks, as seen by a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.rebalance.decisions import OrderRefused, TermFenced
from ospreyford.rebalance.group import (
    Arm,
    Fenced,
    Hold,
    Order,
    Outcome,
    Prepare,
    RankState,
    Rejected,
    Term,
)

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog
    from ospreyford.rebalance.metrics import AgentMetrics

#: A pass that begins before its hold arrives; another one is held instead.
LATE = 'pass has begun'


def find_cause(order: Order, state: RankState, term: Term) -> str:
    """Find why a rank does not accept an order.

    :param order: the order.
    :param state: state of the rank that has refused it.
    :param term: token and epoch of the coordinator.
    :returns: the cause.
    """
    if state.epoch != term.epoch:
        return 'other epoch'
    match order:
        case Hold(step=step) | Arm(step=step) if step <= state.step:
            return LATE
        case Hold() if state.held is not None:
            return 'holds another pass'
        case Prepare(version=version) | Arm(version=version):
            return _find_map_cause(version, state)
    return 'other state'


def _find_map_cause(version: int, state: RankState) -> str:
    if state.armed is not None:
        return 'armed for another map'
    if state.prepared is not None and state.prepared != version:
        return 'another map is prepared'
    return 'map is not prepared'


class GroupIncidents:
    """Counts and logs what does not happen on a calm day.

    :param group: the group's name.
    :param metrics: metrics of the agent.
    :param log: event log.
    """

    def __init__(
        self, group: str, metrics: AgentMetrics, log: ChangeLog
    ) -> None:
        self._group = group
        self._metrics = metrics
        self._log = log
        self._fenced_by: tuple[int, str] | None = None

    def record_outcome(
        self, rank: int, order: Order, term: Term, outcome: Outcome
    ) -> None:
        """Record the outcome of an order.

        :param rank: the rank.
        :param order: the order.
        :param term: token and epoch of the coordinator.
        :param outcome: the outcome.
        """
        match outcome:
            case Fenced():
                self._fenced_by = (rank, type(order).__name__)
            case Rejected(state=state):
                self._record_refusal(rank, order, term, state)

    def record_foreign(self) -> None:
        """Record that a rank that was read belongs to another group."""
        self._metrics.foreign_probes.inc()

    def record_fenced_term(self, token: int) -> None:
        """Record that ranks have seen a higher token.

        :param token: the coordinator's fencing token.
        """
        rank, order = self._fenced_by or (-1, '')
        self._metrics.terms_fenced.inc()
        self._log.log_change(TermFenced(self._group, token, rank, order))

    def _record_refusal(
        self, rank: int, order: Order, term: Term, state: RankState
    ) -> None:
        kind = type(order).__name__
        cause = find_cause(order, state, term)
        self._metrics.orders_refused.labels(kind, cause).inc()
        if isinstance(order, Hold) and cause == LATE:
            return
        self._log.log_change(
            OrderRefused(
                group=self._group,
                rank=rank,
                order=kind,
                token=term.token,
                epoch=term.epoch,
                known_epoch=state.epoch,
                step=state.step,
                version=state.version,
                cause=cause,
            )
        )
