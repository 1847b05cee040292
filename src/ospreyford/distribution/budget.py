"""Rate limit and backoff of calls to the configuration service."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.distribution.members import Neighbours
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock

BURST_SECONDS = 4.0
MIN_WAIT_SECONDS = 0.001
MAX_BACKOFF_DOUBLINGS = 10


class CallBudget:
    """Token bucket refilled in proportion to the zone members in view.

    Every process has an equal share of the service's call rate. A reader uses
    the shares of its zone's members in view, divided by the zone's readers, so
    that the total stays bounded when a partition makes every process a reader.

    :param settings: shares and limits.
    :param clock: the process's clock.
    :param neighbours: the members in view.
    :param rng: randomizes the time of the first call.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        clock: Clock,
        neighbours: Neighbours,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._neighbours = neighbours
        self._rng = rng
        self._tokens = float(0)
        self._refilled_at = clock.monotonic()

    def reset(self) -> None:
        """Empty the bucket but for a random fraction of a token.

        A partition can elect many readers at once; full buckets would then
        send a burst of calls to the service.
        """
        self._tokens = self._rng.random()
        self._refilled_at = self._clock.monotonic()

    async def acquire(self) -> None:
        """Wait for a token and consume it."""
        self._refill()
        while self._tokens < 1:
            # The minimum avoids a busy loop when rounding shortens the wait.
            wait = (1 - self._tokens) / self.compute_rate()
            await self._clock.sleep(wait + MIN_WAIT_SECONDS)
            self._refill()
        self._tokens -= 1

    def compute_rate(self) -> float:
        """Compute the refill rate.

        :returns: calls per second.
        """
        settings = self._settings
        zone = self._neighbours.count_zone_members()
        share = settings.service_calls_per_second / settings.fleet_size
        readers = min(settings.readers_per_zone, zone)
        return min(settings.reader_calls_per_second, share * zone / readers)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        rate = self.compute_rate()
        tokens = self._tokens + (now - self._refilled_at) * rate
        self._tokens = min(tokens, max(1, rate * BURST_SECONDS))
        self._refilled_at = now


class Backoff:
    """Bounded exponential backoff with jitter.

    :param settings: first and longest wait.
    :param rng: for the jitter.
    """

    def __init__(self, settings: DistributionSettings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Record a successful call."""
        self._failures = 0

    def record_failure(self) -> float:
        """Record a failed call.

        :returns: seconds to wait before the next one.
        """
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        longest = self._settings.backoff_limit_seconds
        wait = self._settings.backoff_seconds * (1 << doublings)
        return min(longest, wait) * self._rng.uniform(0.5, 1)
