"""How often one process may call the configuration service."""

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
    """A token bucket filled with the shares of the processes read for.

    Each process of the fleet owns an equal share of the calls that the
    service stands. A reader spends the shares of the zone's members in its
    view, divided by the readers that the zone has. However the views split
    the fleet, every share is spent once for each view that holds its owner:
    thousands of processes that each see only themselves, and so all believe
    that they are readers, make together no more calls than the few readers
    of a fleet that agrees.

    :param settings: shares and limits.
    :param clock: the process's clock.
    :param neighbours: the members in view.
    :param rng: spreads the first calls.
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
        """Start with an almost empty bucket, on becoming a reader.

        A cut network makes all processes readers at the same moment; full
        buckets would be spent on the service at once.
        """
        self._tokens = self._rng.random()
        self._refilled_at = self._clock.monotonic()

    async def acquire(self) -> None:
        """Wait until a call is allowed, and count it."""
        self._refill()
        while self._tokens < 1:
            # A wait that rounding made a trifle too short would be followed
            # by one of no length at all, in a loop that uses a whole core.
            wait = (1 - self._tokens) / self.compute_rate()
            await self._clock.sleep(wait + MIN_WAIT_SECONDS)
            self._refill()
        self._tokens -= 1

    def compute_rate(self) -> float:
        """Give the present rate.

        :returns: calls a second.
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
    """Waits between failed calls: doubling, bounded, with jitter.

    :param settings: first and longest wait.
    :param rng: for the jitter.
    """

    def __init__(self, settings: DistributionSettings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Note a call that went well."""
        self._failures = 0

    def record_failure(self) -> float:
        """Note a failed call.

        :returns: seconds to wait before the next.
        """
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        longest = self._settings.backoff_limit_seconds
        wait = self._settings.backoff_seconds * (1 << doublings)
        return min(longest, wait) * self._rng.uniform(0.5, 1)
