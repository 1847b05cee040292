"""Fakes around the host list: a platform, members, time."""

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


def make_host(name: str = 'a', life: int = 1, **fields: Any) -> Host:
    host = Host(
        name=name,
        instance=f'i{life}',
        role='backend',
        zone='z',
        region='r',
        service='s',
        data_address=f'{name}.{life}:1',
        peer_address=f'{name}.{life}:2',
        labels={'life': str(life)},
    )
    return host._replace(**fields)


class Fleet:
    """What membership would tell; ``wakes`` and ``many`` as set."""

    def __init__(self) -> None:
        self.records: dict[str, tuple[Member, MemberState]] = {}
        self.paused = 0
        self.many = False

    def hear(
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

    def wakes(self) -> int:
        return self.paused

    def lacks_many(self) -> bool:
        return self.many


class Platform:
    """The host list under the test's control."""

    async def read(self) -> Any:
        return await park('read')


class Reading(NamedTuple):
    """A process that reads at times, and what it was told."""

    reader: HostReader
    readings: Readings
    told: list[Any]


class World:
    """A fleet of which one or more processes' readers run here."""

    def __init__(self, size: int) -> None:
        self.clock = FakeClock()
        self.fleet = Fleet()
        self.hosts = [make_host(f'h{number}') for number in range(size)]
        for host in self.hosts:
            self.fleet.hear(host)
        self.stepper = Stepper()

    def start(self, host: Host) -> Reading:
        member = self.fleet.find(host.name)
        assert member is not None
        rng = random.Random(host.name)
        readings = Readings(self.clock)
        told: list[Any] = []
        reader = HostReader(
            Platform(),
            told.append,
            Neighbours(member, self.fleet, rng),
            readings,
            self.fleet,
            self.clock,
            rng,
        )
        return Reading(reader, readings, told)

    def step(self, reading: Reading, answer: Any = None) -> bool:
        """Run one step; tell whether it read, and move time to its next."""
        task = self.stepper.spawn('step', reading.reader.step())
        assert task.waiting
        did_read = task.waiting.kind == 'read'
        if did_read:
            self.stepper.resume(task, answer)
        assert task.waiting
        self.clock.advance(task.waiting.note)
        self.stepper.resume(task)
        return did_read
