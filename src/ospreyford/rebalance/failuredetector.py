"""Which agents a coordinator does not hear."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

#: An agent that has not reported for so long is passed over, and its rank is
#: looked at directly, in seconds, and in usual times between two reports: those
#: of a large group come as its coordinator's link bears them.
MIN_TIMEOUT_SECONDS = 0.5
TIMEOUT_INTERVALS = 2.5
#: Weight of the newest time between two reports in the usual one.
INTERVAL_EWMA_WEIGHT = 0.02
#: Longer times, in seconds, are those of an agent that was away.
MAX_INTERVAL_SECONDS = 3.0
#: Time between two such looks at one rank, in seconds; each one costs, and what
#: it shows is older than that anyway.
PROBE_INTERVAL_SECONDS = 0.25


class FailureDetector:
    """Notes when each agent has reported.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._mean_interval: float = 0
        self._last_report_at: dict[str, float] = {}
        self._last_probe_at: dict[str, float] = {}

    def record_report(self, host: str) -> None:
        """Note that an agent has reported.

        :param host: IP number of its host.
        """
        now = self._clock.monotonic()
        interval = now - self._last_report_at.get(host, now)
        if 0 < interval < MAX_INTERVAL_SECONDS:
            self._mean_interval += INTERVAL_EWMA_WEIGHT * (
                interval - self._mean_interval
            )
        self._last_report_at[host] = now

    def compute_timeout(self) -> float:
        """Tell how long an agent may be silent.

        :returns: seconds.
        """
        return max(MIN_TIMEOUT_SECONDS, TIMEOUT_INTERVALS * self._mean_interval)

    def mark_failed(self, host: str) -> None:
        """Note that an agent has been silent for long enough already.

        :param host: IP number of its host.
        """
        self._last_report_at.setdefault(host, float('-inf'))

    def is_suspected(self, host: str) -> bool:
        """Tell whether an agent has been silent for too long.

        :param host: IP number of its host.
        :returns: whether it is passed over.
        """
        last_report = self._last_report_at.get(host, self._started_at)
        return self._clock.monotonic() - last_report > self.compute_timeout()

    def try_probe(self, host: str) -> bool:
        """Tell whether to look past an agent now, and count the look.

        :param host: IP number of its host.
        :returns: whether the agent is silent and the last look is long ago.
        """
        now = self._clock.monotonic()
        last_probe = self._last_probe_at.get(host, float('-inf'))
        if (
            not self.is_suspected(host)
            or now - last_probe <= PROBE_INTERVAL_SECONDS
        ):
            return False
        self._last_probe_at[host] = now
        return True
