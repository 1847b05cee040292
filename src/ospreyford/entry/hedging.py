"""Hedges slow first attempts of idempotent requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.entry.outcome import (
    Abandoned,
    AttemptOutcome,
    NotRun,
    Outcome,
    Unknown,
)
from ospreyford.entry.race import Race
from ospreyford.entry.sender import finalize_outcome
from ospreyford.routing.query import Attempt

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.entry.attemptspec import AttemptSpec
    from ospreyford.entry.call import Call, Plan
    from ospreyford.entry.selector import BackendSelector
    from ospreyford.entry.sender import AttemptDependencies, Sender
    from ospreyford.entry.settings import RequestSettings
    from ospreyford.entry.sink import Sink


class Hedger:
    """Sends a call, with one hedge if the first attempt is slow.

    Requires an idempotent call, a hedge delay in its routing intent, budget,
    an empty queue and another backend with capacity.

    :param settings: request limits.
    :param dependencies: router and request queue.
    :param selector: selects the hedge's backend.
    :param sender: runs attempts.
    """

    def __init__(
        self,
        settings: RequestSettings,
        dependencies: AttemptDependencies,
        selector: BackendSelector,
        sender: Sender,
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies
        self._selector = selector
        self._sender = sender

    async def send(
        self, call: Call, plan: Plan, spec: AttemptSpec, sink: Sink
    ) -> Outcome:
        """Send a call and hedge it if its first attempt is slow.

        :param call: the admitted call; records the attempted backends.
        :param plan: pools and limits of the call.
        :param spec: first attempt.
        :param sink: destination of the response.
        :returns: the outcome.
        """
        hedge_after = plan.retry_policy.hedge_after
        is_first = spec.attempt_kind is Attempt.first
        if hedge_after is None or not is_first or not call.idempotent:
            outcome = await self._sender.send(call, spec, sink)
            return self._finalize(outcome)
        race = Race(sink)
        # Cancelling this task cancels both attempts.
        group = curio.TaskGroup()
        async with group:
            await self._spawn_attempt(group, race, call, spec)
            await curio.ignore_after(hedge_after, race.settled.wait())
            if not race.settled.is_set():
                hedge = self._select_hedge(call, plan, spec)
                if hedge is not None:
                    await self._spawn_attempt(group, race, call, hedge)
        _raise_error(group)
        if race.winner is not None:
            return self._finalize(race.winner.outcome)
        return _merge_outcomes(
            self._finalize(attempt.outcome) for attempt in race.attempts
        )

    async def _spawn_attempt(
        self, group: curio.TaskGroup, race: Race, call: Call, spec: AttemptSpec
    ) -> None:
        attempt = race.add_attempt()
        await group.spawn(attempt.run, self._sender, call, spec)

    def _select_hedge(
        self, call: Call, plan: Plan, first: AttemptSpec
    ) -> AttemptSpec | None:
        attempts_exhausted = (
            len(call.attempted_backends) >= self._settings.max_attempts
        )
        if attempts_exhausted or self._dependencies.queue.has_waiters(
            call.service
        ):
            return None
        excluded = frozenset((first.host.name,))
        hedge = self._selector.select(call, plan, excluded, Attempt.hedge)
        if isinstance(hedge, NotRun):
            return None
        # Last check, so that only hedges that are sent consume budget.
        allowed = self._dependencies.router.spend_hedge(
            plan.retry_policy.allowance
        )
        return hedge if allowed else None

    def _finalize(self, outcome: AttemptOutcome) -> Outcome:
        return finalize_outcome(outcome, self._settings.retry_after_seconds)


def _raise_error(group: curio.TaskGroup) -> None:
    for error in group.exceptions:
        if error is not None:
            raise error


def _merge_outcomes(outcomes: Iterable[Outcome]) -> Outcome:
    # One attempt of unknown outcome makes the request's outcome unknown.
    return min(outcomes, key=_rank_outcome)


def _rank_outcome(outcome: Outcome) -> int:
    match outcome:
        case Abandoned():
            return 0
        case Unknown():
            return 1
        case _:
            return 2
