"""Agents of fake groups, each running in its own thread."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from threading import Event, RLock, Thread
from typing import Any, NamedTuple

import curio

from ospreyford.direct.catalog import Engine as Figures
from ospreyford.ports.clock import SystemClock
from ospreyford.rebalance.agent import RankAgent
from ospreyford.rebalance.agentports import AgentPorts
from ospreyford.rebalance.decisions import CoordinatorChanged
from ospreyford.rebalance.group import Guard, Order, RankExperts, RankState
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.settings import AgentSettings
from tests.direct.backends import RecordingLog
from tests.rebalance.fakeentry import FakeEntry
from tests.rebalance.fakegroup import FakeGroup

SIZE = 3
PASS_INTERVAL_SECONDS = 0.01
ORDER_REPLY_SECONDS = 0.01
#: Reached only on failure.
TIMEOUT_SECONDS = 20.0
FIGURES = Figures(8, 1, SIZE, 2, 1, 0.01, 0.01)
OrderObserver = Callable[[int, Order], None]


def wait_until(condition: Callable[[], bool]) -> bool:
    """Wait for a condition of agents in other threads."""
    until = time.monotonic() + TIMEOUT_SECONDS
    while not condition() and time.monotonic() < until:
        time.sleep(0.005)
    return condition()


def ignore_order(rank: int, order: Order) -> None:
    """Ignore the order."""


class Seat(NamedTuple):
    """The rank on a host."""

    group: FakeGroup
    rank: int


class GivenOrder(NamedTuple):
    """An order that a rank was given, with the group of the rank."""

    group: str
    rank: int
    token: int
    reply: Reply


@dataclass
class Engine:
    """Engine of a rank whose requests mostly choose the first expert."""

    cluster: Cluster
    host: str
    is_near: bool = True

    async def read_state(self) -> RankState | None:
        with self.cluster.lock:
            seat = self.cluster.seats.get(self.host)
            if seat is None:
                return None
            return seat.group.read_state(seat.rank)._replace(active=4)

    async def read_counts(self) -> tuple[int, ...] | None:
        with self.cluster.lock:
            group, _ = self.cluster.seats[self.host]
        others = [group.step * 10] * (group.size - 1)
        return (group.step * 100, *others)

    async def read_experts(self) -> RankExperts | None:
        with self.cluster.lock:
            group, rank = self.cluster.seats[self.host]
            experts = group.ranks[rank].experts
        return tuple(of_set[rank] for of_set in experts)

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        with self.cluster.lock:
            group, rank = self.cluster.seats[self.host]
            self.cluster.submitted.append((rank, order, self.is_near))
            reply = group.execute(rank, order, guard)
            self.cluster.given.append(
                GivenOrder(group.name, rank, guard.token, reply)
            )
        self.cluster.observe_order(rank, order)
        # The reply is in flight.
        await curio.sleep(ORDER_REPLY_SECONDS)
        return reply


class Stop:
    """Graceful or sudden stop, requested from another thread."""

    def __init__(self) -> None:
        self.requested = curio.UniversalEvent()
        self.killed = curio.UniversalEvent()
        self.deadline = 8.0

    async def run(self, agent: RankAgent) -> None:
        """Run an agent until it has stopped, or is killed."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(agent.run, self)
            await tasks.spawn(self.killed.wait)


@dataclass
class Cluster:
    """Groups that run passes, with an agent beside each rank."""

    groups: list[FakeGroup] = field(default_factory=lambda: [FakeGroup(SIZE)])
    #: Hosts whose agents don't run, as positions in the order of the groups.
    absent: tuple[int, ...] = ()
    #: Services by the position of the group.
    services: tuple[str, ...] = ('s', 's', 's')
    lock: Any = field(default_factory=RLock)
    submitted: list[tuple[int, Order, bool]] = field(default_factory=list)
    given: list[GivenOrder] = field(default_factory=list)
    observe_order: OrderObserver = ignore_order
    seats: dict[str, Seat] = field(default_factory=dict)
    lines: list[RecordingLog] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    agents: list[RankAgent] = field(default_factory=list)
    threads: list[Thread] = field(default_factory=list)
    failures: list[Exception] = field(default_factory=list)
    finished: Event = field(default_factory=Event)
    port: int = 0

    def __post_init__(self) -> None:
        services = {}
        for group, service in zip(self.groups, self.services, strict=False):
            for rank in range(group.size):
                host = make_host(len(self.seats))
                self.seats[host] = Seat(group, rank)
                services[host] = service
        self.entry = FakeEntry(services, FIGURES)

    def start(self) -> None:
        """Start the passes, the agents, and an entry that sends hellos."""
        self.port = find_port()
        for number, host in enumerate(self.seats):
            self._start_agent(host, is_away=number in self.absent)
        Thread(target=self._run_passes, daemon=True).start()
        Thread(
            target=self.entry.run, args=(self.finished, self.port), daemon=True
        ).start()

    def stop(self, number: int) -> None:
        """Request an agent to stop without waiting."""
        self.stops[number].requested.set()

    def kill(self, number: int) -> None:
        """End an agent without a chance to leave."""
        self.stops[number].killed.set()

    def shut_down(self) -> None:
        """Stop all threads."""
        self.observe_order = ignore_order
        for number, thread in enumerate(self.threads):
            self.stop(number)
            if thread.is_alive():
                thread.join(TIMEOUT_SECONDS)
        self.finished.set()

    def seat(self, *changes: tuple[FakeGroup, tuple[int, ...]]) -> None:
        """Form groups anew.

        :param changes: groups, and for each of its ranks the number of the
            host.
        """
        with self.lock:
            for group, hosts in changes:
                group.reopen(len(hosts))
                for rank, number in enumerate(hosts):
                    self.seats[make_host(number)] = Seat(group, rank)
                if hosts and group not in self.groups:
                    self.groups.append(group)

    def list_held(self) -> list[int]:
        """List the ranks that hold a pass."""
        with self.lock:
            return [one.number for one in self._list_ranks() if one.held]

    def list_armed(self) -> list[int]:
        """List the ranks that are armed."""
        with self.lock:
            return [one.number for one in self._list_ranks() if one.armed]

    def find_lines(self, kind: type) -> list[Any]:
        """Find the lines of a kind in the logs of all agents."""
        return [one for log in self.lines for one in log.find(kind)]

    def list_strayed_orders(self) -> list[GivenOrder]:
        """List the orders that did not come from the rank's own group."""
        groups: dict[int, set[str]] = {}
        for line in self.find_lines(CoordinatorChanged):
            groups.setdefault(line.token, set()).add(line.group)
        return [
            one
            for one in tuple(self.given)
            if one.group not in groups.get(one.token, ())
        ]

    def _list_ranks(self) -> list[Any]:
        return [one for group in self.groups for one in group.ranks]

    def _start_agent(self, host: str, *, is_away: bool) -> None:
        address = (host, self.port)
        settings = AgentSettings(host, 'z', 'r', (host, 1), address, 0, 8)
        lines, stop = RecordingLog(), Stop()
        outside = AgentPorts(
            Engine(self, host),
            self._connect,
            lines,  # type: ignore[arg-type]
            SystemClock(),
        )
        agent = RankAgent(settings, outside)
        thread = Thread(target=curio.run, args=(stop.run, agent), daemon=True)
        self.lines.append(lines)
        self.stops.append(stop)
        self.agents.append(agent)
        self.threads.append(thread)
        if not is_away:
            thread.start()

    def _connect(self, address: tuple[str, int]) -> Engine:
        return Engine(self, address[0], is_near=False)

    def _run_passes(self) -> None:
        while not self.finished.wait(PASS_INTERVAL_SECONDS):
            try:
                self._begin_passes()
            except Exception as error:
                self.failures.append(error)
                return

    def _begin_passes(self) -> None:
        with self.lock:
            for group in self.groups:
                group.begin_pass()


def make_host(number: int) -> str:
    """Make the address of a host."""
    return f'127.0.0.{number + 1}'


def find_port() -> int:
    """Find a free port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        port: int = sock.getsockname()[1]
        return port


@contextmanager
def run_cluster(
    make_observer: Callable[[Cluster], OrderObserver] | None = None,
    cluster: Cluster | None = None,
) -> Iterator[Cluster]:
    """Run groups and their agents.

    :param make_observer: returns a callback for each order given to a rank.
    :param cluster: the groups; by default one group.
    """
    cluster = cluster or Cluster()
    if make_observer is not None:
        cluster.observe_order = make_observer(cluster)
    cluster.start()
    try:
        yield cluster
    finally:
        cluster.shut_down()
    assert not cluster.failures
