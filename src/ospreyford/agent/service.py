"""Service for the connections of entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.agent.followers import FollowerCursor
from ospreyford.agent.record import Begun, Denied, Known
from ospreyford.wire.connection import wrap_entry_connection
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
    """Serves the connections of entries.

    ``on_heartbeat_timeout`` is called when a connection is closed because its
    entry sent no heartbeat while following an answer.

    :param name: name of the backend server.
    :param settings: timeouts and intervals.
    :param record: the execution record.
    :param runner: runs executions.
    :param meter: the backend server's load.
    :param clock: source of time.
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
        """Count the open connections.

        :returns: their number.
        """
        return len(self._sessions)

    def count_undelivered(self) -> int:
        """Count the sent answers that entries have not read completely.

        :returns: how many answers a shutdown may truncate.
        """
        return sum(
            session.has_undelivered_answer() for session in self._sessions
        )

    async def serve(self, sock: Socket) -> None:
        """Serve one connection until it is closed.

        :param sock: the accepted socket.
        """
        connection = wrap_entry_connection(sock)
        session = Session(connection, self._settings, self._clock)
        self._sessions.add(session)
        try:
            await self._serve_session(connection, session)
        finally:
            self._sessions.discard(session)

    async def run_sweeps(self) -> None:
        """Sweep the record and cancel abandoned executions periodically."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_SECONDS)
            for _ in self._record.table.sweep_batches():
                # Yield between batches, or a sweep would stall streams.
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
            # The entry reconnects and resumes the answer.
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
        # If the answer ends during the wait, the longer idle timeout applies:
        # the entry may send its next request on this connection.
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
        # Idle connections time out as well, but owe no heartbeat.
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
                # The record holds the id before the request is sent, so a
                # status query finds it running.
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
    """State of one connection, which follows one execution at a time.

    :param connection: the entry's connection.
    :param settings: timeouts and intervals.
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
        """Record a heartbeat that arrives after the answer was sent."""
        if self._execution is None:
            self._last_heartbeat_at = self._clock.monotonic()

    def has_undelivered_answer(self) -> bool:
        """Check whether the entry is still reading a sent answer.

        :returns: whether a heartbeat arrived recently after the answer's end.
        """
        # A sent answer may still be in socket buffers. Closing the socket
        # under the entry's heartbeats would reset it and truncate the answer.
        if self._last_heartbeat_at is None:
            return False
        elapsed = self._clock.monotonic() - self._last_heartbeat_at
        return elapsed <= self._settings.silence_seconds

    def receive_timeout(self) -> float:
        """Select the timeout for the entry's next frame.

        :returns: seconds; shorter while an answer is being sent.
        """
        if self.is_following():
            return self._settings.silence_seconds
        return self._settings.idle_seconds

    def is_following(self) -> bool:
        """Check whether an answer is being sent.

        :returns: whether heartbeats are due in both directions.
        """
        return self._execution is not None

    async def follow(
        self,
        execution: Execution,
        sequence: int,
        opened: Opened,
    ) -> None:
        """Send an execution's answer in its own task.

        :param execution: the execution.
        :param sequence: sequence number of the first frame to send.
        :param opened: frame to send first.
        :raises Malformed: the previous answer has not ended.
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
        :raises Severed: the connection is lost.
        :raises Malformed: the previous answer has not ended; the refusal
            would be interleaved with it.
        """
        self._require_idle()
        await self._connection.send(refused)

    async def unfollow(self, execution_id: str) -> Execution | None:
        """Stop following an execution that the entry cancelled.

        :param execution_id: its id.
        :returns: the execution if it has no other followers.
        """
        execution = self._execution
        if execution is None or execution.execution_id != execution_id:
            return None
        await self.stop()
        return None if execution.abandoned_at is None else execution

    async def stop(self) -> None:
        """Stop following the execution, if any."""
        task = self._task
        self._task = None
        if task:
            await task.cancel()

    def _require_idle(self) -> None:
        if self._execution is not None:
            raise Malformed('request received before the previous answer ended')

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
            # The receiving task closes the connection.
            return
        finally:
            execution.remove_follower(self._clock.monotonic())
            # The entry may have started its next request already.
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
                # Accept the next request before the entry can send it.
                self._execution = None
            await self._connection.send(*(frames or (heartbeat,)))
            if ended:
                return
            async with curio.ignore_after(self._settings.beat_seconds):
                await execution.wait_for_change(cursor)
