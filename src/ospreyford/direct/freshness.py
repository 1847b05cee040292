"""How old an entry's picture of the published state is."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreyford.direct.settings import Bounds


def read_boot_clock() -> float:
    """Read the clock that counts suspended time as well.

    A process that was suspended for seconds would take its picture for fresh
    by the monotonic clock, and serve a key that was taken away meanwhile.

    :returns: seconds since the host's start.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StateFreshness:
    """Tells whether a picture is fresh enough to serve keys by it.

    :param bounds: how long a key may be served after it was taken away.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self._confirmed_at: float | None = None

    def confirm(self, confirmed_at: float) -> None:
        """Note that the picture held all that was published until a moment.

        :param known_at: by :func:`read_boot_clock`.
        """
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def compute_age(self) -> float | None:
        """Tell how old the picture is at most.

        :returns: seconds, or ``None`` if there is none.
        """
        if self._confirmed_at is None:
            return None
        return read_boot_clock() - self._confirmed_at

    def may_serve_keys(self) -> bool:
        """Tell whether a key of this picture may still be served.

        :returns: whether no key of it can have been gone for too long.
        """
        age = self.compute_age()
        if age is None:
            return False
        if self.bounds.revoke_seconds is None:
            return True
        return age < self.bounds.revoke_seconds - self.bounds.knowledge_margin
