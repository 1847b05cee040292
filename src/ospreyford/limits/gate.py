"""Admission control by customer limits."""

from __future__ import annotations

from math import inf, isfinite
from typing import TYPE_CHECKING, Protocol

from ospreyford.limits.bucket import TokenBucket
from ospreyford.limits.limit import (
    Admitted,
    ConcurrencyExceeded,
    Limit,
    Refused,
    RequestRateExceeded,
    TokenRateExceeded,
)

if TYPE_CHECKING:
    from ospreyford.limits.settings import GateSettings


class Share(Protocol):
    """Source of this entry's fraction of the limits."""

    def get_fraction(self, customer: str, now: float) -> float:
        """Get the fraction of a customer's limit that this entry may use.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        :returns: fraction, 0 to 1.
        """

    def record_demand(self, customer: str, now: float) -> None:
        """Record a request, admitted or not.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        """


class FullShare:
    """Share of a single entry: all of each limit."""

    def get_fraction(self, customer: str, now: float) -> float:
        """Get the fraction.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        :returns: always 1.
        """
        return 1

    def record_demand(self, customer: str, now: float) -> None:
        """Ignore the request.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        """


class _Usage:
    """Usage of one customer's limit at this entry.

    :param local: this entry's share of the limit.
    :param burst_seconds: default burst, in seconds at the limit's rate.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, local: Limit, burst_seconds: float, now: float) -> None:
        self._burst_seconds = burst_seconds
        self.request_bucket = TokenBucket(
            local.requests, self._compute_request_burst(local), now
        )
        self.token_bucket = TokenBucket(
            local.tokens, self._compute_burst(local.tokens), now
        )
        self.in_flight = 0
        self.last_used_at = now

    def update_limit(self, local: Limit, now: float) -> None:
        """Update this entry's share of the limit.

        :param local: this entry's share of the limit.
        :param now: seconds on the monotonic clock.
        """
        self.last_used_at = now
        self.request_bucket.update_rate(
            local.requests, self._compute_request_burst(local), now
        )
        self.token_bucket.update_rate(
            local.tokens, self._compute_burst(local.tokens), now
        )

    def _compute_request_burst(self, local: Limit) -> float:
        if local.burst is None or not local.requests:
            return self._compute_burst(local.requests)
        return max(1, local.burst)

    def _compute_burst(self, rate: float) -> float:
        # A capacity below one unit would never admit anything.
        return max(1, rate * self._burst_seconds) if rate else 0


class LimitGate:
    """Admits or refuses requests by the customers' limits.

    :param settings: bursts and times.
    :param share: source of this entry's fraction of the limits.
    """

    def __init__(
        self, settings: GateSettings, share: Share | None = None
    ) -> None:
        self._settings = settings
        self._share = share or FullShare()
        self._usages: dict[str, _Usage] = {}
        self._evicted_at = -inf

    def admit(
        self, customer: str, limit: Limit, tokens: float, now: float
    ) -> Admitted | Refused:
        """Admit or refuse a request without waiting.

        A refused request does not count against the limit.

        :param customer: name of the customer.
        :param limit: the customer's limit over all entries.
        :param tokens: estimated tokens, prompt and response.
        :param now: seconds on the monotonic clock.
        :returns: the verdict.
        """
        self._evict_idle(now)
        self._share.record_demand(customer, now)
        local = self._scale_limit(customer, limit, now)
        usage = self._usages.get(customer)
        if usage is None:
            usage = _Usage(local, self._settings.burst_seconds, now)
            self._usages[customer] = usage
        usage.update_limit(local, now)
        refusal = self._check_limits(usage, local, tokens, now)
        if refusal:
            return refusal
        usage.in_flight += 1
        usage.request_bucket.take(1)
        usage.token_bucket.take(tokens)
        return Admitted()

    def release(
        self, customer: str, estimated: float, used: float, now: float
    ) -> None:
        """Record the end of an admitted request and settle its tokens.

        :param customer: name of the customer.
        :param estimated: tokens estimated at admission.
        :param used: tokens actually used.
        :param now: seconds on the monotonic clock.
        """
        usage = self._usages.get(customer)
        if usage:
            usage.in_flight = max(0, usage.in_flight - 1)
            usage.token_bucket.take(used - estimated)
            usage.last_used_at = now

    def _scale_limit(self, customer: str, limit: Limit, now: float) -> Limit:
        share = self._share.get_fraction(customer, now)
        # A concurrency below 1 would lock small customers out of this entry.
        return Limit(
            limit.requests * share,
            limit.tokens * share,
            max(1, int(limit.concurrency * share))
            if isfinite(limit.concurrency)
            else inf,
            burst=None if limit.burst is None else limit.burst * share,
        )

    def _check_limits(
        self, usage: _Usage, local: Limit, tokens: float, now: float
    ) -> Refused | None:
        max_wait = self._settings.longest_wait_seconds
        if usage.in_flight >= local.concurrency:
            retry_after = self._settings.retry_after_seconds
            return Refused(ConcurrencyExceeded(local.concurrency), retry_after)
        wait = usage.request_bucket.compute_wait(1, now)
        if wait:
            reason = RequestRateExceeded(local.requests)
            return Refused(reason, min(wait, max_wait))
        wait = usage.token_bucket.compute_wait(tokens, now)
        if wait:
            return Refused(TokenRateExceeded(local.tokens), min(wait, max_wait))
        return None

    def _evict_idle(self, now: float) -> None:
        idle_seconds = self._settings.idle_seconds
        if now - self._evicted_at < idle_seconds:
            return
        self._evicted_at = now
        self._usages = {
            customer: usage
            for customer, usage in self._usages.items()
            if usage.in_flight or now - usage.last_used_at < idle_seconds
        }
