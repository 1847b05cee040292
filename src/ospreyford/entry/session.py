"""Runs an attempt over one agent connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.entry.classification import classify_interruption
from ospreyford.entry.outcome import (
    Abandoned,
    Answered,
    AttemptOutcome,
    Cause,
)
from ospreyford.entry.response import Interrupted, StepResult
from ospreyford.entry.sink import CallerDisconnected
from ospreyford.wire.errors import WireError
from ospreyford.wire.frame import Beat, Cancel, Follow, Start

if TYPE_CHECKING:
    from ospreyford.entry.response import IncomingResponse
    from ospreyford.entry.settings import AttemptSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.wire.connection import FrameConnection
    from ospreyford.wire.frame import AgentFrame


class AttemptSession:
    """Sends one frame and relays replies until the attempt or connection ends.

    :param settings: heartbeat and silence timeouts.
    :param clock: time source.
    :param connection: greeted connection without unread frames.
    :param response: response received so far.
    :param deadline: monotonic time in seconds.

    ``timed_out`` is set when heartbeats from the agent stop.
    """

    def __init__(
        self,
        settings: AttemptSettings,
        clock: Clock,
        connection: FrameConnection[AgentFrame],
        response: IncomingResponse,
        deadline: float,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._connection = connection
        self._response = response
        self._deadline = deadline
        self.timed_out = False
        self._last_received_at = clock.monotonic()
        self._last_heartbeat_at = self._last_received_at

    async def run(self, first: Start | Follow) -> AttemptOutcome | Interrupted:
        """Run the session.

        :param first: frame to send first.
        :returns: the outcome.
        """
        try:
            step = await self._exchange_frames(first)
            await self._flush_remaining(step)
        except CallerDisconnected:
            await self._send_cancel(first.execution)
            return Abandoned()
        except curio.CancelledError:
            # Without Cancel the engine runs until the agent's orphan timeout.
            # Bounded because a stalled connection may block the write.
            await curio.ignore_after(
                self._settings.beat_seconds,
                self._send_cancel(first.execution),
            )
            raise
        return step

    async def _exchange_frames(
        self,
        first: Start | Follow,
    ) -> AttemptOutcome | Interrupted:
        try:
            await self._connection.send(first)
            return await self._receive_frames(first.execution)
        except WireError:
            return Interrupted()

    async def _receive_frames(
        self, execution: str
    ) -> AttemptOutcome | Interrupted:
        while True:
            frame = await self._receive()
            now = self._clock.monotonic()
            step = await self._check_timers(execution, now)
            if step is None:
                step = await self._handle_frame(frame, now)
            if step is not None:
                return step

    async def _receive(self) -> AgentFrame | None:
        arrived = self._connection.receive_nowait()
        if arrived is not None:
            return arrived
        # Batch frames that arrived together, but flush before waiting.
        if await self._response.flush(self._compute_wait_seconds()):
            return await self._wait_for_frame()
        # Backpressure: read nothing more until the caller catches up, keep
        # sending heartbeats, and do not count the pause as agent silence.
        self._last_received_at = self._clock.monotonic()
        return None

    async def _wait_for_frame(self) -> AgentFrame | None:
        try:
            async with curio.timeout_after(self._compute_wait_seconds()):
                return await self._connection.receive()
        except curio.TaskTimeout:
            return None

    def _compute_wait_seconds(self) -> float:
        remaining_seconds = self._deadline - self._clock.monotonic()
        return min(self._settings.beat_seconds, max(remaining_seconds, 0))

    async def _flush_remaining(
        self, step: AttemptOutcome | Interrupted
    ) -> None:
        # A complete response counts as answered only once fully sent. For a
        # partial one, wait at most one heartbeat interval.
        timeout_seconds = self._settings.beat_seconds
        sent = await self._response.flush(timeout_seconds)
        while isinstance(step, Answered) and not sent:
            sent = await self._response.flush(timeout_seconds)

    async def _check_timers(self, execution: str, now: float) -> StepResult:
        if now >= self._deadline:
            await self._send_cancel(execution)
            return classify_interruption(
                Cause.deadline, self._response.progress
            )
        if now - self._last_heartbeat_at >= self._settings.beat_seconds:
            self._last_heartbeat_at = now
            await self._connection.send(Beat(execution=execution))
        return None

    async def _handle_frame(
        self, frame: AgentFrame | None, now: float
    ) -> StepResult:
        if frame is not None:
            self._last_received_at = now
            return await self._response.handle_frame(frame)
        if self._response.is_abandoned():
            raise CallerDisconnected
        # Heartbeats detect half-open connections, which the kernel reports
        # as established.
        if now - self._last_received_at > self._settings.silence_seconds:
            self.timed_out = True
            return Interrupted()
        return None

    async def _send_cancel(self, execution: str) -> None:
        try:
            await self._connection.send(Cancel(execution=execution))
        except WireError:
            # The agent cancels orphaned executions by itself.
            return
