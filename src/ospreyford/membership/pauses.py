"""Detection of pauses of this process.

A gap in the monotonic clock between activities indicates a pause. The view
is stale until enough members have responded to probes sent after it.
"""

from __future__ import annotations

from ospreyford.ports.clock import Clock


class PauseDetector:
    """Counts pauses and the responses since the last one.

    :param clock: source of time.
    :param pause_seconds: shortest gap that counts as a pause.
    """

    def __init__(self, clock: Clock, pause_seconds: float) -> None:
        #: Pauses so far; the start counts as the first.
        self.pause_count = 1
        self._clock = clock
        self._pause_seconds = pause_seconds
        self._last_active_at = clock.monotonic()
        self._responders: set[str] = set()
        self._probe_count = 0

    def record_activity(self) -> None:
        """Record that this process runs; called at least every period."""
        now = self._clock.monotonic()
        if now - self._last_active_at > self._pause_seconds:
            self.pause_count += 1
            self._responders.clear()
            self._probe_count = 0
        self._last_active_at = now

    def record_probe(self) -> None:
        """Record the start of a probe."""
        self._probe_count += 1

    def record_response(self, name: str, pause_count: int) -> None:
        """Record a member's response to a probe.

        :param name: the member.
        :param pause_count: ``pause_count`` when the probe started; responses
            to probes from before a pause are ignored.
        """
        if pause_count == self.pause_count:
            self._responders.add(name)

    def is_stale(self, min_responses: int) -> bool:
        """Test whether the view dates from before a pause.

        A single responder is enough after ``2 * min_responses`` probes.

        :param min_responses: members that should respond.
        :returns: whether too few have responded since the last pause.
        """
        self.record_activity()
        if len(self._responders) >= min_responses:
            return False
        return not self._responders or self._probe_count < 2 * min_responses
