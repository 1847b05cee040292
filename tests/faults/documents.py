"""The documents' part of the matrix; what each process had in force judges.

Five processes in two zones hold the newest documents; one is published, one
is deleted, a host is replaced by one whose process knows nothing, and another
is published. Each fault hits the first event of its step after that begins.
A cell holds if no process ever went back, none called the service beyond its
share, no fresh one undercut what all others had, who had not checked said so,
and all hold the newest documents once all is well again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ospreyford.distribution.messages import Topic
from ospreyford.distribution.service import ServiceUnavailable
from tests.distribution.test_machine import (
    PAUSE_SECONDS,
    DistributionMachine,
)
from tests.distribution.world import Call, Process, Question, World, serve_call
from tests.fakes.stepping import SteppedTask, Waiting
from tests.faults.sections import Hit, Hits, NotAtRest, NotMet, Section

STEPS = (
    'list',
    'read',
    'watch',
    'offer',
    'push',
    'digest',
    'page',
    'branch',
    'leaf',
    'bootstrap',
)
FIRST_STEP = 'list'
FAULTS = (
    'service down',
    'service stale',
    'service flapping',
    'loss',
    'delay',
    'duplicate',
    'reorder',
    'one-way cut',
    'partition',
    'pause asker',
    'pause answerer',
    'kill',
    'fresh process',
    'rolling replacement',
    'malformed document',
    'malformed message',
    'two publishes',
)
PAIRED = (
    ('service stale', 'fresh process'),
    ('service flapping', 'fresh process'),
    ('service stale', 'rolling replacement'),
    ('service stale', 'pause asker'),
    ('partition', 'fresh process'),
    ('partition', 'two publishes'),
    ('delay', 'two publishes'),
    ('loss', 'kill'),
)
#: The service's answer comes once, or as none if it can't be read.
MEANINGLESS = frozenset(
    Hit(step, fault)
    for step in STEPS[:3]
    for fault in ('duplicate', 'malformed message')
)
#: Moves that a fault lasts for.
LONG = 200
SEEDS = 3
MALFORMED = b'\xc1'


class Stray(NamedTuple):
    """A message of a question to come late."""

    address: str
    topic: str
    body: bytes


@dataclass
class FaultyWorld(World):
    """Takes its course, and at named steps a fault happens."""

    hits: list[Hit] = field(default_factory=list)
    later: list[tuple[int, Callable[[], None]]] = field(default_factory=list)
    moves: int = 0
    one_way: set[tuple[str, str]] = field(default_factory=set)
    held: set[int] = field(default_factory=set)
    lost: set[int] = field(default_factory=set)
    rolling: bool = False

    def move(self) -> None:
        self.moves += 1
        due = [entry for entry in self.later if entry[0] <= self.moves]
        for entry in due:
            self.later.remove(entry)
            entry[1]()
        super().move()

    def resume(self, task: SteppedTask, process: Process) -> None:
        assert task.waiting is not None
        first = id(task) not in self.answers
        match task.waiting:
            case Waiting('ask', Question() as question) if first:
                step = name_question(question, process)
                hit = self._take_hit(step)
                if hit is None or not self._strike(hit, task, process):
                    super().resume(task, process)
            case Waiting('service', Call(kind=kind)) if self.hits:
                self._resume_call(kind, task, process)
            case _:
                super().resume(task, process)

    def _resume_call(
        self, kind: str, task: SteppedTask, process: Process
    ) -> None:
        # A watch that nothing has happened for ends by its own time.
        hit = self._take_hit(kind)
        if hit is None or not self._strike(hit, task, process):
            super().resume(task, process)

    def end_call(self, task: SteppedTask, process: Process, call: Call) -> None:
        if id(task) in self.lost:
            self.lost.discard(id(task))
            process.calls += 1
            self.stepper.throw(task, ServiceUnavailable())
            return
        super().end_call(task, process, call)

    def reaches(self, sender: str, address: str) -> bool:
        if (sender, address) in self.one_way:
            return False
        return super().reaches(sender, address)

    def after(self, moves: int, act: Callable[[], None]) -> None:
        self.later.append((self.moves + moves, act))

    def _take_hit(self, step: str) -> Hit | None:
        for hit in self.hits:
            if hit.step == step:
                self.hits.remove(hit)
                return hit
        return None

    def _strike(self, hit: Hit, task: SteppedTask, process: Process) -> bool:
        """Make a fault happen; tell if the event is over with it."""
        note = task.waiting.note if task.waiting else None
        match hit.fault:
            case 'service down' | 'service stale' | 'service flapping':
                self._worsen_service(hit.fault.split()[1])
            case 'one-way cut' | 'partition':
                self._cut(process, both=hit.fault == 'partition')
            case 'malformed document' | 'two publishes':
                self._publish(hit.fault)
            case 'rolling replacement':
                self.rolling = True
            case 'pause asker':
                self._pause(process)
                return True
            case 'pause answerer' | 'kill' | 'fresh process':
                return self._hit_process(hit.fault, process, note)
            case _ if isinstance(note, Question):
                return self._hit_message(hit.fault, task, note)
            case _:
                return self._hit_call(hit.fault, task, process, note)
        return False

    def _worsen_service(self, how: str) -> None:
        self.mode = {'flapping': 'flap'}.get(how, how)
        self.after(LONG, lambda: setattr(self, 'mode', 'up'))

    def _cut(self, process: Process, both: bool) -> None:
        address = process.member.peer_address
        if both:
            self.cut = frozenset([address])
            self.after(LONG, lambda: setattr(self, 'cut', frozenset()))
        else:
            self.one_way |= {(address, other) for other in self.processes}
            self.after(LONG, self.one_way.clear)

    def _publish(self, fault: str) -> None:
        if fault == 'two publishes':
            self.store.publish('pool', b'of one operator')
            self.store.publish('pool', b'of another')
        else:
            self.store.publish('limits', MALFORMED)

    def _pause(self, process: Process) -> None:
        process.paused = True
        self.after(LONG, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        if process.paused:
            self.wake(process, PAUSE_SECONDS)

    def _hit_process(self, fault: str, process: Process, note: object) -> bool:
        if fault == 'kill':
            self.kill(process)
            self.after(LONG, lambda: self._start(process.member.name))
            return True
        if fault == 'fresh process':
            self.replace(process)
            return True
        address = note.address if isinstance(note, Question) else ''
        others = [one for one in self.everybody() if one is not process]
        self._pause(self.processes.get(address, others[0]))
        return False

    def _start(self, name: str) -> None:
        self.start(name)
        self.dead.clear()

    def _hit_message(
        self, fault: str, task: SteppedTask, question: Question
    ) -> bool:
        stray = Stray(question.address, question.topic, question.body)
        match fault:
            case 'loss':
                self.answers[id(task)] = None
            case 'delay':
                self.answers[id(task)] = None
                self.after(LONG, lambda: self._deliver(stray))
            case 'duplicate':
                self._deliver(stray)
                self.after(LONG, lambda: self._deliver(stray))
                return False
            case 'malformed message':
                self._deliver(stray._replace(body=MALFORMED))
                self.answers[id(task)] = MALFORMED
        # Reordered: whatever comes next comes before it.
        return True

    def _hit_call(
        self, fault: str, task: SteppedTask, process: Process, call: Call
    ) -> bool:
        if fault == 'loss':
            self.lost.add(id(task))
            return False
        # The service's answer is of now, and arrives when others have gone
        # on with what came later.
        answer = serve_call(self.store, call)
        self.stepper.tasks.remove(task)
        moves = LONG if fault == 'delay' else 10

        def arrive() -> None:
            if process.member.peer_address in self.processes:
                process.calls += 1
                self.stepper.tasks.append(task)
                if process.clock.now > call.due:
                    self.stepper.throw(task, ServiceUnavailable())
                    return
                process.checked |= call.asked_at >= process.awake_since
                self.stepper.resume(task, answer)

        self.after(moves, arrive)
        return True

    def _deliver(self, stray: Stray) -> None:
        target = self.processes.get(stray.address)
        if target is not None and not target.paused:
            target.peers.answer(stray.topic, stray.body)


def name_question(question: Question, asker: Process) -> str:
    """Name the step that a question belongs to."""
    if question.topic == Topic.digest and not asker.ready:
        return 'bootstrap'
    return question.topic.split('.')[1]


class DocumentMachine(DistributionMachine):
    """The machine's checks, around one chosen course."""

    world_type = FaultyWorld
    world: FaultyWorld

    def go_on(self) -> None:
        for _ in range(LONG):
            self.world.move()
            self.check()
            if self.world.rolling:
                self.world.rolling = False
                self.replace_everybody()

    def change(self) -> None:
        """Go through every step."""
        store = self.world.store
        self.go_on()
        store.publish('drain', b'first')
        self.go_on()
        self.world.replicas.insert(0, store.copy())
        store.publish('pool', b'second')
        store.delete('drain')
        self.go_on()
        self.replace(0)
        self.go_on()
        store.publish('limits', b'first')
        self.go_on()


def run(hits: Hits) -> str:
    """Run one cell under a few orders of events."""
    worst = 0
    met: set[Hit] = set()
    for seed in range(SEEDS):
        machine = DocumentMachine()
        # Only a fleet that knows nothing lists.
        early = [hit for hit in hits if hit.step == FIRST_STEP]
        machine.world.hits.extend(early)
        machine.begin(seed)
        machine.world.hits.extend(hit for hit in hits if hit not in early)
        machine.change()
        met |= set(hits) - set(machine.world.hits)
        machine.world.hits.clear()
        worst = max(worst, come_to_rest(machine))
    if met != set(hits):
        raise NotMet(set(hits) - met)
    return f'same in {worst} moves'


def come_to_rest(machine: DocumentMachine) -> int:
    """Count the moves until all processes hold the newest documents."""
    world = machine.world
    world.one_way.clear()
    world.later, late = [], world.later
    for entry in late:
        entry[1]()
    world.heal()
    before = world.moves
    if not world.run_until_same():
        raise NotAtRest
    machine.check()
    return world.moves - before


DOCUMENTS = Section('documents', STEPS, FAULTS, PAIRED, run, MEANINGLESS)
