"""What one agent has granted, and what it may grant."""

from __future__ import annotations

import math
from collections import deque
from itertools import repeat
from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.sendgrants.bounds import (
    LONG_WINDOW_SECONDS,
    SHORT_WINDOW_SECONDS,
    list_windows,
)

if TYPE_CHECKING:
    from ospreyford.sendgrants.messages import SendingRequest

#: A higher rate than another entry told counts after this time.
RATE_MEMORY_SECONDS: Final = 1.0


class Granted(NamedTuple):
    """What an agent grants.

    :param count: number of sendings.
    :param wait_seconds: time until more can be granted.
    """

    count: int
    wait_seconds: float


class GrantLedger:
    """Grants of one agent to one backend."""

    def __init__(self) -> None:
        self.asked_at = -math.inf
        self._granted_at: deque[float] = deque()
        self._closed_until = -math.inf
        self._rate = math.inf
        self._rate_at = -math.inf

    def grant(self, request: SendingRequest, now: float) -> Granted:
        """Grant as many sendings as the bounds allow.

        :param request: the entry's request.
        :param now: seconds on the boot clock.
        :returns: the grant.
        """
        is_idle = now - self.asked_at > SHORT_WINDOW_SECONDS
        if is_idle and request.has_moved:
            # The agent before has grants in use, and its successor too if this
            # one is lost at once.
            self._closed_until = now + SHORT_WINDOW_SECONDS
        self.asked_at = now
        self._record_rate(request.rate, now)
        if now < self._closed_until:
            return Granted(0, self._closed_until - now)
        while self._granted_at and (
            self._granted_at[0] <= now - LONG_WINDOW_SECONDS
        ):
            self._granted_at.popleft()
        room = min(
            window.grants - self._count_since(now - window.seconds)
            for window in list_windows(self._rate)
        )
        count = max(min(room, request.count), 0)
        self._granted_at.extend(repeat(now, count))
        return Granted(count, self._find_next(now) - now)

    def _record_rate(self, rate: float, now: float) -> None:
        # Entries that have not heard of a lower rate yet must not set it.
        is_old = now - self._rate_at > RATE_MEMORY_SECONDS
        if rate <= self._rate or is_old:
            self._rate = rate
            self._rate_at = now

    def _count_since(self, oldest: float) -> int:
        count = 0
        for at in reversed(self._granted_at):
            if at <= oldest:
                break
            count += 1
        return count

    def _find_next(self, now: float) -> float:
        """Find when the next sending can be granted."""
        found = now
        for window in list_windows(self._rate):
            if len(self._granted_at) >= window.grants:
                opening = self._granted_at[-window.grants] + window.seconds
                found = max(found, opening)
        return found


class GrantOffice:
    """All ledgers of an agent.

    It grants nothing in its first moments: the same agent may have granted
    before it was restarted.

    :param started_at: start of the process, in seconds on the boot clock.
    """

    def __init__(self, started_at: float) -> None:
        self._opens_at = started_at + SHORT_WINDOW_SECONDS
        #: By backend, in the order of the latest request.
        self._ledgers: dict[str, GrantLedger] = {}

    def __len__(self) -> int:
        return len(self._ledgers)

    def grant(self, request: SendingRequest, now: float) -> Granted:
        """Grant sendings to an entry.

        :param request: the entry's request.
        :param now: seconds on the boot clock.
        :returns: the grant.
        """
        if now < self._opens_at:
            return Granted(0, self._opens_at - now)
        ledger = self._ledgers.pop(request.backend, None)
        if ledger is None:
            ledger = GrantLedger()
        self._ledgers[request.backend] = ledger
        granted = ledger.grant(request, now)
        self._forget_idle(now)
        return granted

    def _forget_idle(self, now: float) -> None:
        """Forget the ledgers without grants that still count."""
        oldest = now - LONG_WINDOW_SECONDS
        while next(iter(self._ledgers.values())).asked_at < oldest:
            self._ledgers.pop(next(iter(self._ledgers)))
