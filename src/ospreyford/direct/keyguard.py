"""Decision whether readings of a restored store confirm that keys are valid.

Load pattern: the store is away for a moment and comes back without the last
configurations that it acknowledged; operators write them again seconds later,
and callers go on with keys that one of them has withdrawn.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.direct.settings import Bounds

#: Shortest remaining time that is told; the configuration may be written again
#: at any moment.
MIN_WAIT_SECONDS = 0.25


class KeyGuard:
    """Decides whether a reading of the store confirms that keys are valid.

    Keys may have been withdrawn in a configuration that the copy lacks. A
    reading confirms them once the configuration was written again, or once
    operators had the time for which a withdrawn key may be accepted, and if no
    process knows of a newer configuration.

    :param bounds: limits on the use of old state.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        #: Newest configuration version that another process knows of.
        self.told_version = 0
        self._told_at: float | None = None
        self._settles_at: float | None = None
        self._has_earlier_view = True
        self._has_settled = False
        self._shown_version: int | None = None
        self._is_rewritten = False

    def start(self, now: float) -> None:
        """Start to doubt readings after a restore.

        What was confirmed before the restore stays confirmed.

        :param now: seconds on the boot clock.
        """
        if self._settles_at is None:
            self._has_earlier_view = True
        self._doubt_until(now + (self.bounds.revoke_seconds or 0))
        self._shown_version = None

    def start_without_view(self, seconds: float, now: float) -> None:
        """Start to doubt all readings, as this entry started after a restore.

        Agents go on telling of it after the configuration was written again.

        :param seconds: time for which other processes will doubt the store.
        :param now: seconds on the boot clock.
        """
        if self._settles_at is None and not self._has_settled:
            self._doubt_until(now + seconds)
            self._has_earlier_view = False

    def record_catalog(self, version: int, *, is_rewritten: bool) -> None:
        """Record the configuration that the store shows.

        :param version: its version.
        :param is_rewritten: whether it was written after the restore.
        """
        self._shown_version = version
        self._is_rewritten = is_rewritten

    def record_told(self, version: int, now: float) -> None:
        """Record a version that another process knows of.

        :param version: the version.
        :param now: seconds on the boot clock.
        """
        if version > self.told_version:
            self.told_version = version
            self._told_at = now

    def settle(self, known_version: int, confirmed_at: float) -> bool:
        """Decide whether a reading confirms that keys are valid.

        :param known_version: version of the configuration in force.
        :param confirmed_at: time up to which the reading is complete, in
            seconds on the boot clock.
        :returns: whether it does; stays so until the next restore.
        """
        if self._settles_at is None:
            return True
        newest = max(known_version, self.told_version)
        if self._shown_version is None or self._shown_version < newest:
            return False
        if not self._is_rewritten and confirmed_at < self._settles_at:
            return False
        self._settles_at = None
        self._has_settled = True
        return True

    def compute_wait(self, now: float) -> float:
        """Compute how long readings will be doubted.

        :param now: seconds on the boot clock.
        :returns: seconds; 0 if readings confirm keys.
        """
        if self._settles_at is None:
            return 0
        return max(self._settles_at - now, MIN_WAIT_SECONDS)

    def may_accept(
        self,
        known_version: int,
        confirmed_at: float | None,
        *,
        is_starting: bool,
    ) -> bool:
        """Check whether keys of the configuration in force may be accepted.

        A configuration that others were merely quicker to read is no evidence
        that the store lacks it: the view must be complete past the moment at
        which it was told, or the entry must have started with it.

        :param known_version: version of the configuration in force.
        :param confirmed_at: time up to which the view is complete, in seconds
            on the boot clock.
        :param is_starting: whether this entry started a moment ago.
        :returns: whether no process is known to hold a newer configuration.
        """
        if self._settles_at is not None and not self._has_earlier_view:
            return False
        if self._told_at is None or known_version >= self.told_version:
            return True
        if is_starting:
            return False
        return confirmed_at is None or confirmed_at <= self._told_at

    def _doubt_until(self, settles_at: float) -> None:
        self._settles_at = settles_at
        self._is_rewritten = False
