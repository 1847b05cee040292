"""An answer on its way from an agent to a caller."""

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
    """The connection fell silent, ended or crossed answers."""


StepResult: TypeAlias = AttemptOutcome | Interrupted | None


class IncomingResponse:
    """Takes an answer's frames in order, over any number of connections.

    :param execution: the id whose frames are expected.
    :param sink: where the answer goes.
    :param clock: source of time.
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
        """How far the answer came."""
        return AttemptProgress(
            opened=self._opened, response_started=self._response_started
        )

    def is_abandoned(self) -> bool:
        """Tell whether the caller has gone.

        :returns: whether nobody waits for the answer any more.
        """
        return self._sink.is_abandoned()

    async def flush(self, within: float) -> bool:
        """Send the caller what was taken.

        :param within: seconds to wait for the caller at most.
        :returns: whether all of it was sent.
        :raises CallerGone: the caller's connection broke.
        """
        return await self._sink.flush(within)

    async def handle_frame(self, frame: AgentFrame) -> StepResult:
        """Take the next frame of a connection.

        :param frame: the frame.
        :returns: the end of the attempt or of the connection, or ``None``.
        :raises CallerGone: the caller's connection broke.
        """
        if isinstance(frame, Beat):
            return None
        # Symptom without this check: a caller reads a part of somebody
        # else's answer. A crossed frame ends the connection.
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
        # Duplicates are passed over; a gap means that a part was lost, and a
        # fresh connection asks for it by its number.
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
