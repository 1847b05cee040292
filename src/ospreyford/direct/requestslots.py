"""Times at which one entry may send requests to a backend with a limit.

Many entries in front of one backend with a low limit: the share of an entry is
less than one request in several seconds. If each saved up its share, a burst
of callers after a lull would bring one request of every entry at once. So each
entry has slots of its own in a common cycle, and an unused slot lapses.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.direct.entryshare import compute_fraction

if TYPE_CHECKING:
    from ospreyford.direct.entryshare import EntryShare

#: Rate of the requests that find out whether a backend takes requests again.
MIN_RATE: Final = 0.25
#: Part of an entry's cycle in which it may send, and the bound of that part.
SLOT_FRACTION: Final = 0.25
MAX_SLOT_SECONDS: Final = 1.0


class Moment(NamedTuple):
    """One moment on two clocks.

    :param monotonic: seconds on the monotonic clock.
    :param unix: seconds since the Unix epoch, on which entries agree roughly.
    """

    monotonic: float
    unix: float


class RequestSlots:
    """Slots of one entry at one backend.

    :param backend: id of the backend; spreads the cycles of backends.
    """

    def __init__(self, backend: str) -> None:
        self._phase = compute_fraction(backend)
        self._last_at = -math.inf

    def find_next(self, rate: float, share: EntryShare, now: Moment) -> float:
        """Find when the next request may be sent.

        The time since the last request bounds the rate also while the limit or
        the number of entries changes, which moves the slots.

        :param rate: requests per second that the backend takes from all
            entries.
        :param share: this entry's share.
        :param now: the current moment.
        :returns: time on the monotonic clock; now if a slot is open.
        """
        cycle = share.entries / max(rate, MIN_RATE)
        width = min(SLOT_FRACTION * cycle, MAX_SLOT_SECONDS)
        earliest = max(now.monotonic, self._last_at + cycle - width)
        offset = (
            now.unix - now.monotonic - (self._phase + share.position) * cycle
        )
        elapsed = (earliest + offset) % cycle
        return earliest if elapsed < width else earliest + cycle - elapsed

    def take(self, at: float) -> None:
        """Take a slot for a request.

        :param at: when it is sent, in seconds on the monotonic clock.
        """
        self._last_at = at
