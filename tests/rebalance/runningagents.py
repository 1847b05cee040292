"""Agents of a fake group, each running in its own thread."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from threading import Event, RLock, Thread
from typing import Any

import curio

from ospreyford.direct.catalog import Engine as Figures
from ospreyford.ports.clock import SystemClock
from ospreyford.rebalance.agent import RankAgent
from ospreyford.rebalance.agentports import AgentPorts
from ospreyford.rebalance.entrymessages import Hello
from ospreyford.rebalance.group import Guard, Order, RankExperts, RankState
from ospreyford.rebalance.messages import encode
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.settings import AgentSettings
from tests.direct.backends import RecordingLog
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


@dataclass
class Engine:
    """Engine of a rank whose requests mostly choose the first expert."""

    cluster: Cluster
    rank: int
    is_near: bool = True

    async def read_state(self) -> RankState | None:
        with self.cluster.lock:
            return self.cluster.group.read_state(self.rank)._replace(active=4)

    async def read_counts(self) -> tuple[int, ...] | None:
        step = self.cluster.group.step
        return (step * 100, step * 10, step * 10)

    async def read_experts(self) -> RankExperts | None:
        with self.cluster.lock:
            experts = self.cluster.group.ranks[self.rank].experts
        return tuple(of_set[self.rank] for of_set in experts)

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        self.cluster.submitted.append((self.rank, order, self.is_near))
        with self.cluster.lock:
            reply = self.cluster.group.execute(self.rank, order, guard)
        self.cluster.observe_order(self.rank, order)
        # The reply is in flight.
        await curio.sleep(ORDER_REPLY_SECONDS)
        return reply


class Stop:
    """Graceful stop, requested from another thread."""

    def __init__(self) -> None:
        self.requested = curio.UniversalEvent()
        self.deadline = 8.0


@dataclass
class Cluster:
    """A group that runs passes, with an agent beside each rank."""

    group: FakeGroup = field(default_factory=lambda: FakeGroup(SIZE))
    lock: Any = field(default_factory=RLock)
    submitted: list[tuple[int, Order, bool]] = field(default_factory=list)
    observe_order: OrderObserver = ignore_order
    lines: list[RecordingLog] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    agents: list[RankAgent] = field(default_factory=list)
    threads: list[Thread] = field(default_factory=list)
    failures: list[Exception] = field(default_factory=list)
    finished: Event = field(default_factory=Event)
    port: int = 0

    def start(self) -> None:
        """Start the passes, the agents, and an entry that sends hellos."""
        self.port = find_port()
        for rank in range(SIZE):
            self._start_agent(rank)
        Thread(target=self._run_passes, daemon=True).start()
        Thread(target=self._send_hellos, daemon=True).start()

    def stop(self, rank: int) -> None:
        """Request an agent to stop without waiting."""
        self.stops[rank].requested.set()

    def shut_down(self) -> None:
        """Stop all threads."""
        self.observe_order = ignore_order
        for rank, thread in enumerate(self.threads):
            self.stop(rank)
            thread.join(TIMEOUT_SECONDS)
        self.finished.set()

    def list_held(self) -> list[int]:
        """List the ranks that hold a pass."""
        with self.lock:
            return [
                one.number for one in self.group.ranks if one.held is not None
            ]

    def list_armed(self) -> list[int]:
        """List the ranks that are armed."""
        with self.lock:
            return [one.number for one in self.group.ranks if one.armed]

    def _start_agent(self, rank: int) -> None:
        address = (f'127.0.0.{rank + 1}', self.port)
        settings = AgentSettings(
            f'n{rank}', 'z', 'r', (address[0], 1), address, 0, 8
        )
        lines, stop = RecordingLog(), Stop()
        outside = AgentPorts(
            Engine(self, rank),
            self._connect,
            lines,  # type: ignore[arg-type]
            SystemClock(),
        )
        agent = RankAgent(settings, outside)
        thread = Thread(target=curio.run, args=(agent.run, stop), daemon=True)
        self.lines.append(lines)
        self.stops.append(stop)
        self.agents.append(agent)
        self.threads.append(thread)
        thread.start()

    def _connect(self, address: tuple[str, int]) -> Engine:
        rank = int(address[0].rpartition('.')[2]) - 1
        return Engine(self, rank, is_near=False)

    def _run_passes(self) -> None:
        while not self.finished.wait(PASS_INTERVAL_SECONDS):
            try:
                with self.lock:
                    self.group.begin_pass()
            except Exception as error:
                self.failures.append(error)
                return

    def _send_hellos(self) -> None:
        members = tuple((f'127.0.0.{rank + 1}', 1) for rank in range(SIZE))
        hello = encode(Hello('e', 's', 1, members, FIGURES, 0.01, group='g'))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as entry:
            while not self.finished.wait(0.05):
                for host, _ in members:
                    entry.sendto(hello, (host, self.port))


def find_port() -> int:
    """Find a free port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        port: int = sock.getsockname()[1]
        return port


@contextmanager
def run_cluster(
    make_observer: Callable[[Cluster], OrderObserver],
) -> Iterator[Cluster]:
    """Run a group and its agents.

    :param make_observer: returns a callback for each order given to a rank.
    """
    cluster = Cluster()
    cluster.observe_order = make_observer(cluster)
    cluster.start()
    try:
        yield cluster
    finally:
        cluster.shut_down()
    assert not cluster.failures
