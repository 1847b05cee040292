"""Execution of a request on the backend server, with its buffered answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.agent.followers import FollowerWaitList
from ospreyford.agent.packing import PackedAnswer
from ospreyford.wire.frame import (
    AnswerFrame,
    End,
    Failed,
    Fate,
    Head,
    Piece,
    Start,
)

if TYPE_CHECKING:
    from ospreyford.agent.followers import Follower
    from ospreyford.http.message import Headers
    from ospreyford.ports.fleet import LoadReport


#: Answers of up to this many frames are kept unpacked.
MAX_UNPACKED_FRAMES = 4
#: Shared by all ended executions, which have no waiting followers.
_ENDED_WAIT_LIST = FollowerWaitList()


class Execution:
    """A running or ended request with the frames of its answer.

    Any number of connections may follow it, each from its own sequence
    number, so that reconnects and retries resume the same answer.

    :param start: the frame that started the execution.
    :param started_at: start time, in monotonic seconds.
    :param voided_attempts: earlier attempts at the same id that must not run.
    """

    __slots__ = (
        'abandoned_at',
        'started_at',
        'ended_at',
        'fingerprint',
        'follower_count',
        'idempotent',
        'execution_id',
        'task',
        'voided_attempts',
        '_wait_list',
        '_dropped',
        '_frames',
        '_packed',
    )

    def __init__(
        self,
        start: Start,
        started_at: float,
        voided_attempts: frozenset[str],
    ) -> None:
        self.execution_id = start.execution
        self.voided_attempts = voided_attempts | {start.attempt}
        self.idempotent = start.idempotent
        self.fingerprint = start.fingerprint
        self.started_at = started_at
        self.ended_at: float | None = None
        self.abandoned_at: float | None = started_at
        self.task: curio.Task | None = None
        self.follower_count = 0
        self._dropped = False
        self._frames: list[AnswerFrame] = []
        self._packed: PackedAnswer | None = None
        self._wait_list = FollowerWaitList()

    @property
    def fate(self) -> Fate | None:
        """Fate of an execution that ended without a complete answer."""
        if self._dropped:
            return Fate.answer_dropped
        last = self._frames[-1] if self._frames else None
        return last.fate if isinstance(last, Failed) else None

    def read_frames(self, sequence: int) -> list[AnswerFrame]:
        """Read the available frames of the answer.

        :param sequence: sequence number of the first frame to read.
        :returns: the frames from that number on; may be empty.
        """
        if self._dropped:
            fate = Fate.answer_dropped
            failed = Failed(
                execution=self.execution_id, sequence=sequence, fate=fate
            )
            return [failed]
        if self._packed is not None:
            return self._packed.unpack()[sequence:]
        return self._frames[sequence:]

    async def wait_for_change(self, follower: Follower) -> None:
        """Wait until the answer has frames that a follower was not sent.

        Pieces are sent to the follower directly and do not wake it.

        :param follower: the waiting follower.
        """
        while (
            len(self._frames) <= follower.sequence
            and self.ended_at is None
            and follower.is_clear()
        ):
            await self._wait_list.wait(follower)

    def add_follower(self) -> None:
        """Add a connection that follows the answer."""
        self.follower_count += 1
        self.abandoned_at = None

    def remove_follower(self, now: float) -> None:
        """Remove a connection that followed the answer.

        :param now: monotonic seconds.
        """
        self.follower_count -= 1
        if not self.follower_count:
            self.abandoned_at = now

    def is_abandoned_since(self, oldest: float) -> bool:
        """Check whether the execution has had no follower since a given time.

        :param oldest: monotonic seconds.
        :returns: whether the last follower left by then.
        """
        return self.abandoned_at is not None and self.abandoned_at <= oldest

    async def add_head(self, status: int, headers: Headers) -> None:
        """Append the answer's head.

        :param status: HTTP status.
        :param headers: HTTP header fields.
        """
        await self._append(
            Head(
                execution=self.execution_id,
                sequence=len(self._frames),
                status=status,
                headers=headers,
            ),
        )

    async def add_piece(self, content: bytes) -> None:
        """Append a piece of the answer's body.

        :param content: bytes of the piece.
        """
        await self._append(
            Piece(
                execution=self.execution_id,
                sequence=len(self._frames),
                content=content,
            ),
        )

    async def finish(self, load: LoadReport, now: float) -> None:
        """Mark the answer complete.

        :param load: the backend server's load.
        :param now: monotonic seconds.
        """
        self.ended_at = now
        await self._append(
            End(
                execution=self.execution_id,
                sequence=len(self._frames),
                load=load,
            ),
        )

    async def fail(self, fate: Fate, now: float) -> None:
        """Mark the execution failed, unless it has ended.

        :param fate: outcome of the run.
        :param now: monotonic seconds.
        """
        # A cancellation or timeout may race with the end of the answer.
        if self.ended_at is not None:
            return
        self.ended_at = now
        await self._append(
            Failed(
                execution=self.execution_id,
                sequence=len(self._frames),
                fate=fate,
            ),
        )

    async def drop_answer(self, now: float) -> None:
        """End the execution, and release the memory of its answer.

        :param now: monotonic seconds.
        """
        self.ended_at = now
        self._dropped = True
        self._frames.clear()
        waiting = self._wait_list
        self._wait_list = _ENDED_WAIT_LIST
        await waiting.notify()

    def trim_answer(self, max_bytes: int) -> None:
        """Pack an answer without followers, and drop it if it is too long.

        :param max_bytes: maximum size of the answer's body, in bytes.
        """
        if self.follower_count or self.fate is not None:
            return
        if self._packed is None and len(self._frames) > MAX_UNPACKED_FRAMES:
            # One frame per token has a large memory overhead.
            self._packed = PackedAnswer(self._frames)
            self._frames.clear()
        packed = self._packed
        size = packed.size if packed else _count_bytes(self._frames)
        if size > max_bytes:
            self._dropped = True
            self._packed = None
            self._frames.clear()

    async def _append(self, frame: AnswerFrame) -> None:
        self._frames.append(frame)
        wait_list = self._wait_list
        if isinstance(frame, Piece) and wait_list.try_send(frame):
            return
        if self.ended_at is not None:
            self._wait_list = _ENDED_WAIT_LIST
        await wait_list.notify()


def _count_bytes(frames: list[AnswerFrame]) -> int:
    return sum(
        len(frame.content) for frame in frames if isinstance(frame, Piece)
    )
