"""Simulated fleet on fake ports, stepped one await at a time."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any, NamedTuple

from ospreyford.distribution.bootstrap import Ready
from ospreyford.distribution.distributor import Distributor
from ospreyford.distribution.entries import Entry, compute_order_key
from ospreyford.distribution.service import (
    Changes,
    DocumentSource,
    DocumentText,
    Listing,
    ServiceUnavailable,
)
from ospreyford.distribution.settings import DistributionSettings
from ospreyford.ports.peers import Handler
from tests.fakes.documents import FakeStore
from tests.fakes.stepping import SteppedTask, Stepper, Waiting, park

SETTINGS = DistributionSettings(
    fleet_size=10,
    service_calls_per_second=10,
    cold_start_rounds=3,
    rumour_offers=6,
    tombstone_seconds=30,
    tombstone_batch=1,
)
ZONES = ('zone-a', 'zone-b')
EPOCH = 1_700_000_000
MAX_DRIFT_SECONDS = 2
MAX_MOVES = 6_000

MALFORMED = b'!'
MIN_ORDER_KEY = (0, False, b'')

OrderKeys = dict[str, tuple[int, bool, bytes]]


def is_well_formed(name: str, text: bytes) -> bool:
    return not text.startswith(MALFORMED)


class FakeMember(NamedTuple):
    name: str
    peer_address: str
    zone: str


class FakeClock:
    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return EPOCH + self.now

    async def sleep(self, seconds: float) -> None:
        await park('sleep', self.now + seconds)


class Question(NamedTuple):
    """A pending request to a peer."""

    address: str
    topic: str
    body: bytes
    asked_at: float
    due: float


class Call(NamedTuple):
    """A pending call to the service."""

    kind: str
    argument: Any
    asked_at: float
    due: float


class FakePeers:
    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock
        self.handlers: dict[str, Handler] = {}

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        now = self._clock.now
        question = Question(address, topic, body, now, now + timeout)
        answer: bytes | None = await park('ask', question)
        return answer

    def serve(self, topic: str, handler: Handler) -> None:
        self.handlers[topic] = handler

    def answer(self, topic: str, body: bytes) -> bytes | None:
        coro = self.handlers[topic](body)
        try:
            coro.send(None)  # type: ignore[attr-defined]
        except StopIteration as stop:
            answer: bytes | None = stop.value
            return answer
        raise AssertionError


class FakeService:
    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock

    def _call(self, kind: str, argument: Any, wait: float) -> Any:
        now = self._clock.now
        return park('service', Call(kind, argument, now, now + wait))

    async def list_documents(self) -> Listing:
        listing: Listing = await self._call('list', None, 1)
        return listing

    async def read_document(self, name: str) -> DocumentText:
        text: DocumentText = await self._call('read', name, 1)
        return text

    async def watch(self, after: int, wait: float) -> Changes:
        changes: Changes = await self._call('watch', after, wait)
        return changes


@dataclass
class Process:
    """A process and the test's observations of it."""

    member: FakeMember
    clock: FakeClock
    peers: FakePeers
    distributor: Distributor
    ready: bool = False
    paused: bool = False
    calls: int = 0
    pauses: int = 0
    paused_seconds: float = 0
    resumed_at: float = 0
    has_checked: bool = False
    newest_keys: OrderKeys = field(default_factory=dict)
    good_keys: OrderKeys = field(default_factory=dict)
    notified_keys: OrderKeys = field(default_factory=dict)
    notified_good_keys: OrderKeys = field(default_factory=dict)

    def compute_running_seconds(self) -> float:
        """The clock without pauses, which bounds drift between processes."""
        return self.clock.now - self.paused_seconds

    def read_newest_keys(self) -> OrderKeys:
        return compute_newest_keys(self.distributor.snapshot())

    @property
    def floor(self) -> int:
        return self.distributor._state.replica.floor

    def read_good_keys(self) -> OrderKeys:
        return compute_newest_keys(filter(is_good, self.distributor.snapshot()))


@dataclass
class World:
    """All processes, the service and the injected faults."""

    rng: Random = field(default_factory=lambda: Random(1))
    settings: DistributionSettings = SETTINGS
    store: FakeStore = field(default_factory=FakeStore)
    replicas: list[FakeStore] = field(default_factory=list)
    mode: str = 'up'
    loss: float = 0
    cut: frozenset[str] = frozenset()
    stepper: Stepper = field(default_factory=Stepper)
    processes: dict[str, Process] = field(default_factory=dict)
    undetected_dead: list[FakeMember] = field(default_factory=list)
    messages: list[tuple[str, str, bytes]] = field(default_factory=list)
    answers: dict[int, bytes | None] = field(default_factory=dict)
    start_count: int = 0

    def members(self) -> Sequence[FakeMember]:
        """The shared view: live processes and undetected dead ones."""
        return [
            *self.undetected_dead,
            *(process.member for process in self.processes.values()),
        ]

    def start(self, name: str) -> Process:
        self.start_count += 1
        zone = ZONES[int(name[-1]) % len(ZONES)]
        member = FakeMember(name, f'{name}:{self.start_count}', zone)
        clock = FakeClock()
        clock.now = min(
            (one.compute_running_seconds() for one in self.processes.values()),
            default=0,
        )
        peers = FakePeers(clock)
        distributor = Distributor(
            self.settings,
            member,
            DocumentSource(FakeService(clock), is_well_formed),
            peers,
            self,
            clock,
            Random(self.start_count),
        )
        process = Process(member, clock, peers, distributor)
        self.processes[member.peer_address] = process
        distributor.subscribe(
            lambda changed: _record_notified(process, changed)
        )
        for coro in (
            distributor.run_gossip(),
            distributor.run_reader(),
            _become_ready(process),
        ):
            self.stepper.spawn(member.peer_address, coro)
        return process

    def kill(self, process: Process) -> None:
        address = process.member.peer_address
        for task in tuple(self.stepper.tasks):
            if task.name == address:
                self.answers.pop(id(task), None)
                self.stepper.kill(task)
        self.processes.pop(address)
        self.undetected_dead.append(process.member)

    def replace(self, process: Process) -> Process:
        self.kill(process)
        return self.start(process.member.name)

    def pause(self, process: Process) -> None:
        process.paused = True

    def list_processes(self) -> list[Process]:
        return list(self.processes.values())

    def suspend(self, process: Process) -> list[SteppedTask]:
        """Pause a process until membership declares it dead."""
        address = process.member.peer_address
        self.processes.pop(address)
        tasks = [one for one in self.stepper.tasks if one.name == address]
        for task in tasks:
            self.stepper.tasks.remove(task)
        return tasks

    def restore(self, process: Process, tasks: list[SteppedTask]) -> None:
        """Resume a suspended process."""
        self.processes[process.member.peer_address] = process
        self.stepper.tasks.extend(tasks)
        self.unpause(process, 100)

    def unpause(self, process: Process, paused_seconds: float) -> None:
        process.paused = False
        process.pauses += 1
        process.clock.now += paused_seconds
        process.paused_seconds += paused_seconds
        process.resumed_at = process.clock.now
        process.has_checked = False

    def find_slowest_clock(self) -> float:
        """The clock of the slowest running process."""
        return min(
            (
                one.compute_running_seconds()
                for one in self.list_processes()
                if not one.paused
            ),
            default=inf,
        )

    def move(self) -> None:
        """Resume one task of a random running process."""
        running = [
            process for process in self.processes.values() if not process.paused
        ]
        if running:
            oldest = min(
                process.compute_running_seconds() for process in running
            )
            process = self.rng.choice(
                [
                    one
                    for one in running
                    if one.compute_running_seconds()
                    <= oldest + MAX_DRIFT_SECONDS
                ]
            )
            self.resume(self._select_task(process), process)

    def _select_task(self, process: Process) -> SteppedTask:
        """Select a deliverable message or the first timer."""
        parked = [
            task
            for task in self.stepper.parked()
            if task.name == process.member.peer_address
        ]
        first = min(parked, key=_get_due)
        messages = [task for task in parked if self._is_deliverable(task)]
        return self.rng.choice([first, *messages])

    def _is_deliverable(self, task: SteppedTask) -> bool:
        match task.waiting:
            case Waiting('ask'):
                return True
            case Waiting('service', Call('watch', after)):
                return self.mode != 'up' or self.store.revision > after
            case Waiting('service'):
                return True
        return False

    def resume(self, task: SteppedTask, process: Process) -> None:
        assert task.waiting is not None
        due = _get_due(task)
        if not self._is_deliverable(task):
            process.clock.now = max(process.clock.now, due)
        match task.waiting:
            case Waiting('sleep'):
                self.stepper.resume(task)
            case Waiting('ask', question) if id(task) in self.answers:
                self._complete_ask(task, process, question)
            case Waiting('ask', question):
                # Deliver the reply in a later move, to allow interleavings.
                self.answers[id(task)] = self._deliver_question(task, question)
            case Waiting('service', call):
                self.end_call(task, process, call)

    def _deliver_question(
        self, task: SteppedTask, question: Question
    ) -> bytes | None:
        address = question.address
        if not self.reaches(task.name, address):
            return None
        message = (address, question.topic, question.body)
        self.messages = [*self.messages[-20:], message]
        answer = self.processes[address].peers.answer(*message[1:])
        return answer if self.reaches(address, task.name) else None

    def _complete_ask(
        self, task: SteppedTask, process: Process, question: Question
    ) -> None:
        answer = self.answers.pop(id(task))
        if answer is None:
            process.clock.now = max(process.clock.now, question.due)
        elif question.asked_at >= process.resumed_at:
            process.has_checked = True
        self.stepper.resume(task, answer)

    def reaches(self, sender: str, address: str) -> bool:
        target = self.processes.get(address)
        if target is None or target.paused:
            return False
        if (sender in self.cut) != (address in self.cut):
            return False
        return self.rng.random() >= self.loss

    def replay(self) -> None:
        """Redeliver an old message, late and out of order."""
        if not self.messages:
            return
        address, topic, body = self.rng.choice(self.messages)
        target = self.processes.get(address)
        if target is not None and not target.paused:
            target.peers.answer(topic, body)

    def end_call(self, task: SteppedTask, process: Process, call: Call) -> None:
        process.calls += 1
        try:
            answer = serve_call(self.select_store(), call)
        except ServiceUnavailable as error:
            self.stepper.throw(task, error)
            return
        if call.asked_at >= process.resumed_at:
            process.has_checked = True
        self.stepper.resume(task, answer)

    def select_store(self) -> FakeStore | None:
        match self.mode:
            case 'down':
                return None
            case 'stale' if self.replicas:
                return self.replicas[0]
            case 'turns' if self.replicas:
                stores = [*self.replicas, self.store]
                return stores[self._count_calls() % len(stores)]
            case 'flap' if self.replicas:
                return self.rng.choice([*self.replicas, self.store])
            case _:
                return self.store

    def _count_calls(self) -> int:
        return sum(one.calls for one in self.processes.values())

    def heal(self) -> None:
        self.mode = 'up'
        self.loss = 0
        self.cut = frozenset()
        self.undetected_dead.clear()
        for process in self.processes.values():
            if process.paused:
                self.unpause(process, 100)

    def run_until_converged(self) -> bool:
        """Run until all processes are ready with the newest documents."""
        for _ in range(MAX_MOVES):
            self.move()
            if self.is_converged():
                return True
        return False

    def is_converged(self) -> bool:
        first, *others = [
            list_live(process.read_newest_keys())
            for process in self.processes.values()
        ]
        good, *other_goods = [
            list_live(process.read_good_keys())
            for process in self.processes.values()
        ]
        newest = {
            name: one.revision
            for name, one in self.store.documents.items()
            if not one.deleted
        }
        return (
            all(process.ready for process in self.processes.values())
            and all(keys == first for keys in others)
            and all(goods == good for goods in other_goods)
            and {name: key[0] for name, key in first.items()} == newest
        ) and all(map(self.holds_removals, self.processes.values()))

    def holds_removals(self, process: Process) -> bool:
        """Each removed document has a tombstone or is below the floor."""
        keys = process.read_newest_keys()
        floor = process.floor
        return all(
            keys.get(name, (floor, True))[:2] >= (one.revision, True)
            for name, one in self.store.documents.items()
            if one.deleted
        )

    def run_until_ready(self, process: Process) -> bool:
        for _ in range(MAX_MOVES):
            self.move()
            if process.ready:
                return True
        return False


def is_good(entry: Entry) -> bool:
    return entry.deleted or is_well_formed(entry.name, entry.text)


def compute_newest_keys(entries: Iterable[Entry]) -> OrderKeys:
    keys: OrderKeys = {}
    _raise_keys(keys, entries)
    return keys


def list_live(keys: OrderKeys) -> OrderKeys:
    return {name: key for name, key in keys.items() if not key[1]}


def _raise_keys(keys: OrderKeys, entries: Iterable[Entry]) -> None:
    for one in entries:
        keys[one.name] = max(
            compute_order_key(one), keys.get(one.name, MIN_ORDER_KEY)
        )


def _get_due(task: SteppedTask) -> float:
    assert task.waiting is not None
    pending = task.waiting.note
    due: float = pending if task.waiting.kind == 'sleep' else pending.due
    return due


def serve_call(
    store: FakeStore | None, call: Call
) -> Listing | DocumentText | Changes:
    if store is None:
        raise ServiceUnavailable
    match call.kind:
        case 'list':
            return store.listing()
        case 'read':
            return store.read(call.argument)
        case _:
            return store.changes(call.argument)


def _record_notified(process: Process, changed: Sequence[Any]) -> None:
    _raise_keys(process.notified_keys, changed)
    _raise_keys(process.notified_good_keys, filter(is_good, changed))


async def _become_ready(process: Process) -> None:
    while not process.ready:
        outcome = await process.distributor.bootstrap()
        process.ready = isinstance(outcome, Ready)
