"""Entries and agents of the real code around a faulty network."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import curio

from ospreyford.agent.load import LoadMeter
from ospreyford.agent.record import ExecutionRecord
from ospreyford.agent.runner import Runner
from ospreyford.agent.service import AgentService
from ospreyford.agent.settings import RecordSettings, ServiceSettings
from ospreyford.entry.call import Call, Plan, RetryPolicy
from ospreyford.entry.directory import FleetDirectory
from ospreyford.entry.dispatcher import Dispatcher
from ospreyford.entry.homes import Home
from ospreyford.entry.outcome import Outcome
from ospreyford.entry.requestqueue import RequestQueue
from ospreyford.entry.sender import AttemptDependencies
from ospreyford.entry.settings import AttemptSettings, RequestSettings
from ospreyford.entry.sink import CallerDisconnected
from ospreyford.http.message import Headers
from ospreyford.http.server import listen, port_of
from ospreyford.limits.limit import Limit
from ospreyford.limits.settings import QueueSettings
from ospreyford.observability.metrics import Metrics
from ospreyford.observability.spans import Tracer
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import Host
from ospreyford.routing.budget import Allowance
from ospreyford.routing.query import Attempt, Priority
from ospreyford.routing.query import Identity as RouterIdentity
from ospreyford.routing.query import Outcome as RoutingOutcome
from ospreyford.routing.router import Router
from ospreyford.routing.settings import RoutingSettings
from ospreyford.settings.sections import Identity, Traces
from ospreyford.wire.ids import create_id, read_timestamp_ms
from ospreyford.wire.pool import ConnectionPool, PoolSettings
from tests.faults.backend import FakeBackend
from tests.faults.network import Fault, FaultyNetwork

TIMES = AttemptSettings(
    beat_seconds=0.05,
    silence_seconds=0.2,
    recovery_seconds=0.8,
    switch_seconds=0.15,
    reconnect_seconds=0.02,
)
AGENT_TIMES = ServiceSettings(
    beat_seconds=0.05,
    silence_seconds=0.3,
    idle_seconds=5,
    orphan_seconds=0.3,
)
RECORD = RecordSettings(skew_seconds=0.01)
TRACER = Tracer(
    Traces(max_spans=1),
    Identity(name='rig', instance='i', zone='z', region='r'),
)
POOL = PoolSettings(connect_seconds=0.15)
NO_EXTRAS = RetryPolicy()
REQUESTS = RequestSettings()


@dataclass
class CollectingSink:
    """A caller that notes what it was sent."""

    status: int = 0
    body: bytes = b''
    whole: bool = False
    gone: bool = False

    async def begin(self, status: int, headers: Headers) -> None:
        assert not self.status, 'two heads for one caller'
        self.status = status

    async def relay(self, content: bytes) -> None:
        if self.gone:
            raise CallerDisconnected
        self.body += content

    async def finish(self) -> None:
        self.whole = True

    async def flush(self, timeout_seconds: float) -> bool:
        if self.gone:
            raise CallerDisconnected
        return True

    def is_abandoned(self) -> bool:
        return self.gone


class RecordingRouter(Router):
    """Notes what it is told of attempts."""

    def __init__(self, seed: int) -> None:
        me = RouterIdentity('e', 'z', 'r')
        super().__init__(RoutingSettings(), me, random.Random(seed))
        self.sent: list[tuple[str, Attempt]] = []
        self.finished: list[tuple[str, RoutingOutcome]] = []

    def record_sent(
        self,
        name: str,
        now: float,
        attempt: Attempt = Attempt.first,
        allowance: Allowance | None = None,
    ) -> None:
        self.sent.append((name, attempt))
        super().record_sent(name, now, attempt, allowance)

    def record_finished(
        self, name: str, outcome: RoutingOutcome, seconds: float, now: float
    ) -> None:
        self.finished.append((name, outcome))
        super().record_finished(name, outcome, seconds, now)


class RunningAgent:
    """One agent in this kernel; ``restart`` gives it a new life."""

    def __init__(self, name: str, faults: list[Fault]) -> None:
        self.name = name
        self.backend = FakeBackend()
        self.clock = SystemClock()
        self.sock: Any = None
        self.port = 0
        self.record: ExecutionRecord | None = None
        self._tasks: list[Any] = []
        self._lock = curio.Lock()
        self.sessions: list[Any] = []
        self.network = FaultyNetwork(0, faults)
        self.network.kill = self.die

    async def die(self, replaced: bool) -> None:
        """Be killed, perhaps with a new life after it."""
        async with self._lock:
            await self.kill()
            if replaced:
                await self.start()

    async def start(self) -> None:
        """Begin a life on a port of its own."""
        # Unique over all rigs: a freed port may be another rig's next.
        incarnation = create_id()
        self.record = ExecutionRecord(RECORD, incarnation, self.clock)
        meter = LoadMeter(self.record, self.backend, self.clock)
        runner = Runner(
            AGENT_TIMES, self.record, self.backend, meter, self.clock, TRACER
        )
        service = AgentService(
            self.name, AGENT_TIMES, self.record, runner, meter, self.clock
        )
        self.sock = listen(self.network.address, 0)
        self.network.upstream = port_of(self.sock)
        self._tasks.append(await curio.spawn(self._accept, self.sock, service))
        self._tasks.append(await curio.spawn(service.run_sweeps))

    async def kill(self) -> None:
        """End this life at once, with what it remembered."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()
        await self.sock.close()
        if self.record is not None:
            for execution in self.record.table.list_running():
                if execution.task:
                    await execution.task.cancel()

    async def _accept(self, sock: Any, service: AgentService) -> None:
        tasks: list[Any] = []
        self.sessions = tasks
        try:
            while True:
                client, _ = await sock.accept()
                tasks.append(await curio.spawn(service.serve, client))
        finally:
            for task in tasks:
                await task.cancel()

    def count_connections(self) -> int:
        """Count the connections that are open at this agent."""
        return sum(not task.terminated for task in self.sessions)

    def count_running(self) -> int:
        """Count the requests that the back end works at."""
        assert self.record is not None
        return len(list(self.record.table.list_running()))

    @property
    def host(self) -> Host:
        """The host as the host list shows it."""
        port = self.network.port
        address = f'{self.network.address}:{port}'
        return Host(
            self.name, 'i', 'backend', 'z', 'r', 'svc', address, address
        )


class Rig:
    """Agents behind faulty networks, and any number of entries.

    :param faults: what goes wrong on the way to each agent.
    """

    def __init__(self, *faults: list[Fault]) -> None:
        self.agents = [
            RunningAgent(f'server-{number}', each)
            for number, each in enumerate(faults)
        ]
        self.directory = FleetDirectory()
        # Of the entry made last.
        self.router = RecordingRouter(1)
        self.metrics = Metrics()
        self.room = RequestQueue(QueueSettings(), SystemClock())
        self._tasks: list[Any] = []

    async def __aenter__(self) -> Rig:
        for agent in self.agents:
            await agent.start()
            self._tasks.append(await curio.spawn(agent.network.run))
            self.directory.hosts[agent.name] = agent.host
        # Keys dated before an agent's life are refused.
        await curio.sleep(2 * RECORD.skew_seconds)
        return self

    async def __aexit__(self, *_: object) -> None:
        for agent in self.agents:
            # The network first: a kill under way must not overlap this one.
            await agent.network.stop()
            await agent.die(replaced=False)
        for task in self._tasks:
            await task.cancel()

    @property
    def plan(self) -> Plan:
        """Every agent may serve, and every one is a home."""
        return Plan(
            pools=(tuple(self.directory.hosts.values()),),
            limit=Limit(),
            priority=Priority.normal,
            engine_priority=5,
            version=None,
            adapter=None,
            homes=tuple(Home(agent.name) for agent in self.agents),
            caches_prefixes=False,
        )

    def make_entry(
        self, seed: int = 1, requests: RequestSettings = REQUESTS
    ) -> Dispatcher:
        """Make an entry that shares nothing with any other."""
        clock = SystemClock()
        self.router = RecordingRouter(seed)
        self.metrics = Metrics()
        self.room = RequestQueue(QueueSettings(), clock)
        wiring = AttemptDependencies(
            TIMES,
            self.router,
            ConnectionPool(POOL, clock),
            clock,
            self.metrics.requests,
            self.room,
        )
        return Dispatcher(requests, wiring, self.directory)

    def count_runs(self, tag: bytes) -> int:
        """Count the runs of a request over all back ends."""
        return sum(agent.backend.journal[tag] for agent in self.agents)


def make_call(
    tag: bytes, *, idempotent: bool, key: str = '', seconds: float = 3
) -> Call:
    """Make an admitted call whose body is its tag."""
    request_id = create_id()
    return Call(
        request_id=request_id,
        customer='c',
        service='svc',
        deadline=SystemClock().monotonic() + seconds,
        idempotent=idempotent,
        key=key,
        dated=read_timestamp_ms(key or request_id) or 0,
        method='POST',
        target='/quotes',
        headers=((b'x-request-id', request_id.encode()), (b'host', b'b')),
        body=tag,
        prefix_hash=None,
        estimated_tokens=1,
        trace=None,
        attempted_backends=[],
    )


async def send(
    rig: Rig, entry: Dispatcher, call: Call, extras: RetryPolicy = NO_EXTRAS
) -> tuple[Outcome, CollectingSink]:
    """Send a call through an entry."""
    sink = CollectingSink()
    plan = rig.plan._replace(retry_policy=extras)
    return await entry.dispatch(call, plan, sink), sink
