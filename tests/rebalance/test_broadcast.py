"""Broadcast of messages and aggregation of loads along the tree."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.rebalance.broadcast import TreeBroadcast, decode_relayed
from ospreyford.rebalance.datagrams import Address
from ospreyford.rebalance.group import Prepare
from ospreyford.rebalance.loadaggregator import (
    PARTIAL_LOAD_TTL_SECONDS,
    LoadAggregator,
)
from ospreyford.rebalance.loads import QuantizedLoad, sum_loads
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.mapdelta import build_initial_map
from ospreyford.rebalance.messages import (
    CoordinatorHeartbeat,
    OrderRequest,
    OrderResponse,
    PartialLoad,
    RelayedMessage,
    decode_member,
)
from ospreyford.rebalance.ordercodec import encode_map_change, resolve_map
from ospreyford.rebalance.ranks import GroupRanks
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import TERM, make_state
from tests.rebalance.test_tree import make_members

HEARTBEAT = CoordinatorHeartbeat(1, ('10.1.0.30', 7340), 0)


class Network:
    """Agents that forward messages; some of them have failed."""

    def __init__(self, size: int, lost: tuple[int, ...] = ()) -> None:
        self.members = make_members(size)
        self.lost = {self.members[one] for one in lost}
        self.received: list[tuple[Address, Any]] = []
        self.sent = 0
        self.agents = {one: TreeBroadcast(one, self) for one in self.members}  # type: ignore[arg-type]
        for agent in self.agents.values():
            agent.members = self.members

    async def send_paced(self, datagram: bytes, address: Address) -> None:
        self.sent += 1
        if address in self.lost:
            return
        passed = decode_member(datagram)
        assert isinstance(passed, RelayedMessage)
        self.received.append((address, decode_relayed(passed)))
        await self.agents[address].forward(passed)


@pytest.mark.parametrize('size', [1, 2, 13, 14, 129, 200])
def test_broadcast_reaches_each_agent_once(size: int) -> None:
    network = Network(size)
    root = network.members[size // 3]
    curio.run(network.agents[root].broadcast, HEARTBEAT, 5)
    reached = [address for address, _ in network.received]
    assert sorted([root, *reached]) == list(network.members)
    assert all(message == HEARTBEAT for _, message in network.received)


def test_lost_agent_blocks_others_in_few_rotations() -> None:
    """Guards against elections started by agents below a failed one."""
    network = Network(129, lost=(40, 90))
    heard: dict[Address, int] = dict.fromkeys(network.members, 0)
    for turn in range(24):
        network.received.clear()
        curio.run(network.agents[network.members[0]].broadcast, HEARTBEAT, turn)
        for address, _ in network.received:
            heard[address] += 1
    sound = set(network.members[1:]) - network.lost
    # Two of 128 agents have failed; one of eleven agents is an inner one.
    assert min(heard[one] for one in sound) >= 20


def test_large_message_is_compressed() -> None:
    network = Network(20)
    experts = build_initial_map(16, 258, 129)
    maps = MapCache()
    whole, _ = encode_map_change(Prepare(2, experts), 1, maps)
    ask = OrderRequest(1, *TERM, whole)
    curio.run(network.agents[network.members[0]].broadcast, ask, 0)
    assert [message for _, message in network.received] == [ask] * 19


RELAYED = RelayedMessage(('10.1.0.30', 7340), 0, 0, 3, b'')
MALFORMED_PAYLOADS = (b'', b'\x00\x01', b'\xff')


@pytest.mark.parametrize('payload', MALFORMED_PAYLOADS)
@pytest.mark.parametrize('is_packed', [True, False])
def test_malformed_payload_is_dropped(
    payload: bytes, *, is_packed: bool
) -> None:
    passed = RelayedMessage(RELAYED.origin, 0, 0, 3, payload, is_packed)
    assert decode_relayed(passed) is None


def test_out_of_range_subtree_is_not_forwarded() -> None:
    network = Network(5)
    passed = RelayedMessage(network.members[0], 1, 90, 200, b'')
    curio.run(network.agents[network.members[1]].forward, passed)
    assert not network.sent


def test_delta_of_another_initial_map_is_not_resolved() -> None:
    """Guards against different maps under one version."""
    mine, theirs = MapCache(), MapCache()
    first = build_initial_map(2, 6, 3)
    other = tuple(tuple(reversed(of_set)) for of_set in first)
    theirs.put(0, first)
    mine.put(0, other)
    changed = (other[0], first[1])
    order = Prepare(7, changed)
    short, whole = encode_map_change(order, 0, theirs)
    assert resolve_map(short, mine) is None
    read = resolve_map(whole, mine)
    assert read is not None
    assert read.experts == changed


def make_partial_load(
    value: int, rotation: int = 0, age_ms: int = 0
) -> PartialLoad:
    return PartialLoad(
        rotation, 1, QuantizedLoad(1, bytes((value, 2 * value))), age_ms
    )


def test_loads_are_aggregated_along_the_tree() -> None:
    clock = FakeClock()
    inner, root = LoadAggregator(clock), LoadAggregator(clock)
    for number in (1, 2, 3):
        inner.record(f'h{number}', make_partial_load(number, age_ms=100))
    part = inner.aggregate(QuantizedLoad(1, bytes((4, 8))), clock.monotonic())
    assert part.rank_count == 4
    assert part.age_ms >= 99
    root.record('inner', part)
    assert root.count_ranks() == 4
    assert [round(one) for one in sum_loads(root.list_loads())] == [10, 20]


def test_stale_loads_and_other_rotations_are_excluded() -> None:
    """Guards against counting a rank twice after a rotation."""
    clock = FakeClock()
    sums = LoadAggregator(clock)
    assert sums.record('a', make_partial_load(1))
    assert not sums.record('b', make_partial_load(1, rotation=1))
    sums.switch_rotation(1)
    assert not sums.list_loads()
    assert sums.record('b', make_partial_load(1, rotation=1))
    clock.advance(PARTIAL_LOAD_TTL_SECONDS + 0.1)
    assert not sums.count_ranks()


class FakeAgents:
    """Agents of a small group, one of which receives no broadcast."""

    def __init__(self, unreachable: int) -> None:
        self.link_bytes = float('inf')
        self.unreached = unreachable
        self.members = make_members(6)
        self.direct_requests: list[tuple[Address, OrderRequest]] = []
        self.ranks: Any = None

    async def send_paced(self, datagram: bytes, address: Address) -> None:
        message = decode_member(datagram)
        is_spread = isinstance(message, RelayedMessage)
        if isinstance(message, RelayedMessage):
            request = decode_relayed(message)
        else:
            request = message
        assert isinstance(request, OrderRequest)
        rank = self.members.index(address)
        if is_spread and rank == self.unreached:
            return
        if not is_spread:
            self.direct_requests.append((address, request))
        is_known = is_spread or bool(request.order.deltas)
        outcome = 'Done' if is_known else 'UnknownBase'
        state = (
            make_state(rank)._replace(size=6, prepared=9) if is_known else None
        )
        await self.ranks.order_client.handle_response(
            OrderResponse(request.request_id, outcome, state), address[0]
        )


async def prepare_all(unreached: int) -> tuple[FakeAgents, list[Any]]:
    agents = FakeAgents(unreached)
    broadcast = TreeBroadcast(agents.members[0], agents)  # type: ignore[arg-type]
    broadcast.members = agents.members
    ranks = GroupRanks(
        0,
        agents.members[0][0],
        None,  # type: ignore[arg-type]
        agents,  # type: ignore[arg-type]
        lambda _: None,
        FakeClock(),
        broadcast,
    )
    agents.ranks = ranks
    first = build_initial_map(2, 12, 6)
    ranks.maps.put(make_state().version, first)
    for rank, address in enumerate(agents.members):
        ranks.record_report(make_state(rank)._replace(size=6), address)
    changed = tuple(reversed(first[0]))
    order = Prepare(9, (changed, first[1]))
    await ranks.broadcast(order, TERM)
    outcomes = [
        await ranks.carry_out(rank, order, TERM) for rank in range(1, 6)
    ]
    return agents, outcomes


def test_unreached_agent_receives_the_order_directly() -> None:
    """Guards against sending the map again to agents that have it.

    The first direct request has no deltas; only an unreached agent needs them.
    """
    agents, outcomes = curio.run(prepare_all, 3)
    assert [type(one).__name__ for one in outcomes] == ['Done'] * 5
    asked = [bool(ask.order.deltas) for _, ask in agents.direct_requests]
    assert {address for address, _ in agents.direct_requests} == {
        agents.members[3]
    }
    assert asked == [False, True]
