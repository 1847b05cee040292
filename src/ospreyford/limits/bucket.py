"""Token bucket with debt."""

from __future__ import annotations

from math import inf


class TokenBucket:
    """Limits a rate with a bounded burst; initially full.

    An amount above the burst is admitted from a full bucket and leaves it in
    debt, so that a small share of a limit can still admit a long prompt.

    :param rate: units per second; infinity admits everything.
    :param burst: capacity, in units.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def update_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst, keeping the accumulated tokens.

        :param rate: units per second.
        :param burst: capacity, in units.
        :param now: seconds on the monotonic clock.
        """
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def compute_wait(self, amount: float, now: float) -> float:
        """Compute the time until an amount can be taken.

        :param amount: units.
        :param now: seconds on the monotonic clock.
        :returns: seconds; 0 if available now, infinity if never.
        """
        self._refill(now)
        needed = min(amount, self._burst)
        if not self._rate:
            return inf
        return max(0, needed - self._tokens) / self._rate

    def take(self, amount: float) -> None:
        """Take an amount unconditionally, possibly leaving a debt.

        :param amount: units; a negative amount is returned to the bucket.
        """
        self._tokens = min(self._burst, self._tokens - amount)

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        # inf * 0 is NaN.
        refilled = inf if self._rate == inf else elapsed * self._rate
        self._tokens = min(self._burst, self._tokens + refilled)
