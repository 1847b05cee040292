"""Requests and prompt parts that an entry suspects of crashing backends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.crashchecks import CrashChecker, Finding
from ospreyford.direct.crashdecisions import (
    BackendCrashed,
    RequestBlocked,
    RequestCleared,
)
from ospreyford.direct.losses import Loss, RecentLosses
from ospreyford.direct.suspectdecisions import SuspectDecisions
from ospreyford.direct.suspectidentities import SuspectIdentifier
from ospreyford.suspects.bursts import BurstDetector, Crash
from ospreyford.suspects.decisions import GROUP_LIMIT, PLAIN_LIMIT, Decision
from ospreyford.suspects.identities import compute_strike_id
from ospreyford.suspects.suspect import Suspect
from ospreyford.suspects.table import SuspectTable
from ospreyford.suspects.times import LatestTimes

if TYPE_CHECKING:
    from collections.abc import Collection

    from ospreyford.direct.call import Call
    from ospreyford.direct.headernames import HeaderNames
    from ospreyford.direct.registry import BackendServer, BackendState
    from ospreyford.direct.settings import DirectSettings
    from ospreyford.observability.logs import ChangeLog


#: Time for which a whole answer speaks for a request.
ANSWER_MEMORY_SECONDS = 60.0
#: Time that a request waits for the check before it is resent: a few round
#: trips, in which a dead process has refused the connection.
MAX_CHECK_WAIT_SECONDS = 0.05


class CrashSuspects:
    """Counts the backends that went down as a request had just begun on them.

    The request and all parts of its prompt that it shares with others are
    suspected. ``changed`` holds the identities of which other processes are to
    be told.

    :param log: receives log events.
    :param settings: settings of the entry.
    :param header_names: names of header fields.
    """

    def __init__(
        self,
        log: ChangeLog,
        settings: DirectSettings,
        header_names: HeaderNames,
    ) -> None:
        self.table = SuspectTable()
        self.decisions = SuspectDecisions(self.table, settings.name)
        self.checker = CrashChecker()
        self.changed: set[bytes] = set()
        self._log = log
        self._identifier = SuspectIdentifier(
            settings.identity_salt, header_names.prompt_parts
        )
        self._bursts = BurstDetector()
        self._answers = LatestTimes()
        self._losses = RecentLosses()

    def is_blocked(self, call: Call) -> bool:
        """Check whether a request would not be sent now.

        :param call: the request.
        :returns: whether it is blocked.
        """
        return self._decide(call) is Decision.block

    def may_send(self, call: Call) -> bool:
        """Decide whether a request is sent to a backend now.

        A trial is sent until one backend has received it.

        :param call: the request.
        :returns: whether to send it.
        """
        decision = self._decide(call)
        if decision is Decision.send:
            return True
        if call.trial_from is not None:
            attempts = call.attempts[call.trial_from :]
            return not any(one.is_connected for one in attempts)
        if decision is Decision.trial:
            call.trial_from = len(call.attempts)
            identities = self._identifier.identify(call)
            self.changed.update(self.decisions.record_trial(identities))
        return decision is Decision.trial

    async def record_loss(
        self, call: Call, backend: BackendState, *, in_group: bool
    ) -> None:
        """Record that a backend broke off a request that had just begun.

        :param call: the request.
        :param backend: the backend.
        :param in_group: whether the backend is a rank of a group.
        """
        server = backend.server
        if server.is_draining or backend.is_gone:
            # It was about to end.
            return
        limit = GROUP_LIMIT if in_group else PLAIN_LIMIT
        loss = Loss(
            tuple(self._identifier.list_suspects(call, limit)),
            call.id,
            server,
            time.monotonic(),
        )
        # The check goes on where the caller leaves, or a lost host is silent.
        checking = await curio.spawn(self._check, loss, daemon=True)
        async with curio.ignore_after(MAX_CHECK_WAIT_SECONDS):
            await checking.join()

    def record_registration(self, server: BackendServer) -> None:
        """Record that another process has registered at an address.

        :param server: its registration.
        """
        for loss in self._losses.take_replaced(server):
            self._add_strikes(loss)

    def record_answer(self, call: Call) -> None:
        """Record that a backend has answered a request, or well begun to.

        :param call: the request.
        """
        now = time.monotonic()
        for identity in self._identifier.identify(call):
            self._answers.record(identity, now)
            self.clear(identity, 'answered', now)

    def clear(self, identity: bytes, reason: str, now: float) -> bool:
        """Clear a suspect of all crashes.

        :param identity: its identity.
        :param reason: ``answered`` by a backend, or ``lifted`` by an operator.
        :param now: seconds on the monotonic clock.
        :returns: whether it was suspected.
        """
        if not self.table.clear(identity, now):
            return False
        self.changed.add(identity)
        self._log.log_change(RequestCleared(identity.hex(), reason))
        return True

    @property
    def blocked_count(self) -> int:
        """Number of requests and prompt parts that are blocked."""
        return len(self.decisions.find_blamed())

    def log_blocked(self, before: Collection[bytes], reason: str) -> None:
        """Log what is blocked from now on.

        :param before: identities of what was blocked before.
        :param reason: ``crashes`` if seen here, ``told`` if by another process.
        """
        for identity in self.decisions.find_blamed():
            suspect = self.table.find(identity)
            if suspect is None or identity in before:
                continue
            self._log.log_change(
                RequestBlocked(
                    identity.hex(),
                    suspect.customer,
                    suspect.path,
                    len(suspect.list_active()),
                    reason,
                )
            )

    def spare_answered(self, identity: bytes, now: float) -> None:
        """Clear a suspect of crashes that answers at this entry speak against.

        These are all crashes before its latest answer, and the only one since:
        what has much of the traffic runs beside many crashes.

        :param identity: its identity.
        :param now: seconds on the monotonic clock.
        """
        suspect = self.table.find(identity)
        answered_at = self._answers.find(identity)
        if suspect is None or answered_at is None:
            return
        if now - answered_at > ANSWER_MEMORY_SECONDS:
            return
        since = [
            strike_id
            for strike_id, one in suspect.strikes.items()
            if one.changed_at > answered_at
        ]
        spared = set(suspect.strikes)
        if len(since) > 1:
            spared.difference_update(since)
        for strike_id in spared:
            if self.table.clear_strike(identity, strike_id, now):
                self.changed.add(identity)

    async def _check(self, loss: Loss) -> None:
        match await self.checker.check(loss.server):
            case Finding.down:
                self._add_strikes(loss)
            case Finding.listening:
                self._losses.add(loss)

    def _decide(self, call: Call) -> Decision:
        if not len(self.table):
            return Decision.send
        return self.decisions.decide(self._identifier.identify(call))

    def _add_strikes(self, loss: Loss) -> None:
        now = time.monotonic()
        before = set(self.decisions.find_blamed())
        server = loss.server
        strike_id = compute_strike_id(server.id, server.started_ms)
        is_new = [
            self._add_strike(one, strike_id, now) for one in loss.suspects
        ]
        own = self.table.find(loss.suspects[0].identity)
        if own is not None and any(is_new):
            self._log.log_change(
                BackendCrashed(
                    server.id,
                    server.service,
                    loss.request_id,
                    own.identity.hex(),
                    len(own.list_active()),
                )
            )
        self.log_blocked(before, 'crashes')

    def _add_strike(self, suspect: Suspect, strike_id: int, now: float) -> bool:
        identity = suspect.identity
        if self.table.add_strike(suspect, strike_id, now) is None:
            return False
        self.changed.add(identity)
        self.spare_answered(identity, now)
        for crash in self._bursts.record(Crash(identity, strike_id, now)):
            if self.table.clear_strike(crash.identity, crash.strike_id, now):
                self.changed.add(crash.identity)
        return True
