"""Staleness detection, robust to pauses of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock


class ClockReading(NamedTuple):
    """A reading of both clocks."""

    monotonic_seconds: float
    wall_offset_seconds: float


class Freshness:
    """Tells whether this process is stale.

    The age of a check counts from the time its request was *sent*, so a process
    that was paused at any point is stale at once on resuming. A pause during
    which the monotonic clock stops (a suspended virtual machine) shows as a
    jump of the wall clock's offset.

    :param settings: the limits.
    :param clock: the process's clock.
    """

    def __init__(self, settings: DistributionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._last_check: ClockReading | None = None
        self._stale_peer_checks: dict[str, ClockReading] = {}

    def read_clocks(self) -> ClockReading:
        """Read both clocks; call it before sending a request.

        :returns: the reading.
        """
        now = self._clock.monotonic()
        return ClockReading(now, self._clock.wall() - now)

    def is_stale(self) -> bool:
        """Tell whether the last check is too old.

        :returns: ``True`` also if there was none.
        """
        last_check = self._last_check
        return last_check is None or not self.is_recent(last_check)

    def record_check(self, asked_at: ClockReading) -> None:
        """Record a check against the service or a peer that is not stale.

        :param asked_at: clocks before the request was sent.
        """
        if self.is_recent(asked_at):
            self._last_check = asked_at
            self._stale_peer_checks.clear()

    def record_stale_peer_check(
        self, asked_at: ClockReading, peer_address: str, live_count: int
    ) -> None:
        """Record a comparison with a peer that is stale itself.

        A quorum of stale peers counts as a check: otherwise a fleet that was
        paused as a whole would stay stale while the service is down.

        :param asked_at: clocks before the request was sent.
        :param peer_address: the peer's address.
        :param live_count: number of live peers.
        """
        self._stale_peer_checks[peer_address] = asked_at
        recent = {
            address: moment
            for address, moment in self._stale_peer_checks.items()
            if self.is_recent(moment)
        }
        self._stale_peer_checks = recent
        if len(recent) >= min(self._settings.stale_peers, live_count):
            self.record_check(min(recent.values(), default=asked_at))

    def is_recent(self, reading: ClockReading) -> bool:
        """Tell whether a clock reading is recent, with no pause since.

        :param reading: the clock reading.
        :returns: ``False`` if it is older than the limit.
        """
        now = self.read_clocks()
        limit = self._settings.stale_seconds
        age = now.monotonic_seconds - reading.monotonic_seconds
        jump = abs(now.wall_offset_seconds - reading.wall_offset_seconds)
        return age <= limit and jump <= limit
