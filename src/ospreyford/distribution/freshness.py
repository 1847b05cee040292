"""When this process last made sure that its picture is the newest."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ospreyford.distribution.settings import DistributionSettings
    from ospreyford.ports.clock import Clock


class Moment(NamedTuple):
    """A reading of both clocks."""

    monotonic: float
    wall_offset: float


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
        self._checked: Moment | None = None
        self._stale_peers: dict[str, Moment] = {}

    def moment(self) -> Moment:
        """Read the clocks; do so before a question is sent.

        :returns: the present moment.
        """
        now = self._clock.monotonic()
        return Moment(now, self._clock.wall() - now)

    def is_stale(self) -> bool:
        """Tell whether the last check is too old.

        :returns: also ``True`` when there was none.
        """
        checked = self._checked
        return checked is None or not self.is_recent(checked)

    def confirm(self, asked: Moment) -> None:
        """Note a check against the service or a peer that is not stale.

        :param asked: the moment before the question was sent.
        """
        if self.is_recent(asked):
            self._checked = asked
            self._stale_peers.clear()

    def confirm_by_stale(self, asked: Moment, peer: str, live: int) -> None:
        """Note a comparison with a peer that is stale itself.

        One such peer proves nothing, as both may have slept. But when all
        were paused while the service is down, nobody would ever be fresh
        again; the joint picture of several is then the newest there is.

        :param asked: the moment before the question was sent.
        :param peer: the peer's address.
        :param live: how many live peers there are.
        """
        self._stale_peers[peer] = asked
        recent = {
            address: moment
            for address, moment in self._stale_peers.items()
            if self.is_recent(moment)
        }
        self._stale_peers = recent
        if len(recent) >= min(self._settings.stale_peers, live):
            self.confirm(min(recent.values(), default=asked))

    def is_recent(self, asked: Moment) -> bool:
        """Tell whether a moment is near, with no pause since.

        :param asked: the moment.
        :returns: ``False`` when it is older than the limit.
        """
        now = self.moment()
        limit = self._settings.stale_seconds
        age = now.monotonic - asked.monotonic
        jump = abs(now.wall_offset - asked.wall_offset)
        return age <= limit and jump <= limit
