"""Changes of maps in a group of 129 ranks, with lost and late agents."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
import pytest

from ospreyford.ports.clock import SystemClock
from ospreyford.rebalance.coordinator import Change, Coordinator, Group
from ospreyford.rebalance.fanout import run_concurrently
from ospreyford.rebalance.group import Guard, Order, RankState
from ospreyford.rebalance.holdscheduler import HoldScheduler
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.mapdelta import build_initial_map
from ospreyford.rebalance.messages import Ask, Passed, Tell, decode, encode
from ospreyford.rebalance.orderdesk import OrderDesk
from ospreyford.rebalance.participant import RankParticipant
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.post import Address
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.relays import Relays, unpack
from ospreyford.rebalance.versions import FENCE_AUTHOR, encode_version
from tests.rebalance.fakegroup import FakeGroup, InconsistentMaps
from tests.rebalance.test_narrow import Counter
from tests.rebalance.test_tree import make_members

RANKS = 129
SETS = 2
FIRST = build_initial_map(SETS, 2 * RANKS, RANKS)
#: Part of the datagrams that are lost, and that arrive later.
LOST = 0.03
LATE = 0.05
CHANGES = 3


@dataclass
class Engine:
    """A rank of the fake group, beside its agent or from afar."""

    group: FakeGroup
    rank: int

    async def read_state(self) -> RankState | None:
        return self.group.read_state(self.rank)

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        return self.group.execute(self.rank, order, guard)


@dataclass
class Network:
    """All agents, and the datagrams between them, some lost or late."""

    random: Random
    #: Agents that pass nothing on until they are back.
    frozen: frozenset[int]
    group: FakeGroup = field(default_factory=lambda: FakeGroup(RANKS))
    link_bytes: float = float('inf')
    late: list[tuple[bytes, Address, Address]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.members = make_members(RANKS)
        for rank in self.group.ranks:
            rank.experts = FIRST
        self.posts = [Wire(self, one) for one in self.members]
        self.ranks: GroupRanks | None = None

    def make_ranks(self, me: int) -> GroupRanks:
        post: Any = self.posts[me]
        engines = {
            address[0]: Engine(self.group, rank)
            for rank, address in enumerate(self.members)
        }
        member = RankParticipant(engines[self.members[me][0]], SystemClock())  # type: ignore[arg-type]
        ranks = GroupRanks(
            me,
            self.members[me][0],
            member,
            post,
            engines.get,  # type: ignore[arg-type]
            SystemClock(),
            post.relays,
        )
        ranks.maps.put(0, FIRST)
        return ranks

    def look(self, ranks: GroupRanks) -> Group:
        for rank, address in enumerate(self.members):
            ranks.note_report(self.group.read_state(rank), address)
        return Group(self.group.epoch, tuple(range(RANKS)))

    async def deliver(
        self, datagram: bytes, sender: Address, receiver: Address
    ) -> None:
        drawn = self.random.random()
        rank = self.members.index(receiver)
        if rank in self.frozen or LOST < drawn < LOST + LATE:
            self.late.append((datagram, sender, receiver))
        elif drawn >= LOST:
            await self.posts[rank].receive(datagram, sender)

    async def deliver_late(self) -> None:
        """Have what is late arrive, also at agents that were frozen."""
        self.frozen = frozenset()
        late = list(self.late)
        self.late.clear()
        self.random.shuffle(late)
        for datagram, sender, receiver in late:
            rank = self.members.index(receiver)
            await self.posts[rank].receive(datagram, sender)


class Wire:
    """The datagrams of one agent."""

    def __init__(self, network: Network, address: Address) -> None:
        self.link_bytes = network.link_bytes
        self._network = network
        self._address = address
        rank = network.members.index(address)
        counter: Any = Counter()
        counter.orders = counter
        post: Any = self
        engine: Any = Engine(network.group, rank)
        member = RankParticipant(engine, SystemClock())
        self.desk = OrderDesk(member, post, counter, counter)
        self.desk.maps.put(0, FIRST)
        self.relays = Relays(address, post)
        self.relays.members = network.members

    async def send(self, message: Any, address: Address) -> None:
        await self.send_paced(encode(message), address)

    async def send_paced(self, datagram: bytes, address: Address) -> None:
        await self._network.deliver(datagram, self._address, address)

    async def receive(self, datagram: bytes, sender: Address) -> None:
        message = decode(datagram)
        match message:
            case Passed():
                await self.relays.pass_on(message)
                inner = unpack(message)
                assert isinstance(inner, Ask)
                await self.desk.take(inner, message.origin)
            case Ask():
                await self.desk.take(message, sender)
            case Tell() if self._network.ranks is not None:
                questions = self._network.ranks.questions
                await questions.note_answer(message, sender[0])


def move(experts: Any, turn: int) -> Any:
    """Exchange what two ranks hold."""
    other = turn + RANKS // 2
    return tuple(
        (
            *of_set[:turn],
            of_set[other],
            *of_set[turn + 1 : other],
            of_set[turn],
            *of_set[other + 1 :],
        )
        for of_set in experts
    )


async def make_passes(network: Network) -> None:
    while True:
        network.group.begin_pass()
        await curio.sleep(0.02)


async def walk(network: Network, leaders: Sequence[int]) -> list[Change]:
    passes = await curio.spawn(make_passes, network)
    maps: MapCache | None = None
    outcomes = []
    version = 1
    for turn, me in enumerate(leaders):
        ranks = network.make_ranks(me)
        if maps is not None:
            ranks.maps = maps
        maps = ranks.maps
        network.ranks = ranks
        group = network.look(ranks)
        coordinator = Coordinator(
            me,
            turn + 1,
            ranks,
            run_concurrently,
            SystemClock(),
            HoldScheduler(),
        )
        in_force = network.group.ranks[me].experts
        states = ranks.read_states().values()
        version += 1
        if any(one.held is not None or one.armed for one in states):
            fence = encode_version(version, FENCE_AUTHOR)
            await coordinator.settle(group, fence, in_force)
            network.look(ranks)
        experts = move(in_force, turn)
        version += 1
        number = encode_version(version, me)
        maps.put(number, experts)
        outcomes.append(await coordinator.change(group, number, experts))
        await network.deliver_late()
        await curio.sleep(0.05)
    await passes.cancel()
    assert not isinstance(passes.exception, InconsistentMaps)
    return outcomes


#: Agents that are frozen at first: none, inner ones, and many.
FROZEN = (
    frozenset[int](),
    frozenset((1, 12, 23)),
    frozenset(range(20, 40)),
)


@pytest.mark.parametrize('frozen', FROZEN, ids=len)
@pytest.mark.parametrize('seed', range(2))
def test_all_ranks_have_one_map_in_each_pass(
    seed: int, frozen: frozenset[int]
) -> None:
    """Two maps in one pass: an order that a late agent passed on.

    Some datagrams are lost or late, inner agents pass an order on when the next
    coordinator is at work already. The fake group raises at a mixed pass.
    """
    random = Random(seed)
    network = Network(random, frozen)
    leaders = random.sample(range(RANKS - 10), CHANGES)
    outcomes = curio.run(walk, network, leaders)
    assert outcomes[1:].count(Change.made) >= CHANGES - 2
