"""Second attempts beside slow first ones."""

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
from ospreyford.entry.sending import settle_outcome
from ospreyford.routing.query import Attempt

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ospreyford.entry.call import Call, Plan
    from ospreyford.entry.choosing import Chooser
    from ospreyford.entry.sending import Sender, Wiring
    from ospreyford.entry.settings import RequestSettings
    from ospreyford.entry.sink import Sink
    from ospreyford.entry.target import Sending


class Hedger:
    """Sends first attempts, with a second one beside those that are slow.

    Only idempotent requests are hedged, once each, if their intent says after
    how long. Nothing is hedged past its deadline, without budget, while
    requests wait for capacity, or where no other back end has room.

    :param settings: bounds of a request.
    :param wiring: router and waiting room.
    :param chooser: finds the other back end.
    :param sender: makes attempts.
    """

    def __init__(
        self,
        settings: RequestSettings,
        wiring: Wiring,
        chooser: Chooser,
        sender: Sender,
    ) -> None:
        self._settings = settings
        self._wiring = wiring
        self._chooser = chooser
        self._sender = sender

    async def send(
        self, call: Call, plan: Plan, sending: Sending, sink: Sink
    ) -> Outcome:
        """Send a call, perhaps twice.

        :param call: the admitted call; its ``servers`` grow by whom it was
            sent to.
        :param plan: what it may use.
        :param sending: where it goes first.
        :param sink: where the answer goes.
        :returns: how it ended.
        """
        after = plan.extras.hedge_after
        first = sending.kind is Attempt.first
        if after is None or not first or not call.idempotent:
            outcome = await self._sender.send(call, sending, sink)
            return self._settle(outcome)
        race = Race(sink)
        # Whatever ends this task ends both attempts with it.
        group = curio.TaskGroup()
        async with group:
            await self._start(group, race, call, sending)
            await curio.ignore_after(after, race.settled.wait())
            if not race.settled.is_set():
                other = self._find_other(call, plan, sending)
                if other is not None:
                    await self._start(group, race, call, other)
        _raise_error(group)
        if race.winner is not None:
            return self._settle(race.winner.outcome)
        return _join(self._settle(lane.outcome) for lane in race.lanes)

    async def _start(
        self, group: curio.TaskGroup, race: Race, call: Call, sending: Sending
    ) -> None:
        lane = race.add_lane()
        await group.spawn(lane.run, self._sender, call, sending)

    def _find_other(
        self, call: Call, plan: Plan, sending: Sending
    ) -> Sending | None:
        is_last = len(call.servers) >= self._settings.max_attempts
        if is_last or self._wiring.room.has_waiters(call.service):
            return None
        excluded = frozenset((sending.host.name,))
        other = self._chooser.choose(call, plan, excluded, Attempt.hedge)
        if isinstance(other, NotRun):
            return None
        # Asked last, so that nothing is spent for a hedge that is not sent.
        allowed = self._wiring.router.spend_hedge(plan.extras.allowance)
        return other if allowed else None

    def _settle(self, outcome: AttemptOutcome) -> Outcome:
        return settle_outcome(outcome, self._settings.retry_after_seconds)


def _raise_error(group: curio.TaskGroup) -> None:
    for error in group.exceptions:
        if error is not None:
            raise error


def _join(outcomes: Iterable[Outcome]) -> Outcome:
    # No answer has begun. One sending of unknown fate makes the whole
    # unknown, however many others were proved not to have run.
    return min(outcomes, key=_rank)


def _rank(outcome: Outcome) -> int:
    match outcome:
        case Abandoned():
            return 0
        case Unknown():
            return 1
        case _:
            return 2
