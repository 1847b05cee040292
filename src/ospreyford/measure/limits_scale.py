"""Shared limits where a customer's requests are thinly spread."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from ospreyford.limits.gate import LimitGate
from ospreyford.limits.limit import Admitted, Limit
from ospreyford.limits.settings import GateSettings
from ospreyford.measure.limits_model import Entry, Network, run_whole, show

#: Requests a second that an entry takes, of how many customers in all.
ENTRY_REQUESTS = 38
CUSTOMERS = 37_000
#: Customers that are watched: requests a second of the limit, and sent.
WATCHED = (
    (1_000, 900),
    (1_000, 2_000),
    (100, 90),
    (100, 400),
    (10, 9),
    (10, 40),
)
RESERVED = 0.2
COLD = 10
WARM = 30
SECONDS = 45
NOTICE_SECONDS = 2


class Customer(NamedTuple):
    """A watched customer, and what it sends and was admitted each second."""

    name: str
    limit: Limit
    sent: int
    admitted: list[int]


class Row(NamedTuple):
    """One row of the table, in parts of the least of limit and demand."""

    entries: int
    event: str
    limit: int
    sent: int
    first: float
    later: float
    most: float
    bytes_per_second: float


class Fleet:
    """Entries with gates, the watched customers and all others.

    :param size: entries.
    """

    def __init__(self, size: int) -> None:
        self.rng = Random(size)
        self.network = Network()
        numbers = range(size)
        self.names = tuple(f'entry-{number}' for number in numbers)
        self.cut = list(self.names[: size // 3])
        self.network.entries = {
            name: Entry(name, self.network, self.names, RESERVED)
            for name in self.names
        }
        entries = self.network.entries.values()
        settings = GateSettings()
        self.gates = [LimitGate(settings, entry.share) for entry in entries]
        self.customers = [
            Customer(f'watched-{limit}-{sent}', Limit(limit), sent, [])
            for limit, sent in WATCHED
        ]

    def step(self) -> None:
        """Let a second pass."""
        self._send_of_others()
        for customer in self.customers:
            self._send(customer)
        self.network.now += 1
        for entry in self.network.entries.values():
            run_whole(entry.share.renew_leases())

    def part(self) -> None:
        """Cut a third of the entries off."""
        for name in self.cut:
            self.network.entries[name].side = 1

    def notice(self) -> None:
        """Let the views tell of the cut."""
        show(self.network, self.cut)

    def _send_of_others(self) -> None:
        now = self.network.now
        for entry in self.network.entries.values():
            chosen = self.rng.choices(range(CUSTOMERS), k=ENTRY_REQUESTS)
            for number in chosen:
                entry.share.record_demand(f'customer-{number}', now)

    def _send(self, customer: Customer) -> None:
        admitted = 0
        offsets = sorted(self.rng.random() for _ in range(customer.sent))
        for offset in offsets:
            now = self.network.now + offset
            gate = self.rng.choice(self.gates)
            verdict = gate.admit(customer.name, customer.limit, 1, now)
            if isinstance(verdict, Admitted):
                gate.release(customer.name, 1, 1, now)
                admitted += 1
        customer.admitted.append(admitted)


def play_scale(size: int, event: str) -> list[Row]:
    """Play one event.

    :param size: entries.
    :param event: ``none`` or ``partition``.
    :returns: a row for each watched customer.
    """
    fleet = Fleet(size)
    for second in range(SECONDS):
        if event == 'partition' and second == WARM:
            fleet.part()
        if event == 'partition' and second == WARM + NOTICE_SECONDS:
            fleet.notice()
        fleet.step()
    rate = fleet.network.sent / SECONDS / size
    return [_judge(size, event, one, rate) for one in fleet.customers]


def _judge(size: int, event: str, customer: Customer, rate: float) -> Row:
    limit = int(customer.limit.requests)
    due = min(limit, customer.sent)
    counts = customer.admitted
    later = counts[WARM:]
    return Row(
        size,
        event,
        limit,
        customer.sent,
        sum(counts[:COLD]) / COLD / due,
        sum(later) / len(later) / due,
        max(later) / due,
        rate,
    )
