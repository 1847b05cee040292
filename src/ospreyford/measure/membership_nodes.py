"""Real members in one process, for the measurement of their traffic."""

from __future__ import annotations

import random
import time
from multiprocessing.connection import Connection
from typing import Final, NamedTuple

import curio

from ospreyford.membership.member import (
    Member,
    MemberState,
    generate_incarnation,
)
from ospreyford.membership.service import Membership
from ospreyford.membership.settings import MembershipSettings
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import Host

ZONES: Final = 3
#: Seconds from the start after which the unknown members are counted.
LOOKS: Final = (10, 20, 30, 45, 60)
#: What is used before this look is of the start, after it at rest.
WARM_SECONDS: Final = 30
MEASURED_SECONDS: Final = 30
#: Like a digest of the configuration and a load report.
ATTACHED_BYTES: Final = 100
MILLISECONDS: Final = 1000


class Usage(NamedTuple):
    """What the members of one process used, or a difference of two."""

    processor_seconds: float
    envelope_bytes: int
    messages: int
    connections_opened: int
    connections: int
    wrong_states: int

    def since(self, before: Usage) -> Usage:
        """Subtract an earlier reading.

        :param before: the earlier reading.
        :returns: what was used since; counts of now stay.
        """
        return Usage(
            self.processor_seconds - before.processor_seconds,
            self.envelope_bytes - before.envelope_bytes,
            self.messages - before.messages,
            self.connections_opened - before.connections_opened,
            self.connections,
            self.wrong_states,
        )

    def each(self, members: int) -> list[float]:
        """Divide by members and seconds.

        :param members: how many used this together.
        :returns: bytes, messages, processor milliseconds a second, then
            connections, connections opened a second, wrong states in all.
        """
        divisor = members * MEASURED_SECONDS
        return [
            self.envelope_bytes / divisor,
            self.messages / divisor,
            self.processor_seconds / divisor * MILLISECONDS,
            self.connections / members,
            self.connections_opened / divisor,
            self.wrong_states,
        ]


class NodeRunner:
    """Some members of the fleet, in this process.

    :param first: number of the first member.
    :param count: how many.
    """

    def __init__(self, first: int, count: int) -> None:
        self._clock = SystemClock()
        self._rng = random.Random(first)
        self._numbers = range(first, first + count)
        self._nodes: list[PeerNode] = []
        self._memberships: list[Membership] = []
        self._incarnations = [
            generate_incarnation(self._clock, self._rng) for _ in self._numbers
        ]

    async def start(self) -> list[Host]:
        """Bind all nodes.

        :returns: the hosts to list.
        """
        self._nodes = [
            PeerNode(PeerSettings(address='127.0.0.1:0'), incarnation)
            for incarnation in self._incarnations
        ]
        async with curio.TaskGroup() as group:
            waiting = list(self._nodes)
            while waiting:
                await group.spawn(waiting.pop().start)
        return [
            _host(number, node.address)
            for number, node in zip(self._numbers, self._nodes, strict=True)
        ]

    async def run(self, hosts: list[Host]) -> list[Usage]:
        """Run all members and read what they use.

        :param hosts: all hosts of the fleet.
        :returns: what was used since the start, at each of ``LOOKS``.
        """
        began = self._clock.monotonic()
        waiting = list(zip(self._numbers, self._nodes, strict=True))
        while waiting:
            number, node = waiting.pop()
            await curio.spawn(self._member(number, node, hosts), daemon=True)
        before = self._usage()
        used: list[Usage] = []
        for seconds in LOOKS:
            await curio.sleep(seconds - self._clock.monotonic() + began)
            used.append(self._usage().since(before))
        await curio.sleep(2)  # others still measure
        return used

    async def _member(
        self,
        number: int,
        node: PeerNode,
        hosts: list[Host],
    ) -> None:
        incarnation = self._incarnations[number - self._numbers.start]
        me = Member(*hosts[number][:8], incarnation=incarnation)
        membership = Membership(
            MembershipSettings(),
            me,
            node,
            self._clock,
            random.Random(number),
        )
        self._memberships.append(membership)
        membership.attach('load', _attachment, _ignore)
        membership.handle_hosts(hosts)
        # Members of a real fleet do not start at the same moment.
        await curio.sleep(self._rng.uniform(0, 1))
        await membership.run()

    def _usage(self) -> Usage:
        topics = [
            counters
            for node in self._nodes
            for counters in node.counters.topics.values()
        ]
        return Usage(
            time.process_time(),
            sum(node.counters.total_bytes() for node in self._nodes),
            sum(each.sent_messages + each.received_messages for each in topics),
            sum(node.counters.opened for node in self._nodes),
            sum(node.count_connections() for node in self._nodes),
            sum(map(_count_wrong, self._memberships)),
        )


def run_worker(pipe: Connection, first: int, count: int) -> None:
    """Run members in this process, told by the parent.

    :param pipe: sends own hosts, receives all hosts, sends the usage.
    :param first: number of the first member.
    :param count: how many.
    """
    curio.run(_work, pipe, NodeRunner(first, count))


async def _work(pipe: Connection, runner: NodeRunner) -> None:
    pipe.send(await runner.start())
    pipe.send(await runner.run(pipe.recv()))


def _host(number: int, address: str) -> Host:
    zone = number % ZONES
    return Host(
        name=f'host-{number}',
        instance=f'i-{number}',
        role='backend',
        zone=f'zone-{zone}',
        region='region',
        service='drafting',
        data_address=address,
        peer_address=address,
    )


def _attachment() -> bytes:
    return bytes(ATTACHED_BYTES)


def _ignore(_address: str, _content: bytes) -> None:
    """Take an attachment and do nothing with it."""


def _count_wrong(membership: Membership) -> int:
    return sum(
        membership.state_of(member.name) is not MemberState.live
        or not member.incarnation
        for member in membership.members()
    )
