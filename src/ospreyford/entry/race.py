"""Races attempts at one request; the first to respond wins."""

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
    """Relays the first response that starts and cancels other attempts.

    ``settled`` is set when a response has started or an attempt has ended.

    :param sink: destination of the winning response.
    """

    def __init__(self, sink: Sink) -> None:
        self.sink = sink
        self.settled = curio.Event()
        self.attempts: list[RacingAttempt] = []
        self.winner: RacingAttempt | None = None

    def add_attempt(self) -> RacingAttempt:
        """Add an attempt to the race.

        :returns: the attempt, to be used as its own sink.
        """
        attempt = RacingAttempt(self)
        self.attempts.append(attempt)
        return attempt

    async def claim(self, attempt: RacingAttempt) -> bool:
        """Make an attempt the winner, unless there is one; cancel the others.

        :param attempt: attempt whose response starts.
        :returns: whether the attempt is the winner.
        """
        if self.winner is None:
            # Set before the first await, so that no other attempt can win.
            self.winner = attempt
            for other in self.attempts:
                if other is not attempt:
                    await other.cancel()
            await self.settled.set()
        return self.winner is attempt


class RacingAttempt:
    """One attempt in a race; relays to the caller only if it wins.

    :param race: race that it takes part in.
    """

    def __init__(self, race: Race) -> None:
        self.outcome: AttemptOutcome = Abandoned()
        self._race = race
        self._task: curio.Task | None = None

    async def run(self, sender: Sender, call: Call, spec: AttemptSpec) -> None:
        """Run the attempt and record its outcome.

        :param sender: runs the attempt.
        :param call: the admitted call.
        :param spec: backend to send to.
        """
        self._task = await curio.current_task()
        # Another attempt may have won before this task was scheduled.
        if self._has_lost():
            return
        try:
            self.outcome = await sender.send(call, spec, self)
        except curio.CancelledError:
            # Propagating it would make the task group cancel the winner.
            return
        finally:
            await self._race.settled.set()

    async def cancel(self) -> None:
        """Cancel the attempt without waiting for its end."""
        if self._task is not None:
            await self._task.cancel(blocking=False)

    async def begin(self, status: int, headers: Headers) -> None:
        """Relay the response head if this attempt wins.

        :param status: HTTP status.
        :param headers: HTTP header fields from the backend.
        :raises CallerDisconnected: another attempt won.
        """
        if not await self._race.claim(self):
            raise CallerDisconnected
        await self._race.sink.begin(status, headers)

    async def relay(self, content: bytes) -> None:
        """Relay a chunk of the response body.

        :param content: the bytes.
        :raises CallerDisconnected: not the winner, or caller gone.
        """
        self._check_winner()
        await self._race.sink.relay(content)

    async def finish(self) -> None:
        """Relay the end of the response.

        :raises CallerDisconnected: not the winner, or caller gone.
        """
        self._check_winner()
        await self._race.sink.finish()

    async def flush(self, timeout_seconds: float) -> bool:
        """Flush what this attempt relayed.

        :param timeout_seconds: time to wait for the caller.
        :returns: whether everything was sent.
        :raises CallerDisconnected: the caller disconnected.
        """
        # Only the winner may write to the caller's connection.
        if self._race.winner is not self:
            return True
        return await self._race.sink.flush(timeout_seconds)

    def is_abandoned(self) -> bool:
        """Tell whether this attempt has no receiver.

        :returns: whether another attempt won or the caller disconnected.
        """
        return self._has_lost() or self._race.sink.is_abandoned()

    def lost_to_later(self) -> bool:
        """Tell whether an attempt that started later has won.

        :returns: whether this is the first attempt and it lost.
        """
        return self._has_lost() and self._race.attempts[0] is self

    def _has_lost(self) -> bool:
        return self._race.winner not in {None, self}

    def _check_winner(self) -> None:
        if self._race.winner is not self:
            raise CallerDisconnected
