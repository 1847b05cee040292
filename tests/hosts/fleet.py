"""Fakes of the platform, membership and time for host list tests."""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from ospreyford.distribution.members import Neighbours
from ospreyford.hosts.reader import HostReader
from ospreyford.hosts.readings import Readings
from ospreyford.membership.member import Member, MemberState
from ospreyford.ports.fleet import Host
from tests.fakes.clock import FakeClock
from tests.fakes.stepping import Stepper, park


def make_host(name: str = 'a', generation: int = 1, **fields: Any) -> Host:
    host = Host(
        name=name,
        instance=f'i{generation}',
        role='backend',
        zone='z',
        region='r',
        service='s',
        data_address=f'{name}.{generation}:1',
        peer_address=f'{name}.{generation}:2',
        labels={'life': str(generation)},
    )
    return host._replace(**fields)


class FakeMembership:
    """Membership and read triggers set by the test."""

    def __init__(self) -> None:
        self.records: dict[str, tuple[Member, MemberState]] = {}
        self.pause_count = 0
        self.many_missing = False

    def record_member(
        self,
        host: Host,
        state: MemberState = MemberState.live,
        incarnation: str = '1',
    ) -> None:
        member = Member(*host[:8], incarnation=incarnation)
        self.records[host.name] = (member, state)

    def members(self) -> list[Member]:
        shown = {MemberState.live, MemberState.suspect}
        return [one for one, state in self.records.values() if state in shown]

    def find(self, name: str) -> Member | None:
        return self.records[name][0] if name in self.records else None

    def state_of(self, name: str) -> MemberState | None:
        return self.records[name][1] if name in self.records else None

    def count_pauses(self) -> int:
        return self.pause_count

    def has_many_missing(self) -> bool:
        return self.many_missing


class Platform:
    """A host list answered by the test."""

    async def read(self) -> Any:
        return await park('read')


class ReaderProcess(NamedTuple):
    """A host list reader and the lists that it received."""

    reader: HostReader
    readings: Readings
    received: list[Any]


class World:
    """A fleet in which one or more readers run."""

    def __init__(self, size: int) -> None:
        self.clock = FakeClock()
        self.membership = FakeMembership()
        self.hosts = [make_host(f'h{number}') for number in range(size)]
        for host in self.hosts:
            self.membership.record_member(host)
        self.stepper = Stepper()

    def start(self, host: Host) -> ReaderProcess:
        member = self.membership.find(host.name)
        assert member is not None
        rng = random.Random(host.name)
        readings = Readings(self.clock)
        received: list[Any] = []
        reader = HostReader(
            Platform(),
            received.append,
            Neighbours(member, self.membership, rng),
            readings,
            self.membership,
            self.clock,
            rng,
        )
        return ReaderProcess(reader, readings, received)

    def run_step(self, process: ReaderProcess, answer: Any = None) -> bool:
        """Run one step, advance to the next one and return whether it read."""
        task = self.stepper.spawn('step', process.reader.run_once())
        assert task.waiting
        did_read = task.waiting.kind == 'read'
        if did_read:
            self.stepper.resume(task, answer)
        assert task.waiting
        self.clock.advance(task.waiting.note)
        self.stepper.resume(task)
        return did_read
