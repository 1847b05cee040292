"""The documents' part of the matrix; what each process had in force judges.

Five processes in two zones hold the newest documents; one is published, one
is deleted, a host is replaced by one whose process knows nothing, and another
is published. Each fault hits the first event of its step after that begins.
A cell holds if no process ever went back, none called the service beyond its
share, no fresh one undercut what all others had, who had not checked said so,
and all hold the newest documents once all is well again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ospreyford.distribution.messages import Topic
from ospreyford.distribution.service import ServiceUnavailable
from tests.distribution.test_machine import (
    PAUSE_SECONDS,
    DistributionMachine,
)
from tests.distribution.world import (
    SETTINGS,
    Call,
    Process,
    Question,
    World,
    serve_call,
)
from tests.fakes.stepping import SteppedTask, Waiting
from tests.faults.sections import Hit, Hits, Later, NotAtRest, NotMet, Section

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
PROCESS_FAULTS = frozenset(
    (
        'pause asker',
        'pause answerer',
        'kill',
        'fresh process',
        'fresh, cut off',
    )
)
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
    'fresh, cut off',
    'rolling replacement',
    'malformed document',
    'malformed message',
    'two publishes',
    'many publishes',
    'service split',
)
PAIRED = (
    ('service stale', 'fresh process'),
    ('service flapping', 'fresh process'),
    ('service stale', 'fresh, cut off'),
    ('service split', 'fresh, cut off'),
    ('service down', 'many publishes'),
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
#: More documents than a process may read at once.
MANY = 60
#: Moves in which calls to the service are counted.
WINDOW = 20
#: Calls a second of a reader that reads for a whole zone of five, and what
#: it may have saved up.
MOST_CALLS = SETTINGS.service_calls_per_second / SETTINGS.fleet_size * 5 / 2
MOST_SAVED = MOST_CALLS * 4 + 1
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
    later: Later = field(default_factory=Later)
    one_way: set[tuple[str, str]] = field(default_factory=set)
    held: set[int] = field(default_factory=set)
    lost: set[int] = field(default_factory=set)
    rolling: bool = False
    started_late: list[Process] = field(default_factory=list)

    def start(self, name: str) -> Process:
        process = super().start(name)
        self.started_late.append(process)
        return process

    def move(self) -> None:
        self.later.advance()
        super().move()

    def resume(self, task: SteppedTask, process: Process) -> None:
        assert task.waiting is not None
        step = ''
        match task.waiting:
            case Waiting('ask', question) if id(task) not in self.answers:
                step = name_question(question, process)
            case Waiting('service', Call(kind=kind)):
                step = kind
        hit = self._take_hit(step)
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

    def _take_hit(self, step: str) -> Hit | None:
        for hit in self.hits:
            if hit.step == step:
                self.hits.remove(hit)
                return hit
        return None

    def _strike(self, hit: Hit, task: SteppedTask, process: Process) -> bool:
        """Make a fault happen; tell if the event is over with it."""
        assert task.waiting is not None
        note = task.waiting.note
        match hit.fault:
            case fault if fault.startswith('service'):
                self._worsen_service(fault.split()[1])
            case 'one-way cut' | 'partition':
                self._cut(process, both=hit.fault == 'partition')
            case 'malformed document' | 'two publishes' | 'many publishes':
                self._publish(hit.fault)
            case 'rolling replacement':
                self.rolling = True
            case fault if fault in PROCESS_FAULTS:
                return self._hit_process(fault, process, note)
            case fault if isinstance(note, Question):
                return self._hit_message(fault, task, note)
            case fault:
                return self._hit_call(fault, task, process, note)
        return False

    def _worsen_service(self, how: str) -> None:
        if how == 'split':
            self._split_replica()
        self.mode = how if how in {'down', 'stale'} else 'flap'
        self.later.add(2 * LONG, lambda: setattr(self, 'mode', 'up'))

    def _split_replica(self) -> None:
        """A replica of the service gives other texts for some revisions."""
        replica = self.store.copy()
        replica.documents = {
            name: held if held.deleted else held._replace(text=b'another')
            for name, held in replica.documents.items()
        }
        self.replicas.append(replica)

    def _cut(self, process: Process, both: bool) -> None:
        address = process.member.peer_address
        if both:
            self.cut = frozenset((address,))
            self.later.add(2 * LONG, lambda: setattr(self, 'cut', frozenset()))
        else:
            self.one_way |= {(address, other) for other in self.processes}
            self.later.add(LONG, self.one_way.clear)

    def _publish(self, fault: str) -> None:
        match fault:
            case 'two publishes':
                self.store.publish('pool', b'of one operator')
                self.store.publish('pool', b'of another')
            case 'many publishes':
                for number in range(MANY):
                    self.store.publish(f'intent-{number}', b'first')
            case _:
                self.store.publish('limits', MALFORMED)

    def _pause(self, process: Process) -> None:
        process.paused = True
        self.later.add(LONG, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        if process.paused:
            self.unpause(process, PAUSE_SECONDS)

    def _hit_process(self, fault: str, process: Process, note: object) -> bool:
        if fault == 'pause asker':
            self._pause(process)
            return True
        if fault == 'kill':
            self.kill(process)
            self.later.add(LONG, lambda: self._start(process.member.name))
            return True
        if fault.startswith('fresh'):
            fresh = self.replace(process)
            if fault.endswith('cut off'):
                self._cut(fresh, both=True)
            return True
        address = note.address if isinstance(note, Question) else ''
        others = [one for one in self.list_processes() if one is not process]
        self._pause(self.processes.get(address, others[0]))
        return False

    def _start(self, name: str) -> None:
        self.start(name)
        self.undetected_dead.clear()

    def _hit_message(
        self, fault: str, task: SteppedTask, question: Question
    ) -> bool:
        stray = Stray(question.address, question.topic, question.body)
        match fault:
            case 'loss':
                self.answers[id(task)] = None
            case 'delay':
                self.answers[id(task)] = None
                self.later.add(LONG, lambda: self._deliver(stray))
            case 'duplicate':
                self._deliver(stray)
                self.later.add(LONG, lambda: self._deliver(stray))
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
                process.has_checked |= call.asked_at >= process.resumed_at
                self.stepper.resume(task, answer)

        self.later.add(moves, arrive)
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


class TooManyCalls(AssertionError):
    """A process called the service more often than its share allows."""


class Usage(NamedTuple):
    """Calls of a process to the service, by some time of its life."""

    calls: int
    awake: float
    pauses: int


class DocumentMachine(DistributionMachine):
    """The machine's checks, around one chosen course."""

    world_type = FaultyWorld
    world: FaultyWorld
    #: Moves during which not all were ready with the newest documents.
    apart = 0

    def __init__(self) -> None:
        super().__init__()
        self.usages: dict[str, Usage] = {}

    def go_on(self) -> None:
        for _ in range(LONG):
            self.world.move()
            self._note_floors()
            self.check()
            self._check_rate()
            self.apart += not self.world.is_converged()
            if self.world.rolling:
                self.world.rolling = False
                self.replace_everybody()

    def _check_rate(self) -> None:
        """Calls in any window are within the rate, not only in all."""
        for process in self.world.list_processes():
            awake = process.clock.now - process.paused_seconds
            begin = Usage(process.calls, awake, process.pauses)
            if self.world.later.count % WINDOW == 0:
                self.usages[process.member.peer_address] = begin
            begin = self.usages.get(process.member.peer_address, begin)
            saved = MOST_SAVED * (1 + process.pauses - begin.pauses)
            allowed = MOST_CALLS * (awake - begin.awake) + saved
            if process.calls - begin.calls > allowed:
                raise TooManyCalls(process.calls - begin.calls, allowed)

    def _note_floors(self) -> None:
        """A process that starts must not undercut what all others have."""
        for fresh in self.world.started_late:
            self.required_revisions[fresh.member.peer_address] = (
                self.compute_required_revisions()
            )
        self.world.started_late.clear()

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
        come_to_rest(machine)
        worst = max(worst, machine.apart)
    if met != set(hits):
        raise NotMet(set(hits) - met)
    return f'apart {worst} moves'


def come_to_rest(machine: DocumentMachine) -> None:
    """End all faults; all processes come to hold the newest documents."""
    world = machine.world
    world.one_way.clear()
    world.later.finish()
    world.heal()
    if not world.run_until_converged():
        raise NotAtRest
    machine.check()


DOCUMENTS = Section('documents', STEPS, FAULTS, PAIRED, run, MEANINGLESS)
