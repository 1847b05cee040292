"""One sending of a request to one agent, and everything that follows it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol, TypeAlias

import msgspec

from ospreyford.entry.answer import IncomingAnswer, Interrupted
from ospreyford.entry.conversation import Conversation
from ospreyford.entry.outcome import (
    Answered,
    AttemptOutcome,
    Cause,
    NotRun,
    Unknown,
)
from ospreyford.entry.verdict import give_up
from ospreyford.wire.errors import Unreachable
from ospreyford.wire.frame import Follow, Start
from ospreyford.wire.identity import make_id

if TYPE_CHECKING:
    from ospreyford.entry.settings import AttemptSettings
    from ospreyford.entry.sink import Sink
    from ospreyford.ports.clock import Clock
    from ospreyford.wire.pool import AgentConnection, ConnectionPool


#: Gives a greeted connection to an address.
Connect: TypeAlias = Callable[[str, float], Awaitable['AgentConnection']]


class Target(Protocol):
    """What an attempt needs to know of a backend server's host."""

    @property
    def name(self) -> str:
        """The backend server's name."""

    @property
    def data_address(self) -> str:
        """The agent's data address, as ``ip:port``."""


class Attempt:
    """Sends a request to one agent and sees it through.

    A connection that goes silent, ends, or carries a frame that is not the
    next one of this answer is dropped. A fresh one asks for the state, which
    voids the sending if the agent never saw it.

    :param settings: times.
    :param pool: connections to agents.
    :param clock: source of time.
    :param start: the frame to send.
    :param sink: where the answer goes.
    :param deadline: monotonic seconds by which all must be over.
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
        self.answer = IncomingAnswer(start.execution, sink, clock)
        self._settings = settings
        self._pool = pool
        self._clock = clock
        self._start = start
        self._deadline = deadline
        self._incarnation = ''

    async def run(self, target: Target) -> AttemptOutcome:
        """Make the attempt.

        :param target: the backend server's host.
        :returns: how it ended.
        """
        outcome = await self._run_on(target, self._pool.take)
        if not self._may_send_again(outcome):
            return outcome
        # The connection at rest was dead, and the agent, which lives, says
        # that the request never arrived. It is sent once more, or the first
        # caller after each lost connection would be turned away. The voided
        # sending must stay voided, so this one has an id of its own.
        self._start = msgspec.structs.replace(self._start, attempt=make_id())
        return await self._run_on(target, self._pool.open)

    async def ask(self, target: Target, *, moved: bool) -> AttemptOutcome:
        """Ask for a key without sending the request.

        :param target: a home of the key.
        :param moved: move the key away from this home.
        :returns: the answer if it ran there; ``Moved``, or ``NotRun`` where
            it does not move, if it did not run there; else its fate.
        """
        try:
            connection = await self._pool.open(
                target.data_address,
                self._left(),
            )
        except Unreachable:
            return Unknown(Cause.home_unreachable, 0)
        if connection.greeting.server != target.name:
            await connection.frames.close()
            return Unknown(Cause.home_unreachable, 0)
        self._incarnation = connection.greeting.incarnation
        question = self._make_question(moved=moved, sent=False)
        step = await self._converse(target, connection, question)
        if isinstance(step, Interrupted):
            return give_up(Cause.home_unreachable, self.answer.progress)
        return step

    async def _run_on(self, target: Target, connect: Connect) -> AttemptOutcome:
        try:
            connection = await connect(target.data_address, self._left())
        except Unreachable:
            return NotRun(Cause.unreachable, 0)
        # A host list that lags may name an address that another backend
        # server has by now.
        if connection.greeting.server != target.name:
            await connection.frames.close()
            return NotRun(Cause.unreachable, 0)
        self._incarnation = connection.greeting.incarnation
        step = await self._converse(target, connection, self._start)
        if isinstance(step, Interrupted):
            return await self._recover(target)
        return step

    def _may_send_again(self, outcome: AttemptOutcome) -> bool:
        voided = isinstance(outcome, NotRun) and outcome.cause is Cause.voided
        return voided and self._clock.monotonic() < self._deadline

    async def _recover(self, target: Target) -> AttemptOutcome:
        patience = self._settings.recovery_seconds
        if self._start.idempotent and not self.answer.progress.began:
            patience = self._settings.switch_seconds
        until = min(self._clock.monotonic() + patience, self._deadline)
        while self._clock.monotonic() < until:
            step = await self._reconnect(target)
            if not isinstance(step, Interrupted):
                return step
            await self._clock.sleep(self._settings.reconnect_seconds)
        return give_up(Cause.agent_lost, self.answer.progress)

    async def _reconnect(self, target: Target) -> AttemptOutcome | Interrupted:
        try:
            connection = await self._pool.open(
                target.data_address,
                self._left(),
            )
        except Unreachable:
            return Interrupted()
        if connection.greeting.incarnation != self._incarnation:
            await connection.frames.close()
            return give_up(Cause.agent_restarted, self.answer.progress)
        question = self._make_question(moved=False, sent=True)
        return await self._converse(target, connection, question)

    async def _converse(
        self,
        target: Target,
        connection: AgentConnection,
        first: Start | Follow,
    ) -> AttemptOutcome | Interrupted:
        conversation = Conversation(
            self._settings,
            self._clock,
            connection.frames,
            self.answer,
            self._deadline,
        )
        step: AttemptOutcome | Interrupted = Interrupted()
        try:
            step = await conversation.run(first)
            if conversation.silent:
                self._pool.note_silence()
        finally:
            await self._release(target, connection, step)
        return step

    def _left(self) -> float:
        return self._deadline - self._clock.monotonic()

    async def _release(
        self,
        target: Target,
        connection: AgentConnection,
        step: AttemptOutcome | Interrupted,
    ) -> None:
        # Only after these has everything on the connection been read. Any
        # other one may still carry a part of this answer, and the next
        # caller would be given it.
        if isinstance(step, Answered | NotRun):
            await self._pool.give_back(target.data_address, connection)
        else:
            await connection.frames.close()

    def _make_question(self, *, moved: bool, sent: bool) -> Follow:
        return Follow(
            execution=self._start.execution,
            attempt=self._start.attempt,
            dated=self._start.dated,
            next_sequence=self.answer.sequence,
            incarnation=self._incarnation,
            fresh=self._start.fresh,
            moved=moved,
            sent=sent,
        )
