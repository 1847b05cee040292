"""Judging a question's age without synchronised clocks.

What goes wrong: a question waits in a queue (of a paused process, of a slow
connection) until long after its asker gave up, and is then handled as if it
were new. The queues themselves tell no age, and clocks of two hosts can't be
compared. Two judgements are made instead:

- An answer carries the answering process's monotonic clock. The asker adds
  the time gone by since and sends that back with its next question. On the
  receiver's own clock this moment lies before the sending, so the question's
  age is at most the difference: a question older than its time to live is
  always found. The bound is too long by the time the earlier answer
  travelled, so a slow answer may cost a question; silence is allowed.
- A first question carries no such moment. It is refused if this process was
  itself paused for longer than the question's time to live and woke just
  now. First questions delayed elsewhere are not found.

A clock that stands still while its machine is suspended hides that pause.
"""

from __future__ import annotations

import time
from typing import Final, NamedTuple

from ospreyford.peers.envelope import MILLISECONDS, Question

#: Clock rates differ by less than 200 ppm: 12 ms in this time.
ECHO_SECONDS: Final = 60
#: How often the watch expects to run.
WATCH_SECONDS: Final = 0.25
#: Silence of the watch up to here is load, not a pause.
PAUSE_SECONDS: Final = 0.5
#: After a pause, messages that queued meanwhile are read within this time.
WAKE_SECONDS: Final = 1


class Echo(NamedTuple):
    """A peer's clock as last heard.

    :param sender: hash of the peer's incarnation.
    :param clock_ms: the peer's clock when it answered.
    :param heard_at: this process's clock when the answer came, in seconds.
    """

    sender: int
    clock_ms: int
    heard_at: float


def clock_ms() -> int:
    """Read this process's clock for the envelope.

    :returns: milliseconds of the monotonic clock.
    """
    return int(time.monotonic() * MILLISECONDS)


def stamp(echo: Echo | None) -> tuple[int, int]:
    """Compute the moment on the receiver's clock that a question carries.

    :param echo: the receiver's clock as last heard.
    :returns: the question's ``receiver`` and ``sent_ms``.
    """
    if echo is None:
        return 0, 0
    elapsed = time.monotonic() - echo.heard_at
    if elapsed > ECHO_SECONDS:
        return 0, 0
    return echo.sender, echo.clock_ms + int(elapsed * MILLISECONDS)


class PauseWatch:
    """Notices that this process stood still."""

    def __init__(self) -> None:
        self._ticked_at = time.monotonic()
        self._paused_seconds: float = 0
        self._woke_at = float('-inf')

    def tick(self) -> None:
        """Note that the process runs; called every ``WATCH_SECONDS``."""
        now = time.monotonic()
        silent = now - self._ticked_at - WATCH_SECONDS
        if silent > PAUSE_SECONDS:
            self._paused_seconds = silent
            self._woke_at = now
        self._ticked_at = now

    def paused_seconds(self) -> float:
        """Tell how long the pause lasted that just ended.

        :returns: seconds, 0 if no pause ended within ``WAKE_SECONDS``.
        """
        # The reader may run before the watch after a pause.
        self.tick()
        if self._ticked_at - self._woke_at > WAKE_SECONDS:
            return 0
        return self._paused_seconds


def is_expired(question: Question, me: int, watch: PauseWatch) -> bool:
    """Judge whether a question's asker may have stopped waiting.

    :param question: the question.
    :param me: hash of this process's incarnation.
    :param watch: this process's watch.
    :returns: whether to drop it.
    """
    if question.receiver == me:
        return clock_ms() - question.sent_ms > question.ttl_ms
    return watch.paused_seconds() * MILLISECONDS > question.ttl_ms
