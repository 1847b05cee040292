"""Noticing that this process stood still.

What goes wrong: a process is paused, wakes up and goes on with the view from
before: it would take members for dead that it merely did not hear, route to
hosts long gone, or act under a name that another process has by now. A gap
in the monotonic clock between two moments that lie close together when all
is well tells of the pause; until enough members have answered probes that
were begun after it, the view is stale.
"""

from __future__ import annotations

from ospreyford.ports.clock import Clock


class PauseDetector:
    """Watches for gaps.

    :param clock: source of time.
    :param pause_seconds: a longer gap is a pause.
    """

    def __init__(self, clock: Clock, pause_seconds: float) -> None:
        #: Pauses noticed; the start counts as the first.
        self.pause_count = 1
        self._clock = clock
        self._pause_seconds = pause_seconds
        self._last_active_at = clock.monotonic()
        self._responders: set[str] = set()
        self._probe_count = 0

    def record_activity(self) -> None:
        """Note that this process runs; called at least every period."""
        now = self._clock.monotonic()
        if now - self._last_active_at > self._pause_seconds:
            self.pause_count += 1
            self._responders.clear()
            self._probe_count = 0
        self._last_active_at = now

    def record_probe(self) -> None:
        """Note that a member is being probed."""
        self._probe_count += 1

    def record_response(self, name: str, pause_count: int) -> None:
        """Note that a member answered a probe.

        :param name: the member.
        :param wakes: ``wakes`` when the probe began; an answer to a probe
            from before a pause proves nothing.
        """
        if pause_count == self.pause_count:
            self._responders.add(name)

    def is_stale(self, min_responses: int) -> bool:
        """Judge whether the view is from before a pause.

        Not all the members wanted may be there to answer; after twice as
        many attempts, those that answered are enough.

        :param wanted: members that should answer; 0 if there are none.
        :returns: whether too few have answered since the last pause.
        """
        self.record_activity()
        if len(self._responders) >= min_responses:
            return False
        return not self._responders or self._probe_count < 2 * min_responses
