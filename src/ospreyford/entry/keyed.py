"""Dispatches calls with an idempotency key to the key's home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.entry.attemptspec import AttemptSpec
from ospreyford.entry.homes import order_homes
from ospreyford.entry.outcome import (
    AttemptOutcome,
    Cause,
    Moved,
    NotRun,
    Outcome,
    Unknown,
)
from ospreyford.entry.sender import finalize_outcome, make_engine_headers
from ospreyford.routing.query import Attempt as AttemptKind

if TYPE_CHECKING:
    from ospreyford.entry.call import Call, Directory, Plan
    from ospreyford.entry.homes import HomeOrder
    from ospreyford.entry.sender import Sender
    from ospreyford.entry.settings import RequestSettings
    from ospreyford.entry.sink import Sink


class KeyedDispatcher:
    """Dispatches keyed calls so that each key runs at most once.

    :param settings: request limits.
    :param sender: runs attempts.
    :param directory: hosts by name.
    """

    def __init__(
        self,
        settings: RequestSettings,
        sender: Sender,
        directory: Directory,
    ) -> None:
        self._settings = settings
        self._sender = sender
        self._directory = directory

    async def dispatch(self, call: Call, plan: Plan, sink: Sink) -> Outcome:
        """Dispatch a keyed call.

        :param call: the admitted call.
        :param plan: homes of the key.
        :param sink: destination of the response.
        :returns: the outcome.
        """
        key_identity = _format_key(call)
        order = order_homes(plan.homes, key_identity, call.dated)
        for name in self._list_previous(plan, order):
            outcome = await self._query_home(call, name, sink, moved=True)
            if not isinstance(outcome, Moved):
                return self._finalize(outcome)
        for home in order.candidates:
            host = self._directory.find_host(home)
            if host is None:
                break
            spec = AttemptSpec(
                host,
                AttemptKind.first,
                key_identity,
                call.dated,
                make_engine_headers(plan),
            )
            outcome = await self._sender.send(call, spec, sink)
            if not _should_try_next_home(outcome):
                return self._finalize_sent(outcome)
        return Unknown(
            Cause.home_unreachable,
            self._settings.retry_after_seconds,
        )

    async def look_up_refused(
        self,
        call: Call,
        plan: Plan,
        sink: Sink,
        refusal: NotRun,
    ) -> Outcome:
        """Look up the response of a call that its limits refuse.

        The key may have run earlier through another entry; if so, its stored
        response is returned.

        :param call: the refused call.
        :param plan: homes of the key.
        :param sink: destination of the response.
        :param refusal: outcome if the key did not run.
        :returns: the outcome.
        """
        if call.idempotent or not call.key:
            return refusal
        order = order_homes(plan.homes, _format_key(call), call.dated)
        for name in (*self._list_previous(plan, order), *order.candidates[:1]):
            outcome = await self._query_home(call, name, sink, moved=False)
            if not isinstance(outcome, NotRun):
                return self._finalize(outcome)
        return refusal

    def _list_previous(self, plan: Plan, order: HomeOrder) -> list[str]:
        # Former homes that left the host list have stopped for good.
        former = {home.name for home in plan.homes if home.until is not None}
        return [
            name
            for name in order.previous
            if name not in former or self._directory.find_host(name)
        ]

    async def _query_home(
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
        spec = AttemptSpec(
            host,
            AttemptKind.retry,
            _format_key(call),
            call.dated,
            headers=(),
        )
        attempt = self._sender.make_attempt(call, spec, sink)
        return await attempt.query_key(host, moved=moved)

    def _finalize_sent(self, outcome: AttemptOutcome) -> Outcome:
        # The key may have reached the home earlier through another entry.
        if isinstance(outcome, NotRun) and outcome.cause is Cause.unreachable:
            return Unknown(
                Cause.home_unreachable,
                self._settings.retry_after_seconds,
            )
        return self._finalize(outcome)

    def _finalize(self, outcome: AttemptOutcome) -> Outcome:
        return finalize_outcome(outcome, self._settings.retry_after_seconds)


def _should_try_next_home(outcome: AttemptOutcome) -> bool:
    match outcome:
        case Moved():
            return True
        case NotRun(cause=Cause.draining):
            return True
        case _:
            return False


def _format_key(call: Call) -> str:
    # Scoped to the customer, so that customers cannot share responses.
    return '/'.join((call.customer, call.service, call.key))
