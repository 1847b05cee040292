"""Admission of requests within the customers' limits."""

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
    """Source of this entry's part of the limits."""

    def fraction(self, customer: str, now: float) -> float:
        """Tell what part of a customer's limit this entry may use.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        :returns: fraction, 0 to 1.
        """

    def note_demand(self, customer: str, now: float) -> None:
        """Count a request, admitted or not.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        """


class WholeShare:
    """A lone entry's share: the whole of each limit."""

    def fraction(self, customer: str, now: float) -> float:
        """Tell the part.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        :returns: always 1.
        """
        return 1

    def note_demand(self, customer: str, now: float) -> None:
        """Count nothing.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        """


class _Usage:
    """What one customer uses at this entry.

    :param local: this entry's part of the limit.
    :param seconds: seconds of it that may be saved up.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, local: Limit, seconds: float, now: float) -> None:
        self._seconds = seconds
        self.requests = TokenBucket(
            local.requests, self._find_requests(local), now
        )
        self.tokens = TokenBucket(
            local.tokens, self._find_burst(local.tokens), now
        )
        self.running = 0
        self.seen_at = now

    def change_limit(self, local: Limit, now: float) -> None:
        """Follow a change of this entry's part of the limit.

        :param local: this entry's part of the limit.
        :param now: seconds on the monotonic clock.
        """
        self.seen_at = now
        self.requests.change_rate(
            local.requests, self._find_requests(local), now
        )
        self.tokens.change_rate(
            local.tokens, self._find_burst(local.tokens), now
        )

    def _find_requests(self, local: Limit) -> float:
        if local.burst is None or not local.requests:
            return self._find_burst(local.requests)
        return max(1, local.burst)

    def _find_burst(self, rate: float) -> float:
        # With less than one unit saved up, nothing would ever pass.
        return max(1, rate * self._seconds) if rate else 0


class LimitGate:
    """Admits or refuses at once; keeps only customers with recent requests.

    :param settings: bursts and times.
    :param share: fraction of a customer's limit that is this entry's.
    """

    def __init__(
        self, settings: GateSettings, share: Share | None = None
    ) -> None:
        self._settings = settings
        self._share = share or WholeShare()
        self._usages: dict[str, _Usage] = {}
        self._swept_at = -inf

    def admit(
        self, customer: str, limit: Limit, tokens: float, now: float
    ) -> Admitted | Refused:
        """Admit a request or refuse it; never waits.

        A refused request uses nothing of the limit.

        :param customer: name of the customer.
        :param limit: the customer's limit over all entries.
        :param tokens: estimated tokens, prompt and answer.
        :param now: seconds on the monotonic clock.
        :returns: the verdict.
        """
        self._sweep(now)
        self._share.note_demand(customer, now)
        local = self._take_share(customer, limit, now)
        usage = self._usages.get(customer)
        if usage is None:
            usage = _Usage(local, self._settings.burst_seconds, now)
            self._usages[customer] = usage
        usage.change_limit(local, now)
        refusal = self._refuse(usage, local, tokens, now)
        if refusal:
            return refusal
        usage.running += 1
        usage.requests.take(1)
        usage.tokens.take(tokens)
        return Admitted()

    def release(
        self, customer: str, estimated: float, used: float, now: float
    ) -> None:
        """Count the end of an admitted request.

        :param customer: name of the customer.
        :param estimated: tokens that it was admitted with.
        :param used: tokens that it used; the difference is made up.
        :param now: seconds on the monotonic clock.
        """
        usage = self._usages.get(customer)
        if usage:
            usage.running = max(0, usage.running - 1)
            usage.tokens.take(used - estimated)
            usage.seen_at = now

    def _take_share(self, customer: str, limit: Limit, now: float) -> Limit:
        share = self._share.fraction(customer, now)
        # A share below one request at once would lock a small customer out
        # of this entry for good; one at a time is the least that serves.
        return Limit(
            limit.requests * share,
            limit.tokens * share,
            max(1, int(limit.concurrency * share))
            if isfinite(limit.concurrency)
            else inf,
            burst=None if limit.burst is None else limit.burst * share,
        )

    def _refuse(
        self, usage: _Usage, local: Limit, tokens: float, now: float
    ) -> Refused | None:
        longest = self._settings.longest_wait_seconds
        if usage.running >= local.concurrency:
            least = self._settings.retry_after_seconds
            return Refused(ConcurrencyExceeded(local.concurrency), least)
        wait = usage.requests.wait_for(1, now)
        if wait:
            reason = RequestRateExceeded(local.requests)
            return Refused(reason, min(wait, longest))
        wait = usage.tokens.wait_for(tokens, now)
        if wait:
            return Refused(TokenRateExceeded(local.tokens), min(wait, longest))
        return None

    def _sweep(self, now: float) -> None:
        idle = self._settings.idle_seconds
        if now - self._swept_at < idle:
            return
        self._swept_at = now
        self._usages = {
            customer: usage
            for customer, usage in self._usages.items()
            if usage.running or now - usage.seen_at < idle
        }
