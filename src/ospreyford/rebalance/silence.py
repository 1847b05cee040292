"""Which agents a coordinator does not hear."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

#: An agent that has not reported for so long is passed over, and its rank is
#: looked at directly, in seconds, and in usual times between two reports: those
#: of a large group come as its coordinator's link bears them.
SILENT_SECONDS = 0.5
SILENT_REPORTS = 2.5
#: Weight of the newest time between two reports in the usual one.
INTERVAL_WEIGHT = 0.02
#: Longer times, in seconds, are those of an agent that was away.
LONGEST_INTERVAL = 3.0
#: Time between two such looks at one rank, in seconds; each one costs, and what
#: it shows is older than that anyway.
LOOK_SECONDS = 0.25


class SilentAgents:
    """Notes when each agent has reported.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began = clock.monotonic()
        self._usual: float = 0
        self._reported: dict[str, float] = {}
        self._looked: dict[str, float] = {}

    def note_report(self, host: str) -> None:
        """Note that an agent has reported.

        :param host: IP number of its host.
        """
        now = self._clock.monotonic()
        interval = now - self._reported.get(host, now)
        if 0 < interval < LONGEST_INTERVAL:
            self._usual += INTERVAL_WEIGHT * (interval - self._usual)
        self._reported[host] = now

    def tell_limit(self) -> float:
        """Tell how long an agent may be silent.

        :returns: seconds.
        """
        return max(SILENT_SECONDS, SILENT_REPORTS * self._usual)

    def note_lost(self, host: str) -> None:
        """Note that an agent has been silent for long enough already.

        :param host: IP number of its host.
        """
        self._reported.setdefault(host, float('-inf'))

    def is_silent(self, host: str) -> bool:
        """Tell whether an agent has been silent for too long.

        :param host: IP number of its host.
        :returns: whether it is passed over.
        """
        reported = self._reported.get(host, self._began)
        return self._clock.monotonic() - reported > self.tell_limit()

    def take_look(self, host: str) -> bool:
        """Tell whether to look past an agent now, and count the look.

        :param host: IP number of its host.
        :returns: whether the agent is silent and the last look is long ago.
        """
        now = self._clock.monotonic()
        looked = self._looked.get(host, float('-inf'))
        if not self.is_silent(host) or now - looked <= LOOK_SECONDS:
            return False
        self._looked[host] = now
        return True
