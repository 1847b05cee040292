"""Sharing of customer limits between entries by leases."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ospreyford.limits.leases import LeaseTable
from ospreyford.limits.messages import (
    Lease,
    LeaseQuery,
    LeaseRequest,
    LeaseResponse,
)
from ospreyford.limits.owners import EntryMembers, OwnerDirectory

if TYPE_CHECKING:
    from ospreyford.limits.settings import ShareSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.peers import PeerPort

#: Topic of lease queries between entries.
TOPIC = 'limit-lease'
#: Overhead of a message (frames, TCP and IP headers).
MESSAGE_OVERHEAD_BYTES = 90
#: Upper bound on the size of a lease request, without the customer's name.
MAX_ITEM_BYTES = 18
#: Weight of the last period in the mean demand (EWMA).
DEMAND_SMOOTHING_FACTOR = 0.1
#: Expected but missing requests after which a customer counts as idle.
MAX_MISSED_REQUESTS = 5
#: Mean demand below which a customer counts as idle.
IDLE_REQUESTS_PER_SECOND = 0.02


class EntryIdentity(NamedTuple):
    """Name of an entry and incarnation of its process."""

    name: str
    incarnation: str


class _HeldLease(NamedTuple):
    """Lease held by this entry."""

    fraction: float
    number: int
    owner: str
    owner_incarnation: str
    expires_at: float


class _Demand:
    """Demand of one customer at this entry."""

    def __init__(self, now: float) -> None:
        self.count = 0
        self.rate: float = 0
        self.silent_seconds: float = 0
        self.requested_at = now

    def close_period(self, period: float) -> None:
        newest = self.count / period
        self.rate += DEMAND_SMOOTHING_FACTOR * (newest - self.rate)
        self.silent_seconds = 0 if self.count else self.silent_seconds + period
        self.count = 0

    def is_idle(self) -> bool:
        missed = self.rate * self.silent_seconds
        return (
            self.rate < IDLE_REQUESTS_PER_SECOND or missed > MAX_MISSED_REQUESTS
        )

    def compute_urgency(self, now: float) -> float:
        return self.rate * (now - self.requested_at)


class _OwnerGroup:
    """Active customers whose limits one entry owns."""

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.customers: list[str] = []


class LimitShare:
    """Splits limits between entries without shared storage.

    A reserved part of each limit is split evenly. The rest is leased by demand
    from the customer's owner, chosen by rendezvous hashing over live entries.

    :param settings: see :class:`ShareSettings`.
    :param identity: name and incarnation of this entry.
    :param peers: request-response messaging between entries.
    :param members: source of the entry view.
    :param clock: the clock.
    """

    def __init__(
        self,
        settings: ShareSettings,
        identity: EntryIdentity,
        peers: PeerPort,
        members: EntryMembers,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._peers = peers
        self._clock = clock
        self._owners = OwnerDirectory(
            identity.name, members, settings, clock.monotonic()
        )
        self._granted = LeaseTable(settings.lease_seconds)
        self._held: dict[str, _HeldLease] = {}
        self._demands: dict[str, _Demand] = {}
        peers.serve(TOPIC, self._handle_query)

    def get_fraction(self, customer: str, now: float) -> float:
        """Get the fraction of a customer's limit that this entry may use.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        :returns: fraction, 0 to 1.
        """
        entries = self._owners.known_entries
        if entries == 1:
            return 1
        held = self._held.get(customer)
        leased = held.fraction if held and now < held.expires_at else 0
        return min(1, self._settings.reserved / entries + leased)

    def record_demand(self, customer: str, now: float) -> None:
        """Record a request, admitted or not.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        """
        demand = self._demands.get(customer)
        if demand is None:
            demand = _Demand(now)
            self._demands[customer] = demand
        demand.count += 1

    async def run(self) -> None:
        """Renew leases periodically."""
        while True:
            await self._clock.sleep(self._settings.period_seconds)
            await self.renew_leases()

    async def renew_leases(self) -> None:
        """Request leases for all active customers, within the byte budget."""
        now = self._clock.monotonic()
        self._owners.update(now)
        self._granted.prune(now)
        self._close_period(now)
        period = self._settings.period_seconds
        rate = self._settings.bytes_per_second
        groups = self._group_by_owner(rate * period, now)
        while groups:
            await self._request_leases(groups.pop())

    def _close_period(self, now: float) -> None:
        for customer, demand in tuple(self._demands.items()):
            demand.close_period(self._settings.period_seconds)
            if demand.is_idle():
                self._demands.pop(customer)
        self._held = {
            name: held
            for name, held in self._held.items()
            if now < held.expires_at
        }

    def _group_by_owner(
        self, byte_budget: float, now: float
    ) -> list[_OwnerGroup]:
        """Group the most urgent customers by owner, within the byte budget."""
        groups: dict[str, _OwnerGroup] = {}
        by_urgency = sorted(
            self._demands.items(),
            key=lambda pair: pair[1].compute_urgency(now),
            reverse=True,
        )
        for customer, _ in by_urgency:
            owner = self._owners.find_owner(customer)
            if owner != self._identity.name:
                byte_budget -= MAX_ITEM_BYTES + len(customer.encode())
                byte_budget -= 0 if owner in groups else MESSAGE_OVERHEAD_BYTES
            if byte_budget < 0:
                break
            group = groups.setdefault(owner, _OwnerGroup(owner))
            group.customers.append(customer)
        return list(groups.values())

    async def _request_leases(self, group: _OwnerGroup) -> None:
        address = self._owners.get_address(group.owner)
        # Counting from before the query is sent makes the lease expire here
        # before it expires at the owner.
        requested_at = self._clock.monotonic()
        body = msgspec.msgpack.encode(self._build_query(group, requested_at))
        response = None
        if group.owner == self._identity.name:
            response = await self._handle_query(body)
        elif address:
            timeout = self._settings.ask_timeout_seconds
            response = await self._peers.ask(address, TOPIC, body, timeout)
        if response is not None:
            self._store_leases(group.owner, response, requested_at)

    def _build_query(self, group: _OwnerGroup, now: float) -> LeaseQuery:
        incarnation = ''
        requests = []
        for customer in group.customers:
            demand = self._demands[customer]
            demand.requested_at = now
            held = self._held.get(customer)
            number = 0
            if held and held.owner == group.owner:
                incarnation = held.owner_incarnation
                number = held.number
            requests.append(LeaseRequest(customer, demand.rate, number))
        return LeaseQuery(self._identity.name, incarnation, requests)

    def _store_leases(
        self, owner: str, body: bytes, requested_at: float
    ) -> None:
        try:
            response = msgspec.msgpack.decode(body, type=LeaseResponse)
        except msgspec.MsgspecError:
            return
        expires_at = requested_at + self._settings.lease_seconds
        for lease in response.leases:
            self._held[lease.customer] = _HeldLease(
                lease.fraction,
                lease.number,
                owner,
                response.owner_incarnation,
                expires_at,
            )

    async def _handle_query(self, body: bytes) -> bytes | None:
        try:
            query = msgspec.msgpack.decode(body, type=LeaseQuery)
        except msgspec.MsgspecError:
            return None
        now = self._clock.monotonic()
        self._owners.update(now)
        if query.owner_incarnation != self._identity.incarnation:
            query = _clear_held_numbers(query)
        granted = (
            self._grant(query.entry, request, now) for request in query.requests
        )
        leases = [lease for lease in granted if lease]
        response = LeaseResponse(self._identity.incarnation, leases)
        return msgspec.msgpack.encode(response)

    def _grant(
        self, entry: str, request: LeaseRequest, now: float
    ) -> Lease | None:
        grantable = self._owners.compute_grantable_fraction(
            request.customer, now
        )
        if not grantable:
            return None
        bound = grantable * (1 - self._settings.reserved)
        return self._granted.grant(entry, request, bound, now)


def _clear_held_numbers(query: LeaseQuery) -> LeaseQuery:
    """Clear the lease numbers of another incarnation of this owner."""
    requests = [
        LeaseRequest(request.customer, request.demand, 0)
        for request in query.requests
    ]
    return LeaseQuery(query.entry, '', requests)
