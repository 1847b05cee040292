"""One run of a request on the backend server, and its answer so far."""

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


#: An answer of so many frames gains nothing by being packed.
MAX_UNPACKED_FRAMES = 4
#: Stands in for the followers that wait once an execution has ended: none.
_ENDED_WAIT_LIST = FollowerWaitList()


class Execution:
    """A request that runs or ran, with the frames of its answer.

    Any number of connections follow it, each from its own sequence number:
    a fresh connection in place of a silent one goes on where that stood, and
    a caller's retry through another entry gets the same answer.

    :param start: the frame that started it.
    :param started_at: monotonic seconds at its start.
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
        """What became of it, if it ended without a whole answer."""
        last = self._frames[-1] if self._frames else None
        return last.fate if isinstance(last, Failed) else None

    def read_frames(self, sequence: int) -> list[AnswerFrame]:
        """Read the answer so far.

        :param sequence: number of the first frame wanted.
        :returns: the frames from that number on; perhaps none yet.
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
        """Wait until the answer has more than a follower was handed.

        Pieces are handed to it meanwhile; it is woken by all else.

        :param follower: who waits, and for which frame.
        """
        while (
            len(self._frames) <= follower.sequence
            and self.ended_at is None
            and follower.is_clear()
        ):
            await self._wait_list.wait(follower)

    def add_follower(self) -> None:
        """Note that one more connection follows."""
        self.follower_count += 1
        self.abandoned_at = None

    def remove_follower(self, now: float) -> None:
        """Note that one connection no longer follows.

        :param now: monotonic seconds.
        """
        self.follower_count -= 1
        if not self.follower_count:
            self.abandoned_at = now

    def is_abandoned_since(self, oldest: float) -> bool:
        """Tell whether nobody has followed since a moment.

        :param oldest: monotonic seconds.
        :returns: whether the last follower went before it.
        """
        return self.abandoned_at is not None and self.abandoned_at <= oldest

    async def add_head(self, status: int, headers: Headers) -> None:
        """Add the answer's head.

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
        """Add a piece of the answer's body.

        :param content: the bytes.
        """
        await self._append(
            Piece(
                execution=self.execution_id,
                sequence=len(self._frames),
                content=content,
            ),
        )

    async def finish(self, load: LoadReport, now: float) -> None:
        """Mark the answer whole.

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
        """Mark that the answer will never be whole, unless it is already.

        :param fate: what became of the run.
        :param now: monotonic seconds.
        """
        # A cancel or a timeout may strike just as the answer ended: what is
        # whole stays whole.
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

    def trim_answer(self, max_bytes: int) -> None:
        """Forget a long answer that nobody reads, but not that it ran.

        :param max_bytes: longest answer to keep, in bytes of its body.
        """
        if self.follower_count or self.fate is not None:
            return
        if self._packed is None and len(self._frames) > MAX_UNPACKED_FRAMES:
            # A frame for each token takes four times their bytes.
            self._packed = PackedAnswer(self._frames)
            self._frames.clear()
        if self._count_bytes() > max_bytes:
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

    def _count_bytes(self) -> int:
        if self._packed is not None:
            return self._packed.size
        return sum(
            len(frame.content)
            for frame in self._frames
            if isinstance(frame, Piece)
        )
