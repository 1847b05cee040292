"""Sends a call to back ends until its outcome is settled."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ospreyford.entry.choosing import Chooser
from ospreyford.entry.hedging import Hedger
from ospreyford.entry.keyed import KeyedDispatcher
from ospreyford.entry.outcome import Cause, NotRun, Outcome, Unknown
from ospreyford.entry.sending import Sender
from ospreyford.entry.waiting import is_overload
from ospreyford.routing.query import Attempt

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Directory, Plan
    from ospreyford.entry.sending import Wiring
    from ospreyford.entry.settings import RequestSettings
    from ospreyford.entry.sink import Sink
    from ospreyford.entry.target import Sending

#: Causes that no other back end would judge differently.
FINAL_CAUSES = frozenset((Cause.bad_key, Cause.key_reused, Cause.deadline))


class Dispatcher:
    """Chooses back ends for calls and retries within budgets.

    :param settings: bounds of a request.
    :param wiring: router, waiting room and what attempts need.
    :param directory: hosts by name.
    """

    def __init__(
        self,
        settings: RequestSettings,
        wiring: Wiring,
        directory: Directory,
    ) -> None:
        self._settings = settings
        self._router = wiring.router
        self._room = wiring.room
        sender = Sender(wiring)
        self._chooser = Chooser(settings, wiring.router, wiring.clock)
        self._hedger = Hedger(settings, wiring, self._chooser, sender)
        self.keyed = KeyedDispatcher(settings, sender, directory)

    async def dispatch(self, call: Call, plan: Plan, sink: Sink) -> Outcome:
        """See a call through to its outcome.

        :param call: the admitted call.
        :param plan: what it may use.
        :param sink: where the answer goes.
        :returns: how it ended.
        """
        if call.key and not call.idempotent:
            return await self.keyed.send_home(call, plan, sink)
        return await self._spread(call, plan, sink)

    async def _spread(self, call: Call, plan: Plan, sink: Sink) -> Outcome:
        excluded: frozenset[str] = frozenset()
        doubt: Unknown | None = None
        outcome: Outcome = NotRun(Cause.no_backend, 0)
        for left in range(plan.extras.retries, -1, -1):
            sending = await self._find(call, plan, excluded)
            if isinstance(sending, NotRun):
                return doubt or sending
            outcome = await self._hedger.send(call, plan, sending, sink)
            if isinstance(outcome, Unknown):
                doubt = outcome
            excluded = frozenset(call.servers)
            # Asked for a retry that will be made alone: the question spends
            # the budgets.
            going = left > 0 and self._may_go_on(call, outcome)
            if not going or not self._may_retry(plan, sending, outcome):
                break
        return self._conclude(outcome, doubt)

    def _may_go_on(self, call: Call, outcome: Outcome) -> bool:
        if len(call.servers) >= self._settings.max_attempts:
            return False
        match outcome:
            case NotRun(cause=cause):
                return cause not in FINAL_CAUSES
            case Unknown(cause=cause):
                return call.idempotent and cause not in FINAL_CAUSES
            case _:
                return False

    def _may_retry(
        self, plan: Plan, sending: Sending, outcome: Outcome
    ) -> bool:
        # A refusal by a draining agent costs it nothing; anything else is
        # load on servers that may be failing from load.
        if isinstance(outcome, NotRun) and outcome.cause is Cause.draining:
            return True
        return self._router.spend_retry(
            sending.host.name, plan.extras.allowance
        )

    def _conclude(self, outcome: Outcome, doubt: Unknown | None) -> Outcome:
        # One sending of unknown fate makes the whole unknown, however many
        # others were proved not to have run.
        if doubt is not None and isinstance(outcome, NotRun):
            return doubt
        return outcome

    async def _find(
        self,
        call: Call,
        plan: Plan,
        excluded: frozenset[str],
    ) -> Sending | NotRun:
        # Whoever waits goes first: a newcomer that found capacity would
        # otherwise overtake the whole queue.
        kind = Attempt.retry if excluded else Attempt.first
        find = partial(self._chooser.choose, call, plan, excluded, kind)
        if not self._room.has_waiters(call.service):
            sending = find()
            if not is_overload(sending):
                return sending
        return await self._room.wait(call, plan, find)
