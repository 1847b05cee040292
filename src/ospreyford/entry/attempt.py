"""One attempt at a request on one agent, including recovery."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol, TypeAlias

import msgspec

from ospreyford.entry.classification import classify_interruption
from ospreyford.entry.outcome import (
    Answered,
    AttemptOutcome,
    Cause,
    NotRun,
    Unknown,
)
from ospreyford.entry.response import IncomingResponse, Interrupted
from ospreyford.entry.session import AttemptSession
from ospreyford.wire.errors import Unreachable
from ospreyford.wire.frame import Follow, Start
from ospreyford.wire.ids import create_id

if TYPE_CHECKING:
    from ospreyford.entry.settings import AttemptSettings
    from ospreyford.entry.sink import Sink
    from ospreyford.ports.clock import Clock
    from ospreyford.wire.pool import AgentConnection, ConnectionPool


#: Returns a greeted connection to an address, with a timeout in seconds.
Connect: TypeAlias = Callable[[str, float], Awaitable['AgentConnection']]


class AttemptTarget(Protocol):
    """Host fields that an attempt uses."""

    @property
    def name(self) -> str:
        """Name of the backend server."""

    @property
    def data_address(self) -> str:
        """Data address of the agent, as ``ip:port``."""


class Attempt:
    """Sends a request to one agent and relays the response.

    After an interruption it reconnects and queries the execution, which
    voids the attempt if the agent never received it.

    :param settings: timeouts.
    :param pool: agent connections.
    :param clock: time source.
    :param start: request frame.
    :param sink: destination of the response.
    :param deadline: monotonic time in seconds.
    """

    def __init__(
        self,
        settings: AttemptSettings,
        pool: ConnectionPool,
        clock: Clock,
        start: Start,
        sink: Sink,
        deadline: float,
    ) -> None:
        self.response = IncomingResponse(start.execution, sink, clock)
        self._settings = settings
        self._pool = pool
        self._clock = clock
        self._start = start
        self._deadline = deadline
        self._incarnation = ''

    async def run(self, target: AttemptTarget) -> AttemptOutcome:
        """Run the attempt.

        :param target: host to send to.
        :returns: the outcome.
        """
        outcome = await self._send_request(target, self._pool.acquire)
        if not self._can_resend(outcome):
            return outcome
        # The pooled connection was dead and the agent voided the attempt:
        # resend once under a new attempt id, as the old one stays voided.
        self._start = msgspec.structs.replace(self._start, attempt=create_id())
        return await self._send_request(target, self._pool.open)

    async def query_key(
        self, target: AttemptTarget, *, moved: bool
    ) -> AttemptOutcome:
        """Query an idempotency key without sending the request.

        :param target: home of the key.
        :param moved: whether the home gives up the key.
        :returns: ``Answered`` if the key ran there; ``Moved``, or ``NotRun``
            unless ``moved``, if it did not run; else the failure.
        """
        try:
            connection = await self._pool.open(
                target.data_address,
                self._compute_remaining_seconds(),
            )
        except Unreachable:
            return Unknown(Cause.home_unreachable, 0)
        if connection.greeting.server != target.name:
            await connection.frames.close()
            return Unknown(Cause.home_unreachable, 0)
        self._incarnation = connection.greeting.incarnation
        follow = self._make_follow(moved=moved, sent=False)
        step = await self._run_session(target, connection, follow)
        if isinstance(step, Interrupted):
            return classify_interruption(
                Cause.home_unreachable, self.response.progress
            )
        return step

    async def _send_request(
        self, target: AttemptTarget, connect: Connect
    ) -> AttemptOutcome:
        try:
            connection = await connect(
                target.data_address, self._compute_remaining_seconds()
            )
        except Unreachable:
            return NotRun(Cause.unreachable, 0)
        # A stale host list may map the address to another backend server.
        if connection.greeting.server != target.name:
            await connection.frames.close()
            return NotRun(Cause.unreachable, 0)
        self._incarnation = connection.greeting.incarnation
        step = await self._run_session(target, connection, self._start)
        if isinstance(step, Interrupted):
            return await self._recover(target)
        return step

    def _can_resend(self, outcome: AttemptOutcome) -> bool:
        voided = isinstance(outcome, NotRun) and outcome.cause is Cause.voided
        return voided and self._clock.monotonic() < self._deadline

    async def _recover(self, target: AttemptTarget) -> AttemptOutcome:
        recovery_seconds = self._settings.recovery_seconds
        if (
            self._start.idempotent
            and not self.response.progress.response_started
        ):
            recovery_seconds = self._settings.switch_seconds
        recovery_deadline = min(
            self._clock.monotonic() + recovery_seconds, self._deadline
        )
        while self._clock.monotonic() < recovery_deadline:
            step = await self._reconnect(target)
            if not isinstance(step, Interrupted):
                return step
            await self._clock.sleep(self._settings.reconnect_seconds)
        return classify_interruption(Cause.agent_lost, self.response.progress)

    async def _reconnect(
        self, target: AttemptTarget
    ) -> AttemptOutcome | Interrupted:
        try:
            connection = await self._pool.open(
                target.data_address,
                self._compute_remaining_seconds(),
            )
        except Unreachable:
            return Interrupted()
        if connection.greeting.incarnation != self._incarnation:
            await connection.frames.close()
            return classify_interruption(
                Cause.agent_restarted, self.response.progress
            )
        follow = self._make_follow(moved=False, sent=True)
        return await self._run_session(target, connection, follow)

    async def _run_session(
        self,
        target: AttemptTarget,
        connection: AgentConnection,
        first: Start | Follow,
    ) -> AttemptOutcome | Interrupted:
        session = AttemptSession(
            self._settings,
            self._clock,
            connection.frames,
            self.response,
            self._deadline,
        )
        step: AttemptOutcome | Interrupted = Interrupted()
        try:
            step = await session.run(first)
            if session.timed_out:
                self._pool.record_heartbeat_timeout()
        finally:
            await self._release_connection(target, connection, step)
        return step

    def _compute_remaining_seconds(self) -> float:
        return self._deadline - self._clock.monotonic()

    async def _release_connection(
        self,
        target: AttemptTarget,
        connection: AgentConnection,
        step: AttemptOutcome | Interrupted,
    ) -> None:
        # Reuse only drained connections: others may still carry frames of
        # this response.
        if isinstance(step, Answered | NotRun):
            await self._pool.release(target.data_address, connection)
        else:
            await connection.frames.close()

    def _make_follow(self, *, moved: bool, sent: bool) -> Follow:
        return Follow(
            execution=self._start.execution,
            attempt=self._start.attempt,
            dated=self._start.dated,
            next_sequence=self.response.next_sequence,
            incarnation=self._incarnation,
            fresh=self._start.fresh,
            moved=moved,
            sent=sent,
        )
