"""Simulation of processes, network and time."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ospreyford.membership.member import (
    Member,
    MemberState,
    generate_incarnation,
)
from ospreyford.membership.service import Membership
from ospreyford.membership.settings import MembershipSettings
from ospreyford.ports.fleet import Host, HostState
from ospreyford.ports.peers import Handler
from tests.fakes.stepping import SteppedTask, Stepper, park

SETTINGS = MembershipSettings(sync_seconds=1)


class Request(NamedTuple):
    """A request in transit; ``deadline`` is the time of its timeout."""

    number: int
    source: Process
    address: str
    topic: str
    body: bytes
    deadline: float


@dataclass(eq=False)
class Process:
    """A process with its own membership and fake ports."""

    world: World
    host: Host
    seed: int
    is_paused: bool = False
    is_dead: bool = False
    handlers: dict[str, Handler] = field(default_factory=dict)
    stepper: Stepper = field(default_factory=Stepper)
    inbox: list[Request] = field(default_factory=list)

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.incarnation = generate_incarnation(self, rng)
        listed = self.host[:8]
        me = Member(*listed, incarnation=self.incarnation)
        self.membership = Membership(SETTINGS, me, self, self, rng)

    def __repr__(self) -> str:
        return self.host.instance

    @property
    def is_running(self) -> bool:
        return not self.is_paused and not self.is_dead

    def monotonic(self) -> float:
        return self.world.now

    def wall(self) -> float:
        return 1_700_000_000 + self.world.now

    async def sleep(self, seconds: float) -> None:
        await park('sleep', self.world.now + seconds)

    def serve(self, topic: str, handler: Handler) -> None:
        self.handlers[topic] = handler

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        world = self.world
        request = Request(
            world.count(), self, address, topic, body, world.now + timeout
        )
        world.send(request)
        response: bytes | None = await park('ask', request)
        return response

    def receive(self, request: Request) -> None:
        if self.is_dead:
            return
        if self.is_paused:
            self.inbox.append(request)
            return
        handler = self.handlers[request.topic]
        self.stepper.spawn('handler', self._handle_request(handler, request))

    async def _handle_request(self, handler: Handler, request: Request) -> None:
        response = await handler(request.body)
        if response is not None:
            self.world.send_response(self, request, response)

    def receive_response(self, request: Request, response: bytes) -> None:
        # As in the port, late responses are dropped.
        if not self.is_running or request.deadline < self.world.now:
            return
        for task in self.stepper.parked('ask'):
            if task.waiting and task.waiting.note is request:
                self.stepper.resume(task, response)
                return


class World:
    """Simulates all processes; time advances only in :meth:`run`."""

    def __init__(self, seed: int = 0) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.processes: list[Process] = []
        self.loss_probability: float = 0
        self.duplicate_probability: float = 0
        self.max_delay_seconds: float = 0
        self.cuts: set[tuple[str, str]] = set()
        self.past_requests: list[Request] = []
        self._number = 0
        self._arrivals: list[tuple[float, int, object]] = []

    def count(self) -> int:
        self._number += 1
        return self._number

    def start(self, host: Host, hosts: Iterable[Host]) -> Process:
        process = Process(self, host, self.count())
        self.processes.append(process)
        process.membership.handle_hosts(hosts)
        process.stepper.spawn('run', process.membership.run())
        return process

    def kill(self, process: Process) -> None:
        process.is_dead = True
        for task in list(process.stepper.tasks):
            process.stepper.kill(task)

    def wake(self, process: Process) -> None:
        process.is_paused = False
        backlog = process.inbox
        process.inbox = []
        if self.rng.randrange(2):
            self._run_due()
        for request in backlog:
            process.receive(request)

    def clear_faults(self) -> None:
        """End all network faults."""
        self.loss_probability = 0
        self.duplicate_probability = 0
        self.max_delay_seconds = 0
        self.cuts.clear()

    def running(self) -> list[Process]:
        return [
            process
            for process in self.processes
            if process.is_running and process.membership.replaced is None
        ]

    def send(self, request: Request) -> None:
        if self.rng.randrange(10) == 0:
            self.past_requests = [*self.past_requests[-20:], request]
        self.post(request.source, request.address, request)

    def send_response(
        self, source: Process, request: Request, body: bytes
    ) -> None:
        target = request.source.host.peer_address
        self.post(source, target, (request, body))

    def deliver(self, message: object) -> None:
        match message:
            case Request(address=address):
                for process in self._listening(address):
                    process.receive(message)
            case (Request() as request, bytes(body)):
                request.source.receive_response(request, body)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while True:
            self._run_due()
            times = [due for due, _, _ in self._arrivals]
            times.extend(_due(task) for _, task in self._parked())
            following = min(times, default=float('inf'))
            if following > until:
                break
            self.now = max(self.now, following)
        self.now = until

    def _run_due(self) -> None:
        while True:
            due = [arr for arr in self._arrivals if arr[0] <= self.now]
            if due:
                earliest = min(due, key=lambda arr: arr[:2])
                self._arrivals.remove(earliest)
                self.deliver(earliest[2])
                continue
            ready = [
                pair for pair in self._parked() if _due(pair[1]) <= self.now
            ]
            if not ready:
                return
            process, task = ready[0]
            process.stepper.resume(task)

    def _listening(self, address: str) -> list[Process]:
        return [
            process
            for process in self.processes
            if process.host.peer_address == address
        ]

    def _parked(self) -> list[tuple[Process, SteppedTask]]:
        return [
            (process, task)
            for process in self.processes
            if process.is_running
            for task in process.stepper.parked()
        ]

    def post(self, source: Process, address: str, message: object) -> None:
        cut = (source.host.peer_address, address) in self.cuts
        if cut or self.rng.random() < self.loss_probability:
            return
        copies = 2 if self.rng.random() < self.duplicate_probability else 1
        for _ in range(copies):
            due = self.now + 0.001 + self.rng.uniform(0, self.max_delay_seconds)
            self._arrivals.append((due, self.count(), message))


def _due(task: SteppedTask) -> float:
    assert task.waiting
    note = task.waiting.note
    return float(note.deadline if isinstance(note, Request) else note)


def make_host(
    name: str, zone: str, generation: int = 1, *, leaving: bool = False
) -> Host:
    return Host(
        name=name,
        instance=f'i-{name}-{generation}',
        role='backend',
        zone=zone,
        region='r',
        service='s',
        data_address=f'{name}.{generation}:1',
        peer_address=f'{name}.{generation}:2',
        state=HostState.leaving if leaving else HostState.live,
    )


def get_states(process: Process) -> dict[str, MemberState | None]:
    names = {other.host.name for other in process.world.processes}
    return {name: process.membership.state_of(name) for name in sorted(names)}
