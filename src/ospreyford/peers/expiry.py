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

from ospreyford.peers.envelope import MS_PER_SECOND, PeerRequest

#: Clock rates differ by less than 200 ppm: 12 ms in this time.
CLOCK_SAMPLE_MAX_AGE_SECONDS: Final = 60
#: How often the watch expects to run.
PAUSE_CHECK_INTERVAL_SECONDS: Final = 0.25
#: Silence of the watch up to here is load, not a pause.
PAUSE_THRESHOLD_SECONDS: Final = 0.5
#: After a pause, messages that queued meanwhile are read within this time.
RESUME_WINDOW_SECONDS: Final = 1


class ClockSample(NamedTuple):
    """A peer's clock as last heard.

    :param sender: hash of the peer's incarnation.
    :param clock_ms: the peer's clock when it answered.
    :param heard_at: this process's clock when the answer came, in seconds.
    """

    sender: int
    clock_ms: int
    received_at: float


def read_clock_ms() -> int:
    """Read this process's clock for the envelope.

    :returns: milliseconds of the monotonic clock.
    """
    return int(time.monotonic() * MS_PER_SECOND)


def estimate_peer_clock(sample: ClockSample | None) -> tuple[int, int]:
    """Compute the moment on the receiver's clock that a question carries.

    :param echo: the receiver's clock as last heard.
    :returns: the question's ``receiver`` and ``sent_ms``.
    """
    if sample is None:
        return 0, 0
    elapsed = time.monotonic() - sample.received_at
    if elapsed > CLOCK_SAMPLE_MAX_AGE_SECONDS:
        return 0, 0
    return sample.sender, sample.clock_ms + int(elapsed * MS_PER_SECOND)


class PauseDetector:
    """Notices that this process stood still."""

    def __init__(self) -> None:
        self._ticked_at = time.monotonic()
        self._paused_seconds: float = 0
        self._resumed_at = float('-inf')

    def record_tick(self) -> None:
        """Note that the process runs; called every ``WATCH_SECONDS``."""
        now = time.monotonic()
        overrun = now - self._ticked_at - PAUSE_CHECK_INTERVAL_SECONDS
        if overrun > PAUSE_THRESHOLD_SECONDS:
            self._paused_seconds = overrun
            self._resumed_at = now
        self._ticked_at = now

    def recent_pause_seconds(self) -> float:
        """Tell how long the pause lasted that just ended.

        :returns: seconds, 0 if no pause ended within ``WAKE_SECONDS``.
        """
        # The reader may run before the watch after a pause.
        self.record_tick()
        if self._ticked_at - self._resumed_at > RESUME_WINDOW_SECONDS:
            return 0
        return self._paused_seconds


def is_expired(
    request: PeerRequest, own_hash: int, pauses: PauseDetector
) -> bool:
    """Judge whether a question's asker may have stopped waiting.

    :param question: the question.
    :param me: hash of this process's incarnation.
    :param watch: this process's watch.
    :returns: whether to drop it.
    """
    if request.receiver == own_hash:
        return read_clock_ms() - request.sent_by_ms > request.ttl_ms
    return pauses.recent_pause_seconds() * MS_PER_SECOND > request.ttl_ms
