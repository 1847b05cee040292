"""Map changes in a group of 129 ranks with message loss and delays."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
import pytest

from ospreyford.platform.standins.enginegroup import InconsistentMaps
from ospreyford.ports.clock import SystemClock
from ospreyford.rebalance.broadcast import TreeBroadcast, decode_relayed
from ospreyford.rebalance.coordinator import Change, Coordinator, Group
from ospreyford.rebalance.datagrams import Address
from ospreyford.rebalance.fanout import run_concurrently
from ospreyford.rebalance.group import Guard, Order, RankState
from ospreyford.rebalance.holdscheduler import HoldScheduler
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.mapdelta import build_initial_map
from ospreyford.rebalance.messages import (
    OrderRequest,
    OrderResponse,
    RelayedMessage,
    decode_member,
    encode,
)
from ospreyford.rebalance.orderexecutor import OrderExecutor
from ospreyford.rebalance.participant import RankParticipant
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.versions import FENCE_AUTHOR, encode_version
from tests.rebalance.fakegroup import FakeGroup
from tests.rebalance.test_narrow_links import NullMetrics
from tests.rebalance.test_tree import make_members

RANKS = 129
SETS = 2
INITIAL_MAP = build_initial_map(SETS, 2 * RANKS, RANKS)
#: Fractions of the datagrams that are lost, and that are delayed.
LOSS_RATE = 0.03
DELAY_RATE = 0.05
CHANGES = 3


@dataclass
class Engine:
    """Engine of a rank in the fake group."""

    group: FakeGroup
    rank: int

    async def read_state(self) -> RankState | None:
        return self.group.read_state(self.rank)

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        return self.group.execute(self.rank, order, guard)


@dataclass
class Network:
    """Agents connected by a lossy network with delays."""

    random: Random
    #: Agents whose datagrams are delayed until they resume.
    frozen: frozenset[int]
    group: FakeGroup = field(default_factory=lambda: FakeGroup(RANKS))
    link_bytes: float = float('inf')
    delayed: list[tuple[bytes, Address, Address]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.members = make_members(RANKS)
        for rank in self.group.ranks:
            rank.experts = INITIAL_MAP
        self.sockets = [FakeSocket(self, one) for one in self.members]
        self.ranks: GroupRanks | None = None

    def make_ranks(self, me: int) -> GroupRanks:
        datagram_socket: Any = self.sockets[me]
        engines = {
            address[0]: Engine(self.group, rank)
            for rank, address in enumerate(self.members)
        }
        member = RankParticipant(engines[self.members[me][0]], SystemClock())  # type: ignore[arg-type]
        ranks = GroupRanks(
            me,
            self.members[me][0],
            member,
            datagram_socket,
            engines.get,  # type: ignore[arg-type]
            SystemClock(),
            datagram_socket.broadcast,
        )
        ranks.maps.put(0, INITIAL_MAP)
        return ranks

    def report_all(self, ranks: GroupRanks) -> Group:
        for rank, address in enumerate(self.members):
            ranks.record_report(self.group.read_state(rank), address)
        return Group(self.group.epoch, tuple(range(RANKS)))

    async def deliver(
        self, datagram: bytes, sender: Address, receiver: Address
    ) -> None:
        drawn = self.random.random()
        rank = self.members.index(receiver)
        if rank in self.frozen or LOSS_RATE < drawn < LOSS_RATE + DELAY_RATE:
            self.delayed.append((datagram, sender, receiver))
        elif drawn >= LOSS_RATE:
            await self.sockets[rank].receive(datagram, sender)

    async def deliver_delayed(self) -> None:
        """Deliver delayed datagrams, also to frozen agents."""
        self.frozen = frozenset()
        delayed = list(self.delayed)
        self.delayed.clear()
        self.random.shuffle(delayed)
        for datagram, sender, receiver in delayed:
            rank = self.members.index(receiver)
            await self.sockets[rank].receive(datagram, sender)


class FakeSocket:
    """Socket of one agent."""

    def __init__(self, network: Network, address: Address) -> None:
        self.link_bytes = network.link_bytes
        self._network = network
        self._address = address
        rank = network.members.index(address)
        counter: Any = NullMetrics()
        counter.orders = counter
        datagram_socket: Any = self
        engine: Any = Engine(network.group, rank)
        member = RankParticipant(engine, SystemClock())
        self.order_executor = OrderExecutor(
            member, datagram_socket, counter, counter
        )
        self.order_executor.maps.put(0, INITIAL_MAP)
        self.broadcast = TreeBroadcast(address, datagram_socket)
        self.broadcast.members = network.members

    async def send(self, message: Any, address: Address) -> None:
        await self.send_paced(encode(message), address)

    async def send_paced(self, datagram: bytes, address: Address) -> None:
        await self._network.deliver(datagram, self._address, address)

    async def receive(self, datagram: bytes, sender: Address) -> None:
        message = decode_member(datagram)
        match message:
            case RelayedMessage():
                await self.broadcast.forward(message)
                request = decode_relayed(message)
                assert isinstance(request, OrderRequest)
                await self.order_executor.handle_request(
                    request, message.origin
                )
            case OrderRequest():
                await self.order_executor.handle_request(message, sender)
            case OrderResponse() if self._network.ranks is not None:
                order_client = self._network.ranks.order_client
                await order_client.handle_response(message, sender[0])


def swap_experts(experts: Any, rank: int) -> Any:
    """Swap the experts of two ranks."""
    other = rank + RANKS // 2
    return tuple(
        (
            *of_set[:rank],
            of_set[other],
            *of_set[rank + 1 : other],
            of_set[rank],
            *of_set[other + 1 :],
        )
        for of_set in experts
    )


async def run_passes(network: Network) -> None:
    while True:
        network.group.begin_pass()
        await curio.sleep(0.02)


async def run_changes(network: Network, leaders: Sequence[int]) -> list[Change]:
    passes = await curio.spawn(run_passes, network)
    maps: MapCache | None = None
    outcomes = []
    version = 1
    for index, me in enumerate(leaders):
        ranks = network.make_ranks(me)
        if maps is not None:
            ranks.maps = maps
        maps = ranks.maps
        network.ranks = ranks
        group = network.report_all(ranks)
        coordinator = Coordinator(
            me,
            index + 1,
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
            network.report_all(ranks)
        experts = swap_experts(in_force, index)
        version += 1
        number = encode_version(version, me)
        maps.put(number, experts)
        outcomes.append(await coordinator.change(group, number, experts))
        await network.deliver_delayed()
        await curio.sleep(0.05)
    await passes.cancel()
    assert not isinstance(passes.exception, InconsistentMaps)
    return outcomes


#: Agents frozen at first: none, inner ones, and many.
FROZEN = (
    frozenset[int](),
    frozenset((1, 12, 23)),
    frozenset(range(20, 40)),
)


@pytest.mark.parametrize('frozen', FROZEN, ids=len)
@pytest.mark.parametrize('seed', range(2))
def test_all_ranks_use_one_map_in_each_pass(
    seed: int, frozen: frozenset[int]
) -> None:
    """Guards against late orders of a replaced coordinator.

    The fake group raises if one pass uses two maps.
    """
    random = Random(seed)
    network = Network(random, frozen)
    leaders = random.sample(range(RANKS - 10), CHANGES)
    outcomes = curio.run(run_changes, network, leaders)
    assert outcomes[1:].count(Change.made) >= CHANGES - 2
