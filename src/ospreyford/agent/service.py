"""The agent's side of its connections with entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.agent.followers import FollowerCursor
from ospreyford.agent.record import Begun, Denied, Known
from ospreyford.wire.connection import accept_entry
from ospreyford.wire.errors import Malformed, WireError
from ospreyford.wire.frame import (
    Beat,
    Cancel,
    EntryFrame,
    Follow,
    Greeting,
    Opened,
    Refused,
    Start,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from curio.io import Socket

    from ospreyford.agent.execution import Execution
    from ospreyford.agent.load import LoadMeter
    from ospreyford.agent.record import Decision, ExecutionRecord
    from ospreyford.agent.runner import Runner
    from ospreyford.agent.settings import ServiceSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.wire.connection import FrameConnection

SWEEP_INTERVAL_SECONDS = 1.0


class AgentService:
    """Serves entries: one task for each connection.

    :param name: name of the backend server.
    :param settings: times.
    :param record: what ran and runs here.
    :param runner: runs executions.
    :param meter: the backend server's load.
    :param clock: source of time.

    ``note_silence`` is told of each connection that is closed because the
    entry's heartbeats stopped under an answer.
    """

    def __init__(
        self,
        name: str,
        settings: ServiceSettings,
        record: ExecutionRecord,
        runner: Runner,
        meter: LoadMeter,
        clock: Clock,
    ) -> None:
        self.on_heartbeat_timeout: Callable[[], object] = int
        self._name = name
        self._settings = settings
        self._record = record
        self._runner = runner
        self._meter = meter
        self._clock = clock
        self._sessions: set[Session] = set()

    def count_connections(self) -> int:
        """Count the entries' open connections.

        :returns: how many there are.
        """
        return len(self._sessions)

    def count_undelivered(self) -> int:
        """Count the entries that still read an answer which was sent whole.

        :returns: how many answers a stop of this process may cut.
        """
        return sum(
            session.has_undelivered_answer() for session in self._sessions
        )

    async def serve(self, sock: Socket) -> None:
        """Serve one entry's connection until it ends.

        :param sock: the accepted socket.
        """
        connection = accept_entry(sock)
        session = Session(connection, self._settings, self._clock)
        self._sessions.add(session)
        try:
            await self._serve_session(connection, session)
        finally:
            self._sessions.discard(session)

    async def run_sweeps(self) -> None:
        """Forget old entries and stop orphans, for ever."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_SECONDS)
            for _ in self._record.table.sweep_batches():
                # A whole sweep of a full record takes longer than two tokens
                # may be apart.
                await curio.sleep(0)
            await self._runner.cancel_abandoned()

    async def _serve_session(
        self,
        connection: FrameConnection[EntryFrame],
        session: Session,
    ) -> None:
        try:
            await self._serve_frames(connection, session)
        except (WireError, curio.TaskTimeout):
            # Severed, silent or malformed: the entry asks on a fresh
            # connection for whatever it still misses.
            return
        finally:
            await session.stop()
            await connection.close()

    async def _serve_frames(
        self,
        connection: FrameConnection[EntryFrame],
        session: Session,
    ) -> None:
        await connection.send(
            Greeting(
                execution='',
                server=self._name,
                incarnation=self._record.incarnation,
            ),
        )
        while True:
            await self._handle_frame(
                await self._receive(connection, session),
                session,
            )

    async def _receive(
        self,
        connection: FrameConnection[EntryFrame],
        session: Session,
    ) -> EntryFrame:
        # Without an entry's heartbeat the connection is closed soon while an
        # answer is on its way. But the answer may end while this waits, and
        # the entry keeps the connection for its next request: closed under
        # it, that request would be lost with the connection.
        since = self._clock.monotonic()
        timeout = session.receive_timeout()
        while True:
            remaining = since + timeout - self._clock.monotonic()
            try:
                return await _receive_with_timeout(
                    connection, max(remaining, 0)
                )
            except curio.TaskTimeout:
                if session.receive_timeout() <= timeout:
                    self._record_receive_timeout(session)
                    raise
                timeout = session.receive_timeout()

    def _record_receive_timeout(self, session: Session) -> None:
        # A connection that rested too long between two requests is closed
        # as well; no heartbeat was due on it.
        if session.is_following():
            self.on_heartbeat_timeout()

    async def _handle_frame(self, frame: EntryFrame, session: Session) -> None:
        match frame:
            case Start():
                decision = self._record.start(frame)
                await self._apply_decision(frame, decision, session)
            case Follow():
                decision = self._record.follow(frame)
                await self._apply_decision(frame, decision, session)
            case Cancel():
                await self._cancel(frame, session)
            case Beat():
                session.handle_heartbeat()

    async def _apply_decision(
        self,
        frame: Start | Follow,
        decision: Decision,
        session: Session,
    ) -> None:
        sequence = frame.next_sequence if isinstance(frame, Follow) else 0
        match decision:
            case Begun(execution):
                # The record holds the id before the back end sees the
                # request: a status question from now on says "running".
                if isinstance(frame, Start):
                    await self._runner.launch(execution, frame)
                await session.follow(
                    execution, sequence, self._make_opened(frame)
                )
            case Known(execution):
                await session.follow(
                    execution, sequence, self._make_opened(frame)
                )
            case Denied():
                await session.refuse(self._make_refused(frame, decision))

    async def _cancel(self, frame: Cancel, session: Session) -> None:
        execution = await session.unfollow(frame.execution)
        if execution is not None:
            await self._runner.cancel(execution)

    def _make_opened(self, frame: Start | Follow) -> Opened:
        return Opened(
            execution=frame.execution,
            incarnation=self._record.incarnation,
            load=self._meter.report(),
        )

    def _make_refused(self, frame: Start | Follow, denied: Denied) -> Refused:
        return Refused(
            execution=frame.execution,
            incarnation=self._record.incarnation,
            reason=denied.reason,
            retry_after=denied.retry_after,
            load=self._meter.report(),
        )


async def _receive_with_timeout(
    connection: FrameConnection[EntryFrame],
    seconds: float,
) -> EntryFrame:
    frame: EntryFrame = await curio.timeout_after(seconds, connection.receive())
    return frame


class Session:
    """What one connection follows; one execution at a time.

    :param connection: the entry's connection.
    :param settings: times.
    :param clock: source of time.
    """

    def __init__(
        self,
        connection: FrameConnection[EntryFrame],
        settings: ServiceSettings,
        clock: Clock,
    ) -> None:
        self._connection = connection
        self._settings = settings
        self._clock = clock
        self._execution: Execution | None = None
        self._task: curio.Task | None = None
        self._last_heartbeat_at: float | None = None

    def handle_heartbeat(self) -> None:
        """Note that the entry is still waiting."""
        if self._execution is None:
            self._last_heartbeat_at = self._clock.monotonic()

    def has_undelivered_answer(self) -> bool:
        """Tell whether the entry still reads an answer that was sent whole.

        :returns: whether it has beaten since, and not long ago.
        """
        # Sent means that the kernels between the two hold it. Symptom of
        # leaving then: the entry's next heartbeat meets a closed socket, is
        # answered by a reset, and the end of the answer is lost. An entry
        # beats until it has read the end, and is silent at rest.
        if self._last_heartbeat_at is None:
            return False
        elapsed = self._clock.monotonic() - self._last_heartbeat_at
        return elapsed <= self._settings.silence_seconds

    def receive_timeout(self) -> float:
        """Tell how long the entry may say nothing.

        :returns: seconds; short while an answer is on its way.
        """
        if self.is_following():
            return self._settings.silence_seconds
        return self._settings.idle_seconds

    def is_following(self) -> bool:
        """Tell whether an answer is on its way.

        :returns: whether heartbeats are due in both directions.
        """
        return self._execution is not None

    async def follow(
        self,
        execution: Execution,
        sequence: int,
        opened: Opened,
    ) -> None:
        """Send an execution's answer in a task of its own.

        :param execution: the execution.
        :param sequence: number of the first frame to send.
        :param opened: the frame that goes first.
        :raises Malformed: the entry asked before the last answer ended.
        """
        self._require_idle()
        self._last_heartbeat_at = None
        self._execution = execution
        self._task = await curio.spawn(
            self._stream,
            execution,
            sequence,
            opened,
            daemon=True,
        )

    async def refuse(self, refused: Refused) -> None:
        """Send a refusal.

        :param refused: the frame.
        :raises Severed: the connection is gone.
        :raises Malformed: the entry asked before the last answer ended; the
            refusal would be written into the middle of that answer.
        """
        self._require_idle()
        await self._connection.send(refused)

    async def unfollow(self, execution_id: str) -> Execution | None:
        """Stop following an execution that the entry gave up.

        :param execution_id: its id.
        :returns: the execution if nobody else follows it.
        """
        execution = self._execution
        if execution is None or execution.execution_id != execution_id:
            return None
        await self.stop()
        return None if execution.abandoned_at is None else execution

    async def stop(self) -> None:
        """Stop following."""
        task = self._task
        self._task = None
        if task:
            await task.cancel()

    def _require_idle(self) -> None:
        if self._execution is not None:
            raise Malformed('a second request before the first answer ended')

    async def _stream(
        self,
        execution: Execution,
        sequence: int,
        opened: Opened,
    ) -> None:
        execution.add_follower()
        try:
            await self._stream_frames(execution, sequence, opened)
        except WireError:
            # The reading side of the connection notices too and ends it.
            return
        finally:
            execution.remove_follower(self._clock.monotonic())
            # The entry may have read the end and asked for the next answer
            # before this task ran again.
            if self._execution is execution:
                self._execution = None

    async def _stream_frames(
        self,
        execution: Execution,
        sequence: int,
        opened: Opened,
    ) -> None:
        await self._connection.send(opened)
        heartbeat = Beat(execution=execution.execution_id)
        cursor = FollowerCursor(self._connection, sequence)
        while True:
            frames = execution.read_frames(cursor.sequence)
            cursor.sequence += len(frames)
            ended = execution.ended_at is not None
            if ended:
                # Free for the next request before the entry can send it.
                self._execution = None
            await self._connection.send(*(frames or (heartbeat,)))
            if ended:
                return
            async with curio.ignore_after(self._settings.beat_seconds):
                await execution.wait_for_change(cursor)
