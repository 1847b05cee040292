"""Relays response frames from an agent to a caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from ospreyford.entry.classification import (
    AttemptProgress,
    classify_failure,
    classify_refusal,
)
from ospreyford.entry.outcome import Answered, AttemptOutcome
from ospreyford.wire.frame import (
    AnswerFrame,
    Beat,
    End,
    Failed,
    Head,
    Opened,
    Piece,
    Refused,
)

if TYPE_CHECKING:
    from ospreyford.entry.sink import Sink
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.fleet import LoadReport
    from ospreyford.wire.frame import AgentFrame


@dataclass(frozen=True)
class Interrupted:
    """The connection timed out, closed or carried an unexpected frame."""


StepResult: TypeAlias = AttemptOutcome | Interrupted | None


class IncomingResponse:
    """Relays the frames of one execution in order, across reconnections.

    :param execution: id of the execution.
    :param sink: destination of the response.
    :param clock: time source.
    """

    def __init__(self, execution: str, sink: Sink, clock: Clock) -> None:
        self.head_received_at: float | None = None
        self._clock = clock
        self.load: LoadReport | None = None
        self.next_sequence = 0
        self._execution = execution
        self._sink = sink
        self._opened = False
        self._response_started = False

    @property
    def progress(self) -> AttemptProgress:
        """Progress of the attempt."""
        return AttemptProgress(
            opened=self._opened, response_started=self._response_started
        )

    def is_abandoned(self) -> bool:
        """Tell whether the caller disconnected.

        :returns: whether the response has no receiver.
        """
        return self._sink.is_abandoned()

    async def flush(self, timeout_seconds: float) -> bool:
        """Flush relayed content to the caller.

        :param timeout_seconds: time to wait for the caller.
        :returns: whether everything was sent.
        :raises CallerDisconnected: the caller disconnected.
        """
        return await self._sink.flush(timeout_seconds)

    async def handle_frame(self, frame: AgentFrame) -> StepResult:
        """Handle the next frame of a connection.

        :param frame: frame from the agent.
        :returns: how the attempt or connection ended, or ``None``.
        :raises CallerDisconnected: the caller disconnected.
        """
        if isinstance(frame, Beat):
            return None
        # Never relay frames of another execution to this caller.
        if frame.execution != self._execution:
            return Interrupted()
        match frame:
            case Opened(load=load):
                self._opened = True
                self.load = load
                return None
            case Refused(load=load):
                self.load = load
                return classify_refusal(frame, self.progress)
            case Head() | Piece() | End() | Failed():
                return await self._handle_sequenced(frame)
            case _:
                return Interrupted()

    async def _handle_sequenced(self, frame: AnswerFrame) -> StepResult:
        # Skip duplicates; a gap is resumed from next_sequence on reconnect.
        if frame.sequence < self.next_sequence:
            return None
        if frame.sequence > self.next_sequence:
            return Interrupted()
        self.next_sequence += 1
        return await self._relay(frame)

    async def _relay(self, frame: AnswerFrame) -> StepResult:
        match frame:
            case Head(status=status, headers=headers):
                self._response_started = True
                self.head_received_at = self._clock.monotonic()
                await self._sink.begin(status, headers)
                return None
            case Piece(content=content):
                await self._sink.relay(content)
                return None
            case End(load=load):
                self.load = load
                await self._sink.finish()
                return Answered()
            case Failed():
                return classify_failure(frame, self.progress)
