"""Detection of expired requests without synchronized clocks.

A request may wait in a queue until after its sender has timed out:

- A response carries the responder's monotonic clock. The requester adds the
  elapsed time and sends it with its next request, which gives the responder
  an upper bound of that request's age.
- Without such a sample, a request is dropped if this process has just
  resumed from a pause longer than the request's timeout.

A clock that stops while the machine is suspended hides that pause.
"""

from __future__ import annotations

import time
from typing import Final, NamedTuple

from ospreyford.peers.envelope import MS_PER_SECOND, PeerRequest

#: Bounds the error of clock drift: 12 ms at 200 ppm.
CLOCK_SAMPLE_MAX_AGE_SECONDS: Final = 60
PAUSE_CHECK_INTERVAL_SECONDS: Final = 0.25
#: Shorter delays are attributed to load.
PAUSE_THRESHOLD_SECONDS: Final = 0.5
#: Messages queued during a pause are read within this time after it.
RESUME_WINDOW_SECONDS: Final = 1


class ClockSample(NamedTuple):
    """A clock value received from a peer.

    :param sender: hash of the peer's incarnation.
    :param clock_ms: the peer's clock when it responded, in milliseconds.
    :param received_at: local monotonic clock on receipt, in seconds.
    """

    sender: int
    clock_ms: int
    received_at: float


def read_clock_ms() -> int:
    """Read the monotonic clock.

    :returns: milliseconds.
    """
    return int(time.monotonic() * MS_PER_SECOND)


def estimate_peer_clock(sample: ClockSample | None) -> tuple[int, int]:
    """Estimate a lower bound of the current time on a peer's clock.

    :param sample: the last clock sample of the peer.
    :returns: the request's ``receiver`` and ``sent_by_ms``.
    """
    if sample is None:
        return 0, 0
    elapsed = time.monotonic() - sample.received_at
    if elapsed > CLOCK_SAMPLE_MAX_AGE_SECONDS:
        return 0, 0
    return sample.sender, sample.clock_ms + int(elapsed * MS_PER_SECOND)


class PauseDetector:
    """Detects pauses of this process."""

    def __init__(self) -> None:
        self._ticked_at = time.monotonic()
        self._paused_seconds: float = 0
        self._resumed_at = float('-inf')

    def record_tick(self) -> None:
        """Record a tick; called every ``PAUSE_CHECK_INTERVAL_SECONDS``."""
        now = time.monotonic()
        overrun = now - self._ticked_at - PAUSE_CHECK_INTERVAL_SECONDS
        if overrun > PAUSE_THRESHOLD_SECONDS:
            self._paused_seconds = overrun
            self._resumed_at = now
        self._ticked_at = now

    def get_recent_pause_seconds(self) -> float:
        """Return the duration of a pause that has just ended.

        :returns: seconds, 0 if no pause ended within ``RESUME_WINDOW_SECONDS``.
        """
        # After a pause, messages may be read before the next tick.
        self.record_tick()
        if self._ticked_at - self._resumed_at > RESUME_WINDOW_SECONDS:
            return 0
        return self._paused_seconds


def is_expired(
    request: PeerRequest, own_hash: int, pause_detector: PauseDetector
) -> bool:
    """Check whether the sender of a request may have timed out.

    :param request: the request.
    :param own_hash: hash of this process's incarnation.
    :param pause_detector: the pause detector of this process.
    :returns: whether to drop it.
    """
    if request.receiver == own_hash:
        return read_clock_ms() - request.sent_by_ms > request.ttl_ms
    return (
        pause_detector.get_recent_pause_seconds() * MS_PER_SECOND
        > request.ttl_ms
    )
