"""Map changes and load reports over links of low bandwidth."""

from __future__ import annotations

from random import Random
from typing import Any

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.rebalance.group import Done, ExpertMap, Prepare, Term
from ospreyford.rebalance.loads import (
    COMPRESSION_THRESHOLD_BYTES,
    QuantizedLoad,
)
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.mapdelta import apply_map_delta, compute_map_delta
from ospreyford.rebalance.messages import (
    EncodedOrder,
    OrderRequest,
    OrderResponse,
    decode_member,
    encode,
)
from ospreyford.rebalance.ordercodec import (
    decode_order,
    encode_map_change,
    resolve_map,
)
from ospreyford.rebalance.orderexecutor import OrderExecutor
from ospreyford.rebalance.planner import PlanLimits, Planner
from ospreyford.rebalance.ranks import GroupRanks
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import EMPTY_BROADCAST, make_state

RANKS = 72
SETS = 12
EXPERTS = 144
#: 4 Mbit/s.
LINK_BYTES_PER_SECOND = 500_000
ADDRESS = ('10.0.0.2', 7000)
TERM = Term(900, 1)


def make_map(shift: int = 0) -> ExpertMap:
    return tuple(
        tuple(
            tuple(
                sorted(
                    (rank + shift + RANKS * part) % EXPERTS for part in (0, 1)
                )
            )
            for rank in range(RANKS)
        )
        for _ in range(SETS)
    )


def change_experts(experts: ExpertMap, count: int) -> ExpertMap:
    random = Random(4)
    changed = [list(of_set) for of_set in experts]
    for _ in range(count):
        number, rank = random.randrange(SETS), random.randrange(RANKS)
        held = {*changed[number][rank], random.randrange(EXPERTS)}
        changed[number][rank] = tuple(sorted(held))
    return tuple(map(tuple, changed))


def test_map_change_fits_the_link() -> None:
    """Guards against sending full maps, which time out in large groups."""
    maps = MapCache()
    before = make_map()
    maps.put(1, before)
    order = Prepare(2, change_experts(before, 60))
    sizes = [
        RANKS * len(encode(OrderRequest(1, *TERM, frame)))
        for frame in encode_map_change(order, 1, maps)
    ]
    assert sizes[0] < 0.2 * LINK_BYTES_PER_SECOND < sizes[1]
    unknown, whole = encode_map_change(order, 77, maps)
    assert unknown is whole
    assert whole.experts == order.experts


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 200))
def test_applied_deltas_yield_the_new_map(count: int) -> None:
    before = make_map()
    after = change_experts(before, count)
    assert apply_map_delta(before, compute_map_delta(before, after)) == after


OUT_OF_RANGE_DELTAS = ((SETS, 0, ()), (0, RANKS, ()), (-1, 0, ()))


@pytest.mark.parametrize('part', OUT_OF_RANGE_DELTAS)
def test_out_of_range_deltas_are_rejected(part: tuple[Any, ...]) -> None:
    assert apply_map_delta(make_map(), (part,)) is None


class FakeMember:
    """Carries out each order immediately."""

    def __init__(self) -> None:
        self.orders: list[Any] = []

    async def carry_out(self, order: Any, term: Term) -> Any:
        self.orders.append(order)
        return Done(make_state())


class NullMetrics:
    """Stands in for the metrics and the log."""

    orders: Any = None

    def labels(self, *_: str) -> NullMetrics:
        return self

    def inc(self) -> None:
        """Ignore the increment."""

    def log_change(self, _: Any) -> None:
        """Ignore the event."""


class FakeSocket:
    """Connects the coordinator with an agent's order executor."""

    def __init__(self) -> None:
        self.link_bytes = float('inf')
        self.sent: list[bytes] = []
        self.ranks: Any = None
        self.order_executor: Any = None

    async def send_bytes(self, datagram: bytes, _: Any) -> None:
        self.sent.append(datagram)
        request = decode_member(datagram)
        assert isinstance(request, OrderRequest)
        await self.order_executor.handle_request(request, ADDRESS)

    async def send_paced(self, datagram: bytes, address: Any) -> None:
        await self.send_bytes(datagram, address)

    async def send(self, response: OrderResponse, _: Any) -> None:
        await self.ranks.order_client.handle_response(response, ADDRESS[0])


async def prepare(*, is_known: bool) -> tuple[Any, FakeSocket, FakeMember]:
    datagram_socket, member, counter = FakeSocket(), FakeMember(), NullMetrics()
    counter.orders = counter
    ranks = GroupRanks(
        0,
        '10.0.0.1',
        None,  # type: ignore[arg-type]
        datagram_socket,  # type: ignore[arg-type]
        lambda _: None,
        FakeClock(),
        EMPTY_BROADCAST,
    )
    order_executor = OrderExecutor(member, datagram_socket, counter, counter)  # type: ignore[arg-type]
    datagram_socket.ranks = ranks
    datagram_socket.order_executor = order_executor
    ranks.record_report(make_state(), ADDRESS)
    before = make_map()
    ranks.maps.put(make_state().version, before)
    if is_known:
        order_executor.maps.put(make_state().version, before)
    order = Prepare(4, change_experts(before, 20))
    outcome = await ranks.carry_out(1, order, TERM)
    assert member.orders == [order]
    return outcome, datagram_socket, member


@pytest.mark.parametrize(('is_known', 'request_count'), [(True, 1), (False, 2)])
def test_agent_without_base_map_receives_full_map(
    request_count: int, *, is_known: bool
) -> None:
    outcome, datagram_socket, _ = curio.run(lambda: prepare(is_known=is_known))
    assert isinstance(outcome, Done)
    assert len(datagram_socket.sent) == request_count


def test_received_base_map_is_reused_for_the_next_change() -> None:
    known, agent = MapCache(), MapCache()
    first = make_map()
    known.put(0, first)
    order = Prepare(9, change_experts(first, 30))
    short, whole = encode_map_change(order, 0, known)
    assert resolve_map(short, agent) is None
    for frame in (whole, short):
        read = resolve_map(frame, agent)
        assert read is not None
        assert decode_order(read) == order
    for version in range(10, 40):
        agent.put(version, order.experts)
    assert agent.get(0) == first


def test_delta_with_unknown_base_is_not_resolved() -> None:
    frame = EncodedOrder('Prepare', 4, 0, (), 3, ((0, 0, (1, 2)),))
    assert resolve_map(frame, MapCache()) is None
    whole = EncodedOrder('Prepare', 4, 0, make_map())
    read = resolve_map(whole, MapCache())
    assert read is not None
    assert decode_order(read) == Prepare(4, make_map())


def make_load() -> QuantizedLoad:
    random = Random(2)
    weights = [random.paretovariate(1.1) for _ in range(SETS * EXPERTS)]
    peak = max(weights)
    return QuantizedLoad(
        0.02, bytes(round(255 * one / peak) for one in weights)
    )


def test_compressed_load_is_close_to_the_original() -> None:
    shares = make_load()
    unpacked = shares.compress_large().decompress()
    assert unpacked is not None
    pairs = zip(shares.levels, unpacked.levels, strict=True)
    assert max(abs(one - other) for one, other in pairs) <= 9


def test_small_load_is_not_compressed() -> None:
    shares = QuantizedLoad(1, bytes(COMPRESSION_THRESHOLD_BYTES - 1))
    assert shares.compress_large() is shares
    assert shares.decompress() is shares


def test_undecompressable_load_is_rejected() -> None:
    assert (
        QuantizedLoad(1, b'\x00\x01', is_compressed=True).decompress() is None
    )


def test_planning_stops_at_its_time_limit() -> None:
    """Guards against planning so long that an election starts."""
    looks = 0

    def is_over() -> bool:
        nonlocal looks
        looks += 1
        return looks > 30

    random = Random(1)
    loads = [
        [random.paretovariate(1) for _ in range(EXPERTS)] for _ in range(SETS)
    ]
    limits = PlanLimits(3, 2, 2, 0.03, 0.0001)
    plan = Planner(loads, make_map(), limits, (), is_over).plan()
    assert plan is not None
    assert plan.after < plan.before
    assert looks == 31
