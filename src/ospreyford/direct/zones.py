"""Availability zones that operators have taken out of service.

Load pattern: a zone with many of the backends goes out under full load while
entries start and the store goes away, or comes back from an older copy. Taken
back, its idle backends have the lowest load of all, and may be cold.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Operators write again within seconds what an older copy lacks; later, what
#: the store shows counts.
RESTORE_HOLD_SECONDS = 30.0
#: Time in which a zone that is taken back comes to its full share.
RETURN_SECONDS = 5.0
#: Share with which it begins.
FIRST_SHARE = 0.05
#: A zone taken back is remembered for this long: no copy of the store is older.
MEMORY_SECONDS = 300.0
#: Revision of a change from before the latest restore.
EARLIER_HISTORY: Final = 0


@dataclass
class ZoneStatus:
    """What is known of a zone that is out, or was so recently.

    :param is_out: whether it is out now.
    :param changed_at: when this entry learned so, in seconds on the monotonic
        clock.
    :param revision: revision of that change; ``EARLIER_HISTORY`` after a
        restore.
    :param written: revision under which operators last took it out.
    """

    is_out: bool
    changed_at: float
    revision: int
    written: int


class ZonesOut:
    """Decides which zones get no requests, and how a zone returns."""

    def __init__(self) -> None:
        #: Requests of this entry that are under way, by zone.
        self.under_way: Counter[str] = Counter()
        #: Names of the zones that are out.
        self.names: frozenset[str] = frozenset()
        self._zones: dict[str, ZoneStatus] = {}
        #: Keys that the store shows, with their revisions.
        self._shown: dict[str, int] = {}
        self._listed_revision = EARLIER_HISTORY
        self._held_until: float | None = None
        #: End of the time in which zones have a part of their share.
        self.returning_until: float = 0

    @property
    def out_count(self) -> int:
        """Number of zones that are out."""
        return len(self.names)

    def has_any(self) -> bool:
        """Check whether any zone is out, or was so recently.

        :returns: whether one is.
        """
        return bool(self._zones)

    def is_out(self, zone: str) -> bool:
        """Check whether a zone is out.

        :param zone: its name.
        :returns: whether its backends get no requests.
        """
        return zone in self.names

    def get_statuses(self) -> Mapping[str, ZoneStatus]:
        """Return the zones that are out or were so recently.

        :returns: what is known of them, by name.
        """
        return self._zones

    def compute_share(self, zone: str, now: float) -> float:
        """Compute the share of requests that may go to a zone.

        :param zone: its name.
        :param now: seconds on the monotonic clock.
        :returns: 0 while it is out, 1 where it was not, and in between after
            it was taken back.
        """
        status = self._zones.get(zone)
        if status is None:
            return 1
        if status.is_out:
            return 0
        age = now - status.changed_at
        return min(max(age / RETURN_SECONDS, FIRST_SHARE), 1)

    def start_restore(self, now: float) -> None:
        """Start to judge the store's view against what was learned.

        :param now: seconds on the monotonic clock.
        """
        self._held_until = now + RESTORE_HOLD_SECONDS
        self._listed_revision = EARLIER_HISTORY
        for status in self._zones.values():
            status.revision = EARLIER_HISTORY

    def record_listing(
        self, listed: Mapping[str, int], revision: int, now: float
    ) -> None:
        """Apply a list of all zones that the store shows as out.

        :param listed: revision of each one's key, by name.
        :param revision: revision of the store.
        :param now: seconds on the monotonic clock.
        """
        self._listed_revision = revision
        self._shown = dict(listed)
        for zone, written in listed.items():
            known = self._zones.get(zone)
            is_same = known is not None and known.written == written
            if not (is_same and self._is_held()):
                self._take_out(zone, written, now)
        if self._is_held():
            return
        for zone, status in self._zones.items():
            # A listing that is older than the change cannot tell of its end.
            if zone not in listed and status.revision <= revision:
                self._take_back(zone, revision, now)

    def record_change(
        self, zone: str, revision: int, now: float, *, is_out: bool
    ) -> None:
        """Apply a change of a zone's key.

        :param zone: the zone's name.
        :param revision: revision of the change.
        :param now: seconds on the monotonic clock.
        :param is_out: whether the key was written, not removed.
        """
        if revision <= self._listed_revision:
            # The listing shows it, or what came after it.
            return
        if is_out:
            self._shown[zone] = revision
            self._take_out(zone, revision, now)
        else:
            self._shown.pop(zone, None)
            self._take_back(zone, revision, now)

    def settle(self, now: float) -> None:
        """Let the store's view count again, some time after a restore.

        Must be called only after the store has answered.

        :param now: seconds on the monotonic clock.
        """
        if self._held_until is not None and now >= self._held_until:
            self._held_until = None
            self.record_listing(self._shown, self._listed_revision, now)
        if self._zones:
            self._forget_returned(now)

    def _is_held(self) -> bool:
        return self._held_until is not None

    def _take_out(self, zone: str, written: int, now: float) -> None:
        status = self._zones.get(zone)
        if status is None or not status.is_out:
            self._zones[zone] = ZoneStatus(True, now, written, written)
            self.names |= {zone}
            return
        status.revision = written
        status.written = written

    def _take_back(self, zone: str, revision: int, now: float) -> None:
        status = self._zones.get(zone)
        if status is None or not status.is_out:
            return
        status.is_out = False
        self.names -= {zone}
        status.changed_at = now
        status.revision = revision
        self.returning_until = now + RETURN_SECONDS

    def _forget_returned(self, now: float) -> None:
        oldest = now - MEMORY_SECONDS
        self._zones = {
            zone: status
            for zone, status in self._zones.items()
            if status.is_out or status.changed_at > oldest
        }
