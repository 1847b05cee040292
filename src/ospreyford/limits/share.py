"""Parts of customer limits, leased between entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ospreyford.limits.book import LeaseBook
from ospreyford.limits.homes import EntryMembers, Homes
from ospreyford.limits.messages import (
    Lease,
    LeaseAnswer,
    LeaseAsk,
    LeaseRequest,
)

if TYPE_CHECKING:
    from ospreyford.limits.settings import ShareSettings
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.peers import PeerPort

#: Topic of the askings between entries.
TOPIC = 'limit-lease'
#: Bytes that a message costs besides its body (frames, TCP and IP headers).
MESSAGE_BYTES = 90
#: Most bytes of one customer's part of a question, besides its name.
ITEM_BYTES = 18
#: Weight of the last period in the smoothed demand. Where a customer sends an
#: entry a request a second or less, a large weight makes its demand jump from
#: nothing to much and back: each lease is of the second before, the requests
#: come at other entries, and customers that came once count like steady ones
#: when the byte rate lets few be asked for.
DEMAND_WEIGHT = 0.1
#: Requests that a silent customer would have sent, from which on it is taken
#: for gone (were it not, so long a silence had a chance of 1 in 150). The
#: smoothed demand alone would hold on to its part for half a minute.
MISSED = 5
#: Smoothed demand, in requests a second, below which a customer is idle.
IDLE_DEMAND = 0.02


class EntryIdentity(NamedTuple):
    """Name of an entry, and the incarnation of its process."""

    name: str
    incarnation: str


class _Held(NamedTuple):
    """A lease in use."""

    fraction: float
    number: int
    home: str
    home_incarnation: str
    expires_at: float


class _Demand:
    """Requests of one customer at this entry."""

    def __init__(self, now: float) -> None:
        self.count = 0
        self.rate: float = 0
        self.silent: float = 0
        self.asked_at = now

    def roll(self, period: float) -> None:
        newest = self.count / period
        self.rate += DEMAND_WEIGHT * (newest - self.rate)
        self.silent = 0 if self.count else self.silent + period
        self.count = 0

    def is_over(self) -> bool:
        missed = self.rate * self.silent
        return self.rate < IDLE_DEMAND or missed > MISSED

    def urgency(self, now: float) -> float:
        return self.rate * (now - self.asked_at)


class _Group:
    """Active customers of one home entry."""

    def __init__(self, home: str) -> None:
        self.home = home
        self.customers: list[str] = []


class LimitShare:
    """Splits limits between entries without a store.

    A reserved part of each limit is always split evenly. The rest is leased
    by demand from the customer's home entry, found by rendezvous hash over
    the live entries. Only customers with recent requests cost anything.

    :param settings: see :class:`ShareSettings`.
    :param me: name and incarnation of this entry.
    :param peers: question and answer between entries.
    :param members: the entries that are live and known.
    :param clock: time.
    """

    def __init__(
        self,
        settings: ShareSettings,
        me: EntryIdentity,
        peers: PeerPort,
        members: EntryMembers,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._me = me
        self._peers = peers
        self._clock = clock
        self._homes = Homes(me.name, members, settings, clock.monotonic())
        self._book = LeaseBook(settings.lease_seconds)
        self._held: dict[str, _Held] = {}
        self._demands: dict[str, _Demand] = {}
        peers.serve(TOPIC, self._answer)

    def fraction(self, customer: str, now: float) -> float:
        """Tell what part of a customer's limit this entry may use.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        :returns: fraction, 0 to 1.
        """
        known = self._homes.known
        if known == 1:
            return 1
        held = self._held.get(customer)
        leased = held.fraction if held and now < held.expires_at else 0
        return min(1, self._settings.reserved / known + leased)

    def note_demand(self, customer: str, now: float) -> None:
        """Count a request, admitted or not.

        :param customer: name of the customer.
        :param now: seconds on the monotonic clock.
        """
        demand = self._demands.get(customer)
        if demand is None:
            demand = _Demand(now)
            self._demands[customer] = demand
        demand.count += 1

    async def run(self) -> None:
        """Renew leases for ever."""
        while True:
            await self._clock.sleep(self._settings.period_seconds)
            await self.renew()

    async def renew(self) -> None:
        """Ask the home of every active customer once, most urgent first."""
        now = self._clock.monotonic()
        self._homes.follow(now)
        self._book.prune(now)
        self._roll(now)
        period = self._settings.period_seconds
        rate = self._settings.bytes_per_second
        groups = self._plan(rate * period, now)
        while groups:
            await self._ask(groups.pop())

    def _roll(self, now: float) -> None:
        for customer, demand in tuple(self._demands.items()):
            demand.roll(self._settings.period_seconds)
            if demand.is_over():
                self._demands.pop(customer)
        self._held = {
            name: held
            for name, held in self._held.items()
            if now < held.expires_at
        }

    def _plan(self, allowance: float, now: float) -> list[_Group]:
        """Group the customers by home, most urgent first.

        Beyond the allowance the rest keep to the reserved part until a
        later period: thousands of active customers would otherwise take
        more than the control budget.
        """
        groups: dict[str, _Group] = {}
        by_urgency = sorted(
            self._demands.items(),
            key=lambda pair: pair[1].urgency(now),
            reverse=True,
        )
        for customer, _ in by_urgency:
            home = self._homes.find(customer)
            if home != self._me.name:
                allowance -= ITEM_BYTES + len(customer.encode())
                allowance -= 0 if home in groups else MESSAGE_BYTES
            if allowance < 0:
                break
            group = groups.setdefault(home, _Group(home))
            group.customers.append(customer)
        return list(groups.values())

    async def _ask(self, group: _Group) -> None:
        address = self._homes.address(group.home)
        # The lease counts from before the question leaves: at the home it
        # counts from later, so it is over here before it is over there.
        sent_at = self._clock.monotonic()
        body = msgspec.msgpack.encode(self._compose(group, sent_at))
        answer = None
        if group.home == self._me.name:
            answer = await self._answer(body)
        elif address:
            timeout = self._settings.ask_timeout_seconds
            answer = await self._peers.ask(address, TOPIC, body, timeout)
        if answer is not None:
            self._take_over(group.home, answer, sent_at)

    def _compose(self, group: _Group, now: float) -> LeaseAsk:
        incarnation = ''
        requests = []
        for customer in group.customers:
            demand = self._demands[customer]
            demand.asked_at = now
            held = self._held.get(customer)
            number = 0
            if held and held.home == group.home:
                incarnation = held.home_incarnation
                number = held.number
            requests.append(LeaseRequest(customer, demand.rate, number))
        return LeaseAsk(self._me.name, incarnation, requests)

    def _take_over(self, home: str, body: bytes, sent_at: float) -> None:
        try:
            answer = msgspec.msgpack.decode(body, type=LeaseAnswer)
        except msgspec.MsgspecError:
            return
        expires_at = sent_at + self._settings.lease_seconds
        for lease in answer.leases:
            self._held[lease.customer] = _Held(
                lease.fraction,
                lease.number,
                home,
                answer.home_incarnation,
                expires_at,
            )

    async def _answer(self, body: bytes) -> bytes | None:
        try:
            ask = msgspec.msgpack.decode(body, type=LeaseAsk)
        except msgspec.MsgspecError:
            return None
        now = self._clock.monotonic()
        self._homes.follow(now)
        if ask.home_incarnation != self._me.incarnation:
            ask = _disown(ask)
        granted = (self._grant(ask.entry, one, now) for one in ask.requests)
        leases = [lease for lease in granted if lease]
        answer = LeaseAnswer(self._me.incarnation, leases)
        return msgspec.msgpack.encode(answer)

    def _grant(
        self, entry: str, request: LeaseRequest, now: float
    ) -> Lease | None:
        lendable = self._homes.lendable(request.customer, now)
        if not lendable:
            return None
        bound = lendable * (1 - self._settings.reserved)
        return self._book.grant(entry, request, bound, now)


def _disown(ask: LeaseAsk) -> LeaseAsk:
    """Strip the numbers of leases that this process did not grant."""
    requests = [
        LeaseRequest(request.customer, request.demand, 0)
        for request in ask.requests
    ]
    return LeaseAsk(ask.entry, '', requests)
