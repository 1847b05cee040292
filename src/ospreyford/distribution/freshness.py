"""When this process last made sure that its picture is the newest."""

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

    A check counts from the moment its question was *sent*. A process that is
    paused between question and answer, or at any other point, wakes up with
    an old check and so is stale by itself: nothing has to run first to find
    out. Where the monotonic clock stood still during the pause (a suspended
    virtual machine), the wall clock's distance from it has jumped.

    :param settings: the limits.
    :param clock: the process's clock.
    """

    def __init__(self, settings: DistributionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._last_check: ClockReading | None = None
        self._stale_peer_checks: dict[str, ClockReading] = {}

    def read_clocks(self) -> ClockReading:
        """Read the clocks; do so before a question is sent.

        :returns: the present moment.
        """
        now = self._clock.monotonic()
        return ClockReading(now, self._clock.wall() - now)

    def is_stale(self) -> bool:
        """Tell whether the last check is too old.

        :returns: also ``True`` when there was none.
        """
        last_check = self._last_check
        return last_check is None or not self.is_recent(last_check)

    def record_check(self, asked_at: ClockReading) -> None:
        """Note a check against the service or a peer that is not stale.

        :param asked: the moment before the question was sent.
        """
        if self.is_recent(asked_at):
            self._last_check = asked_at
            self._stale_peer_checks.clear()

    def record_stale_peer_check(
        self, asked_at: ClockReading, peer_address: str, live_count: int
    ) -> None:
        """Note a comparison with a peer that is stale itself.

        One such peer proves nothing, as both may have slept. But when all
        were paused while the service is down, nobody would ever be fresh
        again; the joint picture of several is then the newest there is.

        :param asked: the moment before the question was sent.
        :param peer: the peer's address.
        :param live: how many live peers there are.
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
        """Tell whether a moment is near, with no pause since.

        :param asked: the moment.
        :returns: ``False`` when it is older than the limit.
        """
        now = self.read_clocks()
        limit = self._settings.stale_seconds
        age = now.monotonic_seconds - reading.monotonic_seconds
        jump = abs(now.wall_offset_seconds - reading.wall_offset_seconds)
        return age <= limit and jump <= limit
