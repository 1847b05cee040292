"""Membership's part of the matrix; the world's own truth is the referee.

Five processes in two zones see one another. One link fails for some seconds,
so that relays probe; a host is replaced; one process leaves. Each fault hits
the first message of its step after that begins. A cell holds if no process
ever took an older version for a newer one or a leaving process for live, and
if all agree with the truth once all is well again.
"""

from __future__ import annotations

from types import MappingProxyType

from ospreyford.membership.messages import INDIRECT_PROBE_TOPIC, PING_TOPIC
from ospreyford.membership.repairmessages import COMPARE_TOPIC, SYNC_TOPIC
from tests.faults.sections import Hit, Hits, NotMet, Section
from tests.membership.test_faults import FleetMachine
from tests.membership.world import Process, Request, World

STEPS = (
    'probe',
    'probe answer',
    'relay probe',
    'relay answer',
    'comparison',
    'comparison answer',
    'repair',
    'repair answer',
    'join',
    'leave',
)
TOPICS = MappingProxyType(
    {
        PING_TOPIC: 'probe',
        INDIRECT_PROBE_TOPIC: 'relay probe',
        COMPARE_TOPIC: 'comparison',
        SYNC_TOPIC: 'repair',
    }
)
ANSWERS = MappingProxyType(
    {
        PING_TOPIC: 'probe answer',
        INDIRECT_PROBE_TOPIC: 'relay answer',
        COMPARE_TOPIC: 'comparison answer',
        SYNC_TOPIC: 'repair answer',
    }
)
FAULTS = (
    'loss',
    'delay',
    'duplicate',
    'reorder',
    'one-way cut',
    'partition',
    'pause sender',
    'pause receiver',
    'kill sender',
    'kill receiver',
    'restart sender',
    'host replaced',
    'old host list',
)
PAIRED = (
    ('loss', 'restart sender'),
    ('delay', 'host replaced'),
    ('pause sender', 'host replaced'),
    ('partition', 'old host list'),
    ('partition', 'kill sender'),
    ('one-way cut', 'pause receiver'),
    ('duplicate', 'restart sender'),
)
#: Seconds that a fault lasts for.
LONG = 12.0
OVERTAKEN = 0.2
SEED = 5


class FaultyWorld(World):
    """Takes its course, and at named steps a fault happens."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.hits: list[Hit] = []
        self.struck: list[tuple[str, Process, Process]] = []
        self.joining: list[Process] = []
        self.leaving: list[Process] = []

    def post(self, source: Process, address: str, message: object) -> None:
        hit = self._take_hit(source, message)
        targets = [
            one for one in self.processes if one.host.peer_address == address
        ]
        if hit is None or not targets:
            super().post(source, address, message)
            return
        if not self._strike(hit.fault, source, targets[0], message):
            super().post(source, address, message)

    def _take_hit(self, source: Process, message: object) -> Hit | None:
        names = self._name_steps(source, message)
        for hit in self.hits:
            if hit.step in names:
                self.hits.remove(hit)
                return hit
        return None

    def _name_steps(self, source: Process, message: object) -> set[str]:
        names = set()
        match message:
            case Request(topic=topic):
                names.add(TOPICS[topic])
            case (Request(topic=topic), bytes()):
                names.add(ANSWERS[topic])
        if source in self.joining:
            names.add('join')
        if source in self.leaving:
            names.add('leave')
        return names

    def _strike(
        self, fault: str, source: Process, target: Process, message: object
    ) -> bool:
        """Make a fault happen; tell if the message is used up."""
        match fault:
            case 'loss':
                return True
            case 'delay':
                self._send_in(LONG, message)
                return True
            case 'reorder':
                self._send_in(OVERTAKEN, message)
                return True
            case 'duplicate':
                self._send_in(0, message)
                self._send_in(LONG, message)
                return False
            case 'one-way cut' | 'partition':
                self._cut(source, both=fault == 'partition')
                return True
        # Whatever strikes a process does so between two of its steps.
        self.struck.append((fault, source, target))
        return False

    def _send_in(self, seconds: float, message: object) -> None:
        due = self.now + seconds
        self._arrivals.append((due, self.count(), message))

    def _cut(self, source: Process, both: bool) -> None:
        mine = source.host.peer_address
        for process in self.processes:
            other = process.host.peer_address
            if process is not source:
                self.cuts.add((mine, other))
                if both:
                    self.cuts.add((other, mine))


class MemberMachine(FleetMachine):
    """The machine's checks and its end, around one chosen course."""

    world_type = FaultyWorld
    world: FaultyWorld

    def change(self, hits: Hits) -> None:
        """Go through every step, with the faults."""
        self.world.hits.extend(hits)
        self.go_on()
        self._cut_one_link()
        self.go_on()
        self.world.cuts.clear()
        self.replace_host('b2', paused=False)
        self.world.joining.append(self.current['b2'])
        self.go_on()
        self.world.cuts.clear()
        self.world.leaving.append(self.current['a2'])
        self.leave('a2')
        self.go_on()
        self.wake_all()
        self.heal()
        self.go_on()

    def go_on(self) -> None:
        """Pass time in small parts, checking after each."""
        for _ in range(int(LONG * 5)):
            self.world.run(0.2)
            self._let_strike()
            self.versions_only_grow()
            self.leaving_is_never_live()

    def _cut_one_link(self) -> None:
        one, other = (
            self.current[name].host.peer_address for name in ('a1', 'b1')
        )
        self.world.cuts |= {(one, other), (other, one)}

    def _let_strike(self) -> None:
        struck = list(self.world.struck)
        self.world.struck.clear()
        for fault, source, target in struck:
            self._strike(fault, source, target)

    def _strike(self, fault: str, source: Process, target: Process) -> None:
        match fault:
            case 'pause sender':
                source.is_paused = True
            case 'pause receiver':
                target.is_paused = True
            case 'kill sender':
                self.world.kill(source)
            case 'kill receiver':
                self.world.kill(target)
            case 'restart sender':
                self.restart(source.host.name)
            case 'host replaced':
                self.replace_host(source.host.name, paused=True)
            case 'old host list':
                for name in self.current:
                    self.tell_old_list(name, 0)


def run(hits: Hits) -> str:
    """Run one cell."""
    machine = MemberMachine()
    machine.start_all(SEED)
    machine.change(hits)
    missed = list(machine.world.hits)
    machine.world.hits.clear()
    begun = machine.world.now
    machine.teardown()
    if missed:
        raise NotMet(missed)
    return f'agreed in {machine.world.now - begun:.0f} s'


MEMBERS = Section('membership', STEPS, FAULTS, PAIRED, run)
