"""Failure detector for a coordinator's agents, based on their reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock

#: Lower bound of the timeout, and its length in mean report intervals.
MIN_TIMEOUT_SECONDS = 0.5
TIMEOUT_INTERVALS = 2.5
INTERVAL_EWMA_WEIGHT = 0.02
#: Longer intervals are treated as an absence and not averaged.
MAX_INTERVAL_SECONDS = 3.0
#: Minimum interval of probes of one rank.
PROBE_INTERVAL_SECONDS = 0.25


class FailureDetector:
    """Records when each agent has reported.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._mean_interval: float = 0
        self._last_report_at: dict[str, float] = {}
        self._last_probe_at: dict[str, float] = {}

    def record_report(self, host: str) -> None:
        """Record a report of an agent.

        :param host: IP address of its host.
        """
        now = self._clock.monotonic()
        interval = now - self._last_report_at.get(host, now)
        if 0 < interval < MAX_INTERVAL_SECONDS:
            self._mean_interval += INTERVAL_EWMA_WEIGHT * (
                interval - self._mean_interval
            )
        self._last_report_at[host] = now

    def compute_timeout(self) -> float:
        """Compute the time without a report after which an agent is suspected.

        :returns: seconds.
        """
        return max(MIN_TIMEOUT_SECONDS, TIMEOUT_INTERVALS * self._mean_interval)

    def mark_failed(self, host: str) -> None:
        """Suspect an agent until it reports, unless it already has.

        :param host: IP address of its host.
        """
        self._last_report_at.setdefault(host, float('-inf'))

    def is_suspected(self, host: str) -> bool:
        """Return whether an agent has exceeded the timeout.

        :param host: IP address of its host.
        :returns: whether its rank is reached without it.
        """
        last_report = self._last_report_at.get(host, self._started_at)
        return self._clock.monotonic() - last_report > self.compute_timeout()

    def try_probe(self, host: str) -> bool:
        """Decide whether to probe an agent's rank, and record the probe.

        :param host: IP address of its host.
        :returns: whether the agent is suspected and a probe is due.
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

    def postpone_probe(self, host: str, seconds: float) -> None:
        """Leave an agent's rank alone for some time.

        :param host: IP address of its host.
        :param seconds: the time.
        """
        latest = self._clock.monotonic() + seconds
        self._last_probe_at[host] = latest - PROBE_INTERVAL_SECONDS
