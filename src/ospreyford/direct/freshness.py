"""Age of the entry's view of the store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.direct.settings import Bounds


def read_boot_clock() -> float:
    """Read the clock that includes suspended time.

    By the monotonic clock, a suspended process would consider its view fresh
    and accept a revoked key.

    :returns: seconds since the host booted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StateFreshness:
    """Checks whether the entry's view is fresh enough to accept keys.

    :param bounds: limits on the use of old state.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.confirmed_at: float | None = None

    def confirm(self, confirmed_at: float) -> None:
        """Record that the view was complete at a time.

        :param confirmed_at: time by :func:`read_boot_clock`.
        """
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def compute_age(self) -> float | None:
        """Compute the maximum age of the view.

        :returns: seconds, or ``None`` before the first confirmation.
        """
        if self.confirmed_at is None:
            return None
        return read_boot_clock() - self.confirmed_at

    def may_serve_keys(self) -> bool:
        """Check whether keys of this view may still be accepted.

        :returns: whether no key can have been revoked for too long.
        """
        age = self.compute_age()
        if age is None:
            return False
        if self.bounds.revoke_seconds is None:
            return True
        return age < self.bounds.revoke_seconds - self.bounds.knowledge_margin
