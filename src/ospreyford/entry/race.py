"""Two attempts at one request, of which one may answer the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from ospreyford.entry.outcome import Abandoned, AttemptOutcome
from ospreyford.entry.sink import CallerDisconnected

if TYPE_CHECKING:
    from ospreyford.entry.attemptspec import AttemptSpec
    from ospreyford.entry.call import Call
    from ospreyford.entry.sender import Sender
    from ospreyford.entry.sink import Sink
    from ospreyford.http.message import Headers


class Race:
    """Lets the first answer that begins through to the caller.

    ``settled`` is set once an answer has begun or an attempt has ended.

    :param sink: the caller.
    """

    def __init__(self, sink: Sink) -> None:
        self.sink = sink
        self.settled = curio.Event()
        self.attempts: list[RacingAttempt] = []
        self.winner: RacingAttempt | None = None

    def add_attempt(self) -> RacingAttempt:
        """Let one more attempt take part.

        :returns: where its answer goes.
        """
        attempt = RacingAttempt(self)
        self.attempts.append(attempt)
        return attempt

    async def claim(self, attempt: RacingAttempt) -> bool:
        """Let a attempt answer the caller, if none does yet.

        The others are cancelled.

        :param attempt: a attempt whose answer begins.
        :returns: whether it is the one.
        """
        if self.winner is None:
            # Set before anything is awaited: between two awaits nobody else
            # can claim, so that there is never a second winner.
            self.winner = attempt
            for other in self.attempts:
                if other is not attempt:
                    await other.cancel()
            await self.settled.set()
        return self.winner is attempt


class RacingAttempt:
    """One attempt's way to the caller, closed once another has won.

    :param race: which attempt may answer.
    """

    def __init__(self, race: Race) -> None:
        self.outcome: AttemptOutcome = Abandoned()
        self._race = race
        self._task: curio.Task | None = None

    async def run(self, sender: Sender, call: Call, spec: AttemptSpec) -> None:
        """Make the attempt and note its outcome.

        :param sender: makes the attempt.
        :param call: the admitted call.
        :param sending: where it goes.
        """
        self._task = await curio.current_task()
        # The other may have won while this task waited for its turn.
        if self._has_lost():
            return
        try:
            self.outcome = await sender.send(call, spec, self)
        except curio.CancelledError:
            # By the race, or with the group that this task belongs to.
            # Raised further, it would be an error of the group, which would
            # then cancel the answer that won.
            return
        finally:
            await self._race.settled.set()

    async def cancel(self) -> None:
        """Stop the attempt; returns before it has ended."""
        if self._task is not None:
            await self._task.cancel(blocking=False)

    async def begin(self, status: int, headers: Headers) -> None:
        """Relay the answer's head if this attempt wins.

        :param status: HTTP status.
        :param headers: HTTP header fields of the back end.
        :raises CallerGone: another one won, or nobody waits.
        """
        # Symptom without this check: the caller gets two heads, or parts of
        # two answers mixed. The loser's frames end here.
        if not await self._race.claim(self):
            raise CallerDisconnected
        await self._race.sink.begin(status, headers)

    async def relay(self, content: bytes) -> None:
        """Relay a piece of the answer's body.

        :param content: the bytes.
        :raises CallerGone: this attempt has not won, or nobody waits.
        """
        self._check_winner()
        await self._race.sink.relay(content)

    async def finish(self) -> None:
        """Relay that the answer is whole.

        :raises CallerGone: this attempt has not won, or nobody waits.
        """
        self._check_winner()
        await self._race.sink.finish()

    async def flush(self, within: float) -> bool:
        """Send the caller what this attempt relayed.

        :param within: seconds to wait for the caller at most.
        :returns: whether nothing of it is left.
        :raises CallerGone: nobody waits for it.
        """
        # What another attempt holds back is its own to send: two tasks would
        # write to one caller at a time.
        if self._race.winner is not self:
            return True
        return await self._race.sink.flush(within)

    def is_abandoned(self) -> bool:
        """Tell whether nobody waits for this attempt.

        :returns: whether another has won or the caller has gone.
        """
        return self._has_lost() or self._race.sink.is_abandoned()

    def lost_to_later(self) -> bool:
        """Tell whether a attempt that started later has won.

        :returns: whether its back end is slower for certain.
        """
        return self._has_lost() and self._race.attempts[0] is self

    def _has_lost(self) -> bool:
        return self._race.winner not in {None, self}

    def _check_winner(self) -> None:
        if self._race.winner is not self:
            raise CallerDisconnected
