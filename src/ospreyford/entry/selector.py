"""Selects a backend for one attempt at a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.entry.attemptspec import AttemptSpec
from ospreyford.entry.outcome import Cause, NotRun
from ospreyford.entry.sender import make_engine_headers
from ospreyford.routing.query import (
    AllLeaving,
    Attempt,
    Basis,
    Choice,
    DeadlinePassed,
    NoBackend,
    NoCandidate,
    Overloaded,
    RoutingQuery,
)
from ospreyford.wire.ids import create_id, read_timestamp_ms

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Plan
    from ospreyford.entry.settings import RequestSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.fleet import Host
    from ospreyford.routing.query import Reason
    from ospreyford.routing.router import Router


class BackendSelector:
    """Selects from the pools in order of preference.

    :param settings: default ``retry_after``.
    :param router: selects among the hosts of a pool.
    :param clock: time source.
    """

    def __init__(
        self, settings: RequestSettings, router: Router, clock: Clock
    ) -> None:
        self._settings = settings
        self._router = router
        self._clock = clock

    def select(
        self,
        call: Call,
        plan: Plan,
        excluded: frozenset[str],
        attempt_kind: Attempt,
    ) -> AttemptSpec | NotRun:
        """Select a backend without sending or recording anything.

        :param call: the admitted call.
        :param plan: pools and limits of the call.
        :param excluded: names of backends to exclude.
        :param attempt_kind: first attempt, retry or hedge.
        :returns: the attempt to make, or why there is none.
        """
        query = _make_query(call, plan, excluded)
        now = self._clock.monotonic()
        refusal = NoBackend(NoCandidate(), self._settings.retry_after_seconds)
        for hosts in plan.pools:
            choice = self._router.choose(query, hosts, now)
            if isinstance(choice, NoBackend):
                refusal = choice
            elif _is_acceptable(choice, attempt_kind):
                return _make_spec(call, plan, choice.host, attempt_kind)
        return NotRun(_classify_reason(refusal.reason), refusal.retry_after)


def _is_acceptable(choice: Choice, attempt_kind: Attempt) -> bool:
    # Do not hedge in panic mode: failures that most backends share are not
    # avoided by another backend.
    return attempt_kind is not Attempt.hedge or choice.basis is not Basis.panic


def _make_spec(
    call: Call, plan: Plan, host: Host, attempt_kind: Attempt
) -> AttemptSpec:
    # Attempts at idempotent calls are independent executions; all others
    # share one execution id.
    execution = create_id() if call.idempotent else call.request_id
    return AttemptSpec(
        host,
        attempt_kind,
        execution,
        read_timestamp_ms(execution) or 0,
        make_engine_headers(plan),
        plan.retry_policy.allowance,
    )


def _make_query(
    call: Call,
    plan: Plan,
    excluded: frozenset[str],
) -> RoutingQuery:
    return RoutingQuery(
        service=call.service,
        customer=call.customer,
        deadline=call.deadline,
        prefix=call.prefix_hash if plan.caches_prefixes else None,
        adapter=plan.adapter,
        version=plan.version,
        priority=plan.priority,
        excluded=excluded,
        prompt_tokens=call.estimated_tokens,
        idempotent=call.idempotent,
        zone_preference=plan.zone_preference,
    )


def _classify_reason(reason: Reason) -> Cause:
    match reason:
        case NoCandidate():
            return Cause.no_backend
        case AllLeaving():
            return Cause.draining
        case Overloaded():
            return Cause.overloaded
        case DeadlinePassed():
            return Cause.deadline
