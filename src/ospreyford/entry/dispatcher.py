"""Sends a call to back ends until its outcome is settled."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ospreyford.entry.keyed import KeyedDispatcher
from ospreyford.entry.outcome import Cause, NotRun, Outcome, Unknown
from ospreyford.entry.sending import Sender, make_headers, settle_outcome
from ospreyford.entry.target import Sending
from ospreyford.entry.waiting import is_overload
from ospreyford.routing.query import (
    AllLeaving,
    Choice,
    DeadlinePassed,
    NoBackend,
    NoCandidate,
    Overloaded,
    RoutingQuery,
)
from ospreyford.routing.query import Attempt as AttemptKind
from ospreyford.wire.identity import make_id, read_date

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Directory, Plan
    from ospreyford.entry.sending import Wiring
    from ospreyford.entry.settings import RequestSettings
    from ospreyford.entry.sink import Sink
    from ospreyford.ports.fleet import Host
    from ospreyford.routing.query import Reason

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
        self._clock = wiring.clock
        self._sender = Sender(wiring)
        self.keyed = KeyedDispatcher(settings, self._sender, directory)

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
        for number in range(self._settings.max_attempts):
            sending = await self._find(call, plan, excluded, number)
            if isinstance(sending, NotRun):
                return doubt or sending
            outcome = settle_outcome(
                await self._sender.send(call, sending, sink),
                self._settings.retry_after_seconds,
            )
            if not self._may_go_on(call, outcome):
                break
            if isinstance(outcome, Unknown):
                doubt = outcome
            excluded |= {sending.host.name}
            if not self._may_retry(sending, outcome):
                break
        return self._conclude(outcome, doubt)

    def _may_go_on(self, call: Call, outcome: Outcome) -> bool:
        match outcome:
            case NotRun(cause=cause):
                return cause not in FINAL_CAUSES
            case Unknown(cause=cause):
                return call.idempotent and cause not in FINAL_CAUSES
            case _:
                return False

    def _may_retry(self, sending: Sending, outcome: Outcome) -> bool:
        # A refusal by a draining agent costs it nothing; anything else is
        # load on servers that may be failing from load.
        if isinstance(outcome, NotRun) and outcome.cause is Cause.draining:
            return True
        return self._router.spend_retry(sending.host.name)

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
        number: int,
    ) -> Sending | NotRun:
        # Whoever waits goes first: a newcomer that found capacity would
        # otherwise overtake the whole queue.
        find = partial(self._choose, call, plan, excluded, number)
        if not self._room.has_waiters(call.service):
            sending = find()
            if not is_overload(sending):
                return sending
        return await self._room.wait(call, plan, find)

    def _choose(
        self,
        call: Call,
        plan: Plan,
        excluded: frozenset[str],
        number: int,
    ) -> Sending | NotRun:
        query = _make_query(call, plan, excluded)
        now = self._clock.monotonic()
        refusal = NoBackend(NoCandidate(), self._settings.retry_after_seconds)
        for hosts in plan.pools:
            choice = self._router.choose(query, hosts, now)
            if isinstance(choice, Choice):
                return _make_sending(call, plan, choice.host, number)
            refusal = choice
        return NotRun(_name_cause(refusal.reason), refusal.retry_after)


def _make_sending(call: Call, plan: Plan, host: Host, number: int) -> Sending:
    kind = AttemptKind.retry if number else AttemptKind.first
    # An idempotent call may run twice, so each sending has an id of its own;
    # any other keeps one id wherever it goes.
    execution = make_id() if call.idempotent else call.request_id
    dated = read_date(execution) or 0
    return Sending(host, kind, execution, dated, make_headers(plan))


def _make_query(
    call: Call,
    plan: Plan,
    excluded: frozenset[str],
) -> RoutingQuery:
    return RoutingQuery(
        service=call.service,
        customer=call.customer,
        deadline=call.deadline,
        prefix=call.prefix if plan.caches_prefixes else None,
        adapter=plan.adapter,
        version=plan.version,
        priority=plan.priority,
        excluded=excluded,
        prompt_tokens=call.tokens,
        idempotent=call.idempotent,
    )


def _name_cause(reason: Reason) -> Cause:
    match reason:
        case NoCandidate():
            return Cause.no_backend
        case AllLeaving():
            return Cause.draining
        case Overloaded():
            return Cause.overloaded
        case DeadlinePassed():
            return Cause.deadline
