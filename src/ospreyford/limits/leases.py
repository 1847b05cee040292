"""Leases granted by the owner of a customer's limit."""

from __future__ import annotations

from typing import NamedTuple

from ospreyford.limits.messages import Lease, LeaseRequest


class _Grant(NamedTuple):
    number: int
    fraction: float
    expires_at: float


class _Holder:
    """Grants of one customer's limit to one entry."""

    def __init__(self) -> None:
        self.demand: float = 0
        self.grants: list[_Grant] = []

    def prune(self, held_number: int, now: float) -> None:
        self.grants = [
            grant
            for grant in self.grants
            if grant.number >= held_number and grant.expires_at > now
        ]

    def compute_outstanding(self) -> float:
        # The last response may have been lost: until the entry acknowledges a
        # lease, the largest unexpired grant counts.
        return max((grant.fraction for grant in self.grants), default=0)


class LeaseTable:
    """Grants leases on limits whose fractions never sum to more than a bound.

    :param lease_seconds: duration of a lease.
    """

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self._holders: dict[str, dict[str, _Holder]] = {}
        self._last_number = 0

    def grant(
        self, entry: str, request: LeaseRequest, bound: float, now: float
    ) -> Lease:
        """Grant a lease in proportion to the entry's demand.

        :param entry: the requesting entry.
        :param request: the entry's request.
        :param bound: upper bound on the sum of the customer's leases.
        :param now: seconds on the monotonic clock.
        :returns: the lease; its fraction may be 0.
        """
        holders = self._holders.setdefault(request.customer, {})
        holder = holders.setdefault(entry, _Holder())
        holder.demand = request.demand
        holder.prune(request.held_number, now)
        total_demand: float = 0
        granted_to_others: float = 0
        for other_holder in holders.values():
            other_holder.prune(0, now)
            if other_holder is holder:
                total_demand += other_holder.demand
            elif other_holder.grants:
                total_demand += other_holder.demand
                granted_to_others += other_holder.compute_outstanding()
        requested_fraction = (
            bound * request.demand / total_demand if total_demand else 0
        )
        fraction = max(0, min(requested_fraction, bound - granted_to_others))
        self._last_number += 1
        expires_at = now + self._lease_seconds
        holder.grants.append(_Grant(self._last_number, fraction, expires_at))
        return Lease(request.customer, fraction, self._last_number)

    def prune(self, now: float) -> None:
        """Remove expired leases.

        :param now: seconds on the monotonic clock.
        """
        for customer, holders in tuple(self._holders.items()):
            for entry, holder in tuple(holders.items()):
                holder.prune(0, now)
                if not holder.grants:
                    holders.pop(entry)
            if not holders:
                self._holders.pop(customer)
