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

#: A higher rate, or a better rank, than another entry told counts after this
#: time.
TOLD_MEMORY_SECONDS: Final = 1.0


class Granted(NamedTuple):
    """What an agent grants.

    :param sendings: their number.
    :param wait_seconds: time until more can be granted.
    """

    sendings: int
    wait_seconds: float


class GrantLedger:
    """Grants of one agent to one backend."""

    def __init__(self) -> None:
        self.asked_at = -math.inf
        self._granted_at: deque[float] = deque()
        self._rate = math.inf
        self._rate_at = -math.inf
        self._rank = 0
        self._rank_at = -math.inf

    def grant(self, request: SendingRequest, now: float) -> Granted:
        """Grant as many sendings as the bounds allow.

        :param request: the entry's request.
        :param now: seconds on the boot clock.
        :returns: the grant.
        """
        self.asked_at = now
        self._record_told(request, now)
        while self._granted_at and (
            self._granted_at[0] <= now - LONG_WINDOW_SECONDS
        ):
            self._granted_at.popleft()
        room = min(
            window.grants - self._count_since(now - window.seconds)
            for window in list_windows(self._rate, self._rank)
        )
        count = max(min(room, request.count), 0)
        self._granted_at.extend(repeat(now, count))
        return Granted(count, self._find_next(now) - now)

    def _record_told(self, request: SendingRequest, now: float) -> None:
        """Record rate and rank; of entries that differ, the cautious count."""
        if (
            request.rate <= self._rate
            or now - self._rate_at > TOLD_MEMORY_SECONDS
        ):
            self._rate = request.rate
            self._rate_at = now
        if (
            request.rank >= self._rank
            or now - self._rank_at > TOLD_MEMORY_SECONDS
        ):
            self._rank = request.rank
            self._rank_at = now

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
        for window in list_windows(self._rate, self._rank):
            if not window.grants:
                return now + window.seconds
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
