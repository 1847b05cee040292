"""Dispatches calls to backends with retries."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ospreyford.entry.hedging import Hedger
from ospreyford.entry.keyed import KeyedDispatcher
from ospreyford.entry.outcome import Cause, NotRun, Outcome, Unknown
from ospreyford.entry.requestqueue import is_overloaded
from ospreyford.entry.selector import BackendSelector
from ospreyford.entry.sender import Sender
from ospreyford.routing.query import Attempt

if TYPE_CHECKING:
    from ospreyford.entry.attemptspec import AttemptSpec
    from ospreyford.entry.call import Call, Directory, Plan
    from ospreyford.entry.sender import AttemptDependencies
    from ospreyford.entry.settings import RequestSettings
    from ospreyford.entry.sink import Sink

#: Causes that are the same on every backend.
NON_RETRYABLE_CAUSES = frozenset(
    (Cause.bad_key, Cause.key_reused, Cause.deadline)
)


class Dispatcher:
    """Selects backends for calls and retries within budgets.

    :param settings: request limits.
    :param dependencies: router, request queue and other dependencies.
    :param directory: hosts by name.
    """

    def __init__(
        self,
        settings: RequestSettings,
        dependencies: AttemptDependencies,
        directory: Directory,
    ) -> None:
        self._settings = settings
        self._router = dependencies.router
        self._queue = dependencies.queue
        sender = Sender(dependencies)
        self._selector = BackendSelector(
            settings, dependencies.router, dependencies.clock
        )
        self._hedger = Hedger(settings, dependencies, self._selector, sender)
        self.keyed = KeyedDispatcher(settings, sender, directory)

    async def dispatch(self, call: Call, plan: Plan, sink: Sink) -> Outcome:
        """Dispatch a call.

        :param call: the admitted call.
        :param plan: pools and limits of the call.
        :param sink: destination of the response.
        :returns: the outcome.
        """
        if call.key and not call.idempotent:
            return await self.keyed.dispatch(call, plan, sink)
        return await self._dispatch_with_retries(call, plan, sink)

    async def _dispatch_with_retries(
        self, call: Call, plan: Plan, sink: Sink
    ) -> Outcome:
        excluded: frozenset[str] = frozenset()
        unknown: Unknown | None = None
        outcome: Outcome = NotRun(Cause.no_backend, 0)
        for retries_left in range(plan.retry_policy.retries, -1, -1):
            spec = await self._select_or_queue(call, plan, excluded)
            if isinstance(spec, NotRun):
                return unknown or spec
            outcome = await self._hedger.send(call, plan, spec, sink)
            if isinstance(outcome, Unknown):
                unknown = outcome
            excluded = frozenset(call.attempted_backends)
            # Spends budget, so it is checked last.
            retryable = retries_left > 0 and self._is_retryable(call, outcome)
            if not retryable or not self._spend_retry(plan, spec, outcome):
                break
        return self._merge_outcome(outcome, unknown)

    def _is_retryable(self, call: Call, outcome: Outcome) -> bool:
        if len(call.attempted_backends) >= self._settings.max_attempts:
            return False
        match outcome:
            case NotRun(cause=cause):
                return cause not in NON_RETRYABLE_CAUSES
            case Unknown(cause=cause):
                return call.idempotent and cause not in NON_RETRYABLE_CAUSES
            case _:
                return False

    def _spend_retry(
        self, plan: Plan, spec: AttemptSpec, outcome: Outcome
    ) -> bool:
        # Retries after a draining refusal add no load and spend no budget.
        if isinstance(outcome, NotRun) and outcome.cause is Cause.draining:
            return True
        return self._router.spend_retry(
            spec.host.name, plan.retry_policy.allowance
        )

    def _merge_outcome(
        self, outcome: Outcome, unknown: Unknown | None
    ) -> Outcome:
        # One attempt of unknown outcome makes the request's outcome unknown.
        if unknown is not None and isinstance(outcome, NotRun):
            return unknown
        return outcome

    async def _select_or_queue(
        self,
        call: Call,
        plan: Plan,
        excluded: frozenset[str],
    ) -> AttemptSpec | NotRun:
        # New requests must not overtake queued ones.
        attempt_kind = Attempt.retry if excluded else Attempt.first
        select = partial(
            self._selector.select, call, plan, excluded, attempt_kind
        )
        if not self._queue.has_waiters(call.service):
            spec = select()
            if not is_overloaded(spec):
                return spec
        return await self._queue.wait(call, plan, select)
