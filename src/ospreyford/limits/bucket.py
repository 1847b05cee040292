"""Token bucket."""

from __future__ import annotations

from math import inf


class TokenBucket:
    """Admits a rate with a bounded burst.

    An amount larger than the burst is admitted from a full bucket and leaves
    it in debt: a small share of a limit would otherwise never admit a long
    prompt. Over any span of ``t`` seconds at a steady rate it admits at most
    ``burst + rate * t`` and the part of one amount that is above the burst.
    A new bucket is full.

    :param rate: units a second; infinity admits everything.
    :param burst: units saved up at most.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def update_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate; what was saved under the old one is kept.

        :param rate: units a second.
        :param burst: units saved up at most.
        :param now: seconds on the monotonic clock.
        """
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def compute_wait(self, amount: float, now: float) -> float:
        """Tell how long until an amount may be taken.

        :param amount: units.
        :param now: seconds on the monotonic clock.
        :returns: seconds, 0 if at once, infinity if never.
        """
        self._refill(now)
        needed = min(amount, self._burst)
        if not self._rate:
            return inf
        return max(0, needed - self._tokens) / self._rate

    def take(self, amount: float) -> None:
        """Take an amount; a correction may leave the bucket in debt.

        :param amount: units; negative gives back.
        """
        self._tokens = min(self._burst, self._tokens - amount)

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        # Zero seconds of an infinite rate would be no number at all.
        refilled = inf if self._rate == inf else elapsed * self._rate
        self._tokens = min(self._burst, self._tokens + refilled)
