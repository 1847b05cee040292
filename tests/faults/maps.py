"""The expert map's part of the matrix; the engines' record is the referee.

A group of three steps on, is offered a new map, its coordinator is paused and
wakes late, a member's process is replaced. Each fault hits the first event of
its step after that begins. A cell holds if no step ever had two maps and if,
once all is well again, every rank steps on with the newest map offered.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ospreyford.expertmap.messages import (
    Extend,
    decode_request,
    decode_response,
)
from ospreyford.expertmap.settings import RankSettings
from tests.expertmap.engines import FakeEngine
from tests.expertmap.group import (
    Group,
    PendingRequest,
    PendingResponse,
    Process,
)
from tests.expertmap.test_machine import SIZE, GroupMachine
from tests.fakes.stepping import SteppedTask
from tests.faults.sections import Hit, Hits, Later, NotMet, Section

MESSAGES = (
    'Prepare',
    'Promise',
    'Form',
    'Extend',
    'Accepted',
    'Install',
    'Installed',
    'Fetch',
    'Fetched',
)
ORDERS = ('halt', 'load', 'grant', 'status')
FAULTS = (
    'loss',
    'delay',
    'duplicate',
    'reorder',
    'one-way cut',
    'partition',
    'kill coordinator',
    'kill member',
    'kill all',
    'pause coordinator',
    'pause member',
    'engine replaced',
    'fencing ignored',
    'two coordinators',
    'two agents',
)
PAIRED = (
    ('loss', 'kill coordinator'),
    ('delay', 'duplicate'),
    ('delay', 'kill member'),
    ('delay', 'fencing ignored'),
    ('partition', 'two coordinators'),
    ('pause coordinator', 'kill member'),
    ('kill coordinator', 'kill member'),
    ('engine replaced', 'two coordinators'),
    ('one-way cut', 'engine replaced'),
)
#: Events that a delay, a cut or a pause lasts for.
LONG = 60
IGNORED = 'fencing ignored'
POLL_SECONDS = RankSettings(group='', slot=0, addresses=()).poll_seconds

Event = PendingRequest | PendingResponse | SteppedTask


class FaultyProcess(Process):
    """An agent whose reading of the engine's status can fail, too."""

    async def read_status(self) -> Any:
        return await self.order('status', self.engine.read_status, None)


class FaultyGroup(Group):
    """Takes its course, and at named steps a fault happens."""

    def __init__(self, size: int, ignoring: int | None, wall: bool) -> None:
        self.hits: list[Hit] = []
        self.later = Later()
        self.honours = True
        self.one_way: set[tuple[int, int]] = set()
        self.leader: Process | None = None
        self.longest_halt: float = 0
        self.stepped_at: float = 0
        super().__init__(size, ignoring, wall)

    def make_process(
        self, slot: int, address: str, engine: FakeEngine
    ) -> Process:
        return FaultyProcess(self, slot, address, engine)

    def new_engine(self, slot: int) -> FakeEngine:
        engine = super().new_engine(slot)
        engine.honours = self.honours
        return engine

    def ignore_fencing(self) -> None:
        """No engine looks at fencing numbers from now on."""
        self.honours = False
        for engine in self.engines:
            engine.honours = False

    def reaches(self, source: Process, target: Process | None) -> bool:
        if target and (source.slot, target.slot) in self.one_way:
            return False
        return super().reaches(source, target)

    def run_event(self) -> None:
        self.later.advance()
        event = self.next_event()
        if event is None or not self._is_hit(event):
            before = sum(engine.step for engine in self.engines)
            super().run_event()
            self._note_halt(before)

    def next_event(self) -> Event | None:
        upcoming = [*self.parked('order'), *self.list_deliverable()]
        return upcoming[0] if upcoming else None

    def coordinator(self) -> Process:
        leader = self.leader
        members = self.members()
        return leader if leader in members and leader else members[0]

    def deliver(
        self, message: PendingRequest | PendingResponse, keep: bool = False
    ) -> None:
        if isinstance(message, PendingRequest):
            self.leader = message.sender
        super().deliver(message, keep)

    def _note_halt(self, before: int) -> None:
        if sum(engine.step for engine in self.engines) > before:
            self.stepped_at = self.now
        if self.stepped_at:
            halt = self.now - self.stepped_at
            self.longest_halt = max(self.longest_halt, halt)

    def _is_hit(self, event: Event) -> bool:
        """Let a fault happen at this event; tell if that was the event."""
        name = name_event(event)
        for hit in self.hits:
            if hit.step == name:
                self.hits.remove(hit)
                return Mishap(self, event).happen(hit.fault)
        return False


class Mishap:
    """One fault at one event of a group."""

    def __init__(self, group: FaultyGroup, event: Event) -> None:
        self.group = group
        self.event = event

    def happen(self, fault: str) -> bool:
        """Make it happen; tell if it used the event up."""
        match fault:
            case 'loss':
                self._lose()
            case 'delay' | 'reorder':
                self._hold(LONG if fault == 'delay' else 2)
            case 'duplicate' | 'fencing ignored':
                self._double()
            case _:
                self._strike(fault)
                return False
        return True

    def _strike(self, fault: str) -> None:
        leader = self.group.coordinator()
        member = self._choose_member(leader)
        victim = member if fault.endswith('member') else leader
        match fault:
            case 'one-way cut' | 'partition':
                self._cut(both=fault == 'partition')
            case 'kill coordinator' | 'kill member':
                self._kill(victim)
            case 'kill all':
                for process in self.group.members():
                    self._kill(process)
            case 'pause coordinator' | 'pause member':
                self._pause(victim)
            case 'engine replaced':
                self.group.engines.remove(member.engine)
                member.engine = self.group.new_engine(member.slot)
            case 'two coordinators':
                member.spawn(lead(member))
            case 'two agents':
                self.group.checker.one_process_per_slot = False
                address = f'h{len(self.group.processes)}'
                self.group.replace(member, member.engine, address)

    def _choose_member(self, leader: Process) -> Process:
        ends = [self._source(), self._target()]
        others = [each for each in self.group.members() if each is not leader]
        met = [each for each in others if each in ends]
        return (met or others)[0]

    def _source(self) -> Process:
        match self.event:
            case PendingRequest(sender=asker):
                return asker
            case PendingResponse(responder=answerer):
                return answerer
            case task:
                return self.group.task_owners[id(task)]

    def _target(self) -> Process | None:
        match self.event:
            case PendingRequest(address=address):
                return self.group.find(address)
            case PendingResponse(request=question):
                return question.sender
        return None

    def _lose(self) -> None:
        match self.event:
            case PendingRequest():
                self.group.requests.remove(self.event)
            case PendingResponse():
                self.group.responses.remove(self.event)
            case task:
                self.group.finish_order(task, 'lost')

    def _hold(self, events: int) -> None:
        event = self.event
        if isinstance(event, SteppedTask):
            self.group.finish_order(event, 'late')
            order = self.group.late_orders.pop()
            self.group.later.add(events, order.apply)
            return
        self._lose()
        self._send_later(events)

    def _send_later(self, events: int) -> None:
        match self.event:
            case PendingRequest() as question:
                self.group.later.add(
                    events, lambda: self.group.requests.append(question)
                )
            case PendingResponse() as reply:
                self.group.later.add(
                    events, lambda: self.group.responses.append(reply)
                )

    def _double(self) -> None:
        event = self.event
        if isinstance(event, SteppedTask):
            assert event.waiting is not None
            order = event.waiting.note
            self.group.finish_order(event, 'applied')
            self.group.later.add(LONG, order.apply)
            return
        self.group.deliver(event)
        self._send_later(LONG)

    def _cut(self, both: bool) -> None:
        source = self._source().slot
        cuts = {frozenset((source, other)) for other in range(SIZE)}
        ways = {(source, other) for other in range(SIZE)}
        if both:
            self.group.partitions |= cuts
            self.group.later.add(LONG, self.group.partitions.clear)
        else:
            self.group.one_way |= ways
            self.group.later.add(LONG, self.group.one_way.clear)

    def _kill(self, process: Process) -> None:
        self.group.kill(process)
        self.group.replace(process, process.engine, process.address)

    def _pause(self, process: Process) -> None:
        process.paused = True
        self.group.later.add(LONG, lambda: setattr(process, 'paused', False))


async def lead(process: Process) -> None:
    """Lead although it is not this member's turn."""
    await process.service._lead()


def name_event(event: Event) -> str:
    """Name the step that an event belongs to."""
    match event:
        case PendingRequest(body=body):
            question = decode_request(body)
            if isinstance(question, Extend) and question.members:
                return 'Form'
            return type(question).__name__
        case PendingResponse(body=body):
            return type(decode_response(body)).__name__
    assert event.waiting is not None
    name: str = event.waiting.note.name
    return name


class MapMachine(GroupMachine):
    """The machine's set-up and its end, around one chosen course."""

    # The wall clock would hide a step number that is too low.
    wall = False
    group_type = FaultyGroup
    group: FaultyGroup

    def go_on(self, events: int) -> None:
        for _ in range(events):
            self.group.run_event()
            self.forget_numbers()

    def change(self, hits: Hits) -> None:
        """Go through every step, with the faults."""
        group = self.group
        group.hits.extend(hits)
        for act in self._list_acts():
            act()
            self.go_on(2 * LONG)

    def _list_acts(self) -> Iterator[Any]:
        group = self.group
        newcomer = [m for m in group.members() if m is not group.coordinator()]
        yield lambda: self._offer_at(newcomer[-1])
        leader = group.coordinator()
        yield lambda: setattr(leader, 'paused', True)
        yield lambda: setattr(leader, 'paused', False)
        yield self._replace_first
        yield lambda: self._offer_at(group.members()[-1])

    def _offer_at(self, process: Process) -> None:
        self.revision += 1
        index = self.group.members().index(process)
        self.propose_layout(index, self.revision)

    def _replace_first(self) -> None:
        old = self.group.members()[0]
        self.group.kill(old)
        self.group.replace(old, old.engine, old.address)


def run(hits: Hits) -> str:
    """Run one cell."""
    machine = MapMachine()
    machine.set_up(None)
    if any(hit.fault == IGNORED for hit in hits):
        machine.group.ignore_fencing()
    machine.go_on(2 * LONG)
    machine.change(hits)
    missed = list(machine.group.hits)
    machine.group.hits.clear()
    machine.group.later.finish()
    machine.group.one_way.clear()
    machine.teardown()
    if missed:
        raise NotMet(missed)
    polls = machine.group.longest_halt / POLL_SECONDS
    return f'halted {polls:.0f} polls'


MAPS = Section('expert map', MESSAGES + ORDERS, FAULTS, PAIRED, run)
