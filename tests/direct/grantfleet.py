"""Entries and agents that share a backend, replayed on a clock of their own."""

from __future__ import annotations

import bisect
import heapq
import itertools
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from ospreyford.direct.entryshare import EntryShare
from ospreyford.direct.requestslots import Moment, RequestSlots
from ospreyford.sendgrants.book import GrantBook
from ospreyford.sendgrants.bounds import FREE_FRACTION
from ospreyford.sendgrants.ledger import GrantOffice
from ospreyford.sendgrants.messages import SendingGrant, SendingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from ospreyford.rebalance.entrymessages import Address

BACKEND = 'b/1'
EPOCH = 1_800_000_000.0
SKEW_SECONDS = 0.05
MAX_LATENCY_SECONDS = 0.03
STEP_SECONDS = 0.01


class Event(NamedTuple):
    """An arrival; the number keeps the order of equal times."""

    at: float
    number: int
    handle: Callable[[float], None]


class Load(NamedTuple):
    """Who has callers, and what befalls whom.

    :param entries: number of entries.
    :param agents: number of agents.
    :param rate: requests per second that the backend takes.
    :param busy: entries with callers.
    :param loss: part of the datagrams that is lost.
    """

    entries: int
    rate: float
    busy: int
    agents: int = 8
    loss: float = 0


class ReplayedEntry:
    """An entry with more callers than the backend takes."""

    def __init__(self, fleet: GrantFleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.slots = RequestSlots('b')
        self.book = GrantBook()
        self.book.has_agents = True
        self.book.arbiters.update(fleet.agents)
        self.frozen_until = 0.0
        self.cut_from: set[Address] = set()
        self.waiting = 0
        self.inbox: list[tuple[SendingGrant, Address]] = []
        self.skew = fleet.random.uniform(-SKEW_SECONDS, SKEW_SECONDS)

    def step(self, now: float) -> None:
        if now < self.frozen_until:
            return
        for grant, agent in self.inbox:
            self.book.record_grant(grant, agent, now)
        self.inbox.clear()
        load = self.fleet.load
        wanted = max(int(load.rate), 2)
        self.book.join(BACKEND, wanted - self.waiting)
        self.waiting = wanted
        question = self.book.ask(BACKEND, load.rate, now)
        if question is not None and question.agent not in self.cut_from:
            self.fleet.send(self, question.agent, question.message)
        while self.book.take(BACKEND, now) is not None:
            self.fleet.sent.append(now)
        share = EntryShare(load.entries, self.number / load.entries)
        moment = Moment(now, EPOCH + now + self.skew)
        if self.slots.find_next(FREE_FRACTION * load.rate, share, moment) <= (
            now
        ):
            self.slots.take(now)
            self.fleet.sent.append(now)


class GrantFleet:
    """Entries, agents and the datagrams between them."""

    def __init__(self, load: Load, seed: int = 1) -> None:
        self.load = load
        self.random = Random(seed)
        self.now = 100.0
        self.sent: list[float] = []
        self.agents = {(f'10.0.0.{one}', 7) for one in range(load.agents)}
        self.offices = {agent: GrantOffice(0) for agent in self.agents}
        self.frozen: dict[Address, float] = {}
        self.entries = [
            ReplayedEntry(self, number) for number in range(load.entries)
        ]
        self._numbers = itertools.count()
        self._events: list[Event] = []

    def find_arbiter(self) -> Address:
        arbiter = self.entries[0].book.arbiters.find(BACKEND, self.now)
        assert arbiter is not None
        return arbiter.address

    def send(
        self, entry: ReplayedEntry, agent: Address, message: SendingRequest
    ) -> None:
        self._deliver(lambda now: self._grant(entry, agent, message, now))

    def run(
        self, seconds: float, befall: Callable[[], None] | None = None
    ) -> None:
        """Run, with a mishap in each second."""
        until = self.now + seconds
        next_mishap = self.now + 1
        while self.now < until:
            if befall is not None and self.now >= next_mishap:
                next_mishap += 1
                befall()
            while self._events and self._events[0].at <= self.now:
                heapq.heappop(self._events).handle(self.now)
            for entry in self.entries[: self.load.busy]:
                entry.step(self.now)
            self.now += STEP_SECONDS

    def restart_entry(self, number: int) -> None:
        self.entries[number] = ReplayedEntry(self, number)

    def restart_agent(self, agent: Address) -> None:
        self.offices[agent] = GrantOffice(self.now)

    def count_worst(self, window: float) -> int:
        sent = sorted(self.sent)
        return max(
            bisect.bisect_right(sent, at)
            - bisect.bisect_right(sent, at - window)
            for at in sent
        )

    def _deliver(self, handle: Callable[[float], None]) -> None:
        if self.random.random() < self.load.loss:
            return
        at = self.now + self.random.uniform(0, MAX_LATENCY_SECONDS)
        heapq.heappush(self._events, Event(at, next(self._numbers), handle))

    def _grant(
        self,
        entry: ReplayedEntry,
        agent: Address,
        message: SendingRequest,
        now: float,
    ) -> None:
        thaws_at = self.frozen.get(agent, 0)
        if now < thaws_at:
            # It waits in the agent's socket.
            event = Event(
                thaws_at,
                next(self._numbers),
                lambda at: self._grant(entry, agent, message, at),
            )
            heapq.heappush(self._events, event)
            return
        granted = self.offices[agent].grant(message, now)
        wait_ms = int(granted.wait_seconds * 1000) + 1
        reply = SendingGrant(message.number, granted.sendings, wait_ms)
        self._deliver(lambda _: entry.inbox.append((reply, agent)))
