"""Sends a call to back ends until its outcome is settled."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from ospreyford.entry.attempt import Attempt
from ospreyford.entry.homes import order_homes
from ospreyford.entry.outcome import (
    AttemptOutcome,
    Cause,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from ospreyford.routing.query import (
    AllLeaving,
    Choice,
    DeadlinePassed,
    NoBackend,
    NoCandidate,
    Overloaded,
    RoutingQuery,
)
from ospreyford.routing.query import (
    Attempt as AttemptKind,
)
from ospreyford.routing.query import (
    Outcome as RoutingOutcome,
)
from ospreyford.wire.frame import Start
from ospreyford.wire.identity import make_id, read_date

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Directory, Plan
    from ospreyford.entry.settings import AttemptSettings, RequestSettings
    from ospreyford.entry.sink import Sink
    from ospreyford.http.message import Headers
    from ospreyford.observability.metrics import RequestMetrics
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.fleet import Host
    from ospreyford.routing.query import Reason
    from ospreyford.routing.router import Router
    from ospreyford.wire.pool import ConnectionPool

MILLISECONDS = 1000
#: Causes that no other back end would judge differently.
FINAL_CAUSES = frozenset((Cause.bad_key, Cause.key_reused, Cause.deadline))


class Sending(NamedTuple):
    """One sending of a call: which host, and why."""

    host: Host
    kind: AttemptKind
    execution: str
    dated: int
    headers: Headers


class Dispatcher:
    """Chooses back ends for calls and retries within budgets.

    :param settings: bounds of a request.
    :param times: times of one attempt.
    :param router: chooses back ends.
    :param pool: connections to agents.
    :param directory: hosts by name.
    :param clock: source of time.
    :param metrics: counts retries and unknown outcomes.
    """

    def __init__(
        self,
        settings: RequestSettings,
        times: AttemptSettings,
        router: Router,
        pool: ConnectionPool,
        directory: Directory,
        clock: Clock,
        metrics: RequestMetrics,
    ) -> None:
        self._metrics = metrics
        self._settings = settings
        self._times = times
        self._router = router
        self._pool = pool
        self._directory = directory
        self._clock = clock

    async def dispatch(self, call: Call, plan: Plan, sink: Sink) -> Outcome:
        """See a call through to its outcome.

        :param call: the admitted call.
        :param plan: what it may use.
        :param sink: where the answer goes.
        :returns: how it ended.
        """
        if call.key and not call.idempotent:
            return await self._send_home(call, plan, sink)
        return await self._spread(call, plan, sink)

    async def look_up(
        self,
        call: Call,
        plan: Plan,
        sink: Sink,
        refusal: NotRun,
    ) -> Outcome:
        """Answer a call that is refused at the door.

        A key may have run by an earlier sending through another entry. Only
        its home can say that it did not; if it did, its answer costs nothing
        more.

        :param call: the refused call.
        :param plan: what it might have used.
        :param sink: where an answer goes.
        :param refusal: what to say if it did not run.
        :returns: how it ended.
        """
        if call.idempotent or not call.key:
            return refusal
        order = order_homes(plan.homes, _name_key(call), call.dated)
        for name in (*order.asked, *order.chain[:1]):
            outcome = await self._ask(call, name, sink, moved=False)
            if not isinstance(outcome, NotRun):
                return self._settle(outcome)
        return refusal

    async def _spread(self, call: Call, plan: Plan, sink: Sink) -> Outcome:
        excluded: frozenset[str] = frozenset()
        doubt: Unknown | None = None
        outcome: Outcome = NotRun(Cause.no_backend, 0)
        for number in range(self._settings.max_attempts):
            sending = self._choose(call, plan, excluded, number)
            if isinstance(sending, NotRun):
                return doubt or sending
            outcome = self._settle(await self._send(call, sending, sink))
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

    async def _send_home(self, call: Call, plan: Plan, sink: Sink) -> Outcome:
        identity = _name_key(call)
        order = order_homes(plan.homes, identity, call.dated)
        for name in order.asked:
            outcome = await self._ask(call, name, sink, moved=True)
            if not isinstance(outcome, Moved):
                return self._settle(outcome)
        for home in order.chain:
            host = self._directory.find_host(home)
            if host is None:
                break
            sending = Sending(
                host,
                AttemptKind.first,
                identity,
                call.dated,
                _make_headers(plan),
            )
            outcome = await self._send(call, sending, sink)
            if not _goes_to_next_home(outcome):
                return self._settle_keyed(outcome)
        return Unknown(
            Cause.home_unreachable,
            self._settings.retry_after_seconds,
        )

    async def _ask(
        self,
        call: Call,
        name: str,
        sink: Sink,
        *,
        moved: bool,
    ) -> AttemptOutcome:
        host = self._directory.find_host(name)
        if host is None:
            return Unknown(Cause.home_unreachable, 0)
        sending = Sending(
            host,
            AttemptKind.retry,
            _name_key(call),
            call.dated,
            headers=(),
        )
        attempt = self._make_attempt(call, sending, sink)
        return await attempt.ask(host, moved=moved)

    async def _send(
        self,
        call: Call,
        sending: Sending,
        sink: Sink,
    ) -> AttemptOutcome:
        name = sending.host.name
        began = self._clock.monotonic()
        call.servers.append(name)
        if sending.kind is AttemptKind.retry:
            self._metrics.retries.labels(call.service).inc()
        self._router.note_sent(name, began, sending.kind)
        attempt = self._make_attempt(call, sending, sink)
        routed = RoutingOutcome.cancelled
        try:
            outcome = await attempt.run(sending.host)
            routed = _rate(outcome)
        finally:
            now = self._clock.monotonic()
            self._router.note_finished(name, routed, now - began, now)
        if attempt.answer.load is not None:
            self._router.note_load(name, attempt.answer.load, now)
        if isinstance(outcome, Unknown):
            self._metrics.unknowns.labels(call.service).inc()
        return outcome

    def _make_attempt(
        self,
        call: Call,
        sending: Sending,
        sink: Sink,
    ) -> Attempt:
        left = call.deadline - self._clock.monotonic()
        expires = self._clock.wall() + max(left, 0)
        start = Start(
            execution=sending.execution,
            attempt=make_id(),
            idempotent=call.idempotent,
            fresh=not call.key,
            dated=sending.dated,
            expires=int(expires * MILLISECONDS),
            fingerprint=_fingerprint(call),
            method=call.method,
            target=call.target,
            headers=call.headers + sending.headers,
            body=call.body,
        )
        return Attempt(
            self._times,
            self._pool,
            self._clock,
            start,
            sink,
            call.deadline,
        )

    def _settle_keyed(self, outcome: AttemptOutcome) -> Outcome:
        # This entry sent nothing, but an earlier sending of the key through
        # another entry may have reached the home before it was lost.
        if isinstance(outcome, NotRun) and outcome.cause is Cause.unreachable:
            return Unknown(
                Cause.home_unreachable,
                self._settings.retry_after_seconds,
            )
        return self._settle(outcome)

    def _settle(self, outcome: AttemptOutcome) -> Outcome:
        least = self._settings.retry_after_seconds
        match outcome:
            case Moved():
                return Unknown(Cause.voided, least)
            case NotRun(cause=cause, retry_after=wait):
                return NotRun(cause, max(wait, least))
            case Unknown(cause=cause, retry_after=wait):
                return Unknown(cause, max(wait, least))
            case _:
                return outcome


def _goes_to_next_home(outcome: AttemptOutcome) -> bool:
    match outcome:
        case Moved():
            return True
        case NotRun(cause=Cause.draining):
            return True
        case _:
            return False


def _make_sending(call: Call, plan: Plan, host: Host, number: int) -> Sending:
    kind = AttemptKind.retry if number else AttemptKind.first
    # An idempotent call may run twice, so each sending has an id of its own;
    # any other keeps one id wherever it goes.
    execution = make_id() if call.idempotent else call.request_id
    dated = read_date(execution) or 0
    return Sending(host, kind, execution, dated, _make_headers(plan))


def _make_headers(plan: Plan) -> Headers:
    fields = [(b'x-priority', str(plan.engine_priority).encode())]
    if plan.version:
        fields.append((b'x-model-version', plan.version.encode()))
    if plan.adapter:
        fields.append((b'x-adapter', plan.adapter.encode()))
    return tuple(fields)


def _make_query(
    call: Call,
    plan: Plan,
    excluded: frozenset[str],
) -> RoutingQuery:
    return RoutingQuery(
        service=call.service,
        customer=call.customer,
        deadline=call.deadline,
        prefix=call.prefix,
        adapter=plan.adapter,
        version=plan.version,
        priority=plan.priority,
        excluded=excluded,
        prompt_tokens=call.tokens,
        idempotent=call.idempotent,
    )


def _name_key(call: Call) -> str:
    # Keys of two customers never meet: one would read the other's answer.
    return '/'.join((call.customer, call.service, call.key))


def _fingerprint(call: Call) -> int:
    head = f'{call.method} {call.target}\n'
    return xxhash.xxh3_64_intdigest(head.encode() + call.body)


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


def _rate(outcome: AttemptOutcome) -> RoutingOutcome:
    match outcome:
        case NotRun(cause=Cause.unreachable | Cause.backend_refused):
            return RoutingOutcome.failed
        case NotRun() | Moved():
            return RoutingOutcome.cancelled
        case Unknown(cause=Cause.deadline):
            return RoutingOutcome.failed
        case Unknown():
            return RoutingOutcome.failed
        case _:
            return RoutingOutcome.answered
