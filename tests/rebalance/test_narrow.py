"""Groups of many ranks whose agents have narrow links."""

from __future__ import annotations

from random import Random
from typing import Any

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.rebalance.frames import pack_change, read_map, unpack_order
from ospreyford.rebalance.group import Done, ExpertMap, Prepare, Term
from ospreyford.rebalance.loads import LARGE_BYTES, Shares
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.mapdelta import apply_map_delta, compute_map_delta
from ospreyford.rebalance.messages import (
    Ask,
    OrderFrame,
    Tell,
    decode,
    encode,
)
from ospreyford.rebalance.orderdesk import OrderDesk
from ospreyford.rebalance.planner import PlanLimits, Planner
from ospreyford.rebalance.ranks import GroupRanks
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import NO_RELAYS, make_state

RANKS = 72
SETS = 12
EXPERTS = 144
#: What a link of 4 Mbit/s carries, in bytes a second.
LINK = 500_000
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


def move_some(experts: ExpertMap, count: int) -> ExpertMap:
    random = Random(4)
    changed = [list(of_set) for of_set in experts]
    for _ in range(count):
        number, rank = random.randrange(SETS), random.randrange(RANKS)
        held = {*changed[number][rank], random.randrange(EXPERTS)}
        changed[number][rank] = tuple(sorted(held))
    return tuple(map(tuple, changed))


def test_a_change_of_maps_fits_the_link() -> None:
    """No map ever came into force in a group of 72 ranks.

    Symptom: every change ended as not prepared, one coordinator followed the
    other. Sequence: the map goes to the agent of each rank, some five kilobytes
    72 times over a link of 4 Mbit/s, and again after 30 ms. Cause: each order
    held the whole map.
    """
    maps = MapCache()
    before = make_map()
    maps.put(1, before)
    order = Prepare(2, move_some(before, 60))
    sizes = [
        RANKS * len(encode(Ask(1, *TERM, frame)))
        for frame in pack_change(order, 1, maps)
    ]
    assert sizes[0] < 0.2 * LINK < sizes[1]
    unknown, whole = pack_change(order, 77, maps)
    assert unknown is whole
    assert whole.experts == order.experts


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 200))
def test_parts_make_the_same_map(count: int) -> None:
    before = make_map()
    after = move_some(before, count)
    assert apply_map_delta(before, compute_map_delta(before, after)) == after


OTHER_PARTS = ((SETS, 0, ()), (0, RANKS, ()), (-1, 0, ()))


@pytest.mark.parametrize('part', OTHER_PARTS)
def test_parts_of_another_group_are_refused(part: tuple[Any, ...]) -> None:
    assert apply_map_delta(make_map(), (part,)) is None


class Member:
    """Carries out each order at once."""

    def __init__(self) -> None:
        self.orders: list[Any] = []

    async def carry_out(self, order: Any, term: Term) -> Any:
        self.orders.append(order)
        return Done(make_state())


class Counter:
    """Takes the place of a counter and of the log."""

    orders: Any = None

    def labels(self, *_: str) -> Counter:
        return self

    def inc(self) -> None:
        """Count nothing."""

    def log_change(self, _: Any) -> None:
        """Log nothing."""


class Wire:
    """Carries questions to an agent's desk and its answers back."""

    def __init__(self) -> None:
        self.link_bytes = float('inf')
        self.questions: list[bytes] = []
        self.ranks: Any = None
        self.desk: Any = None

    async def send_bytes(self, datagram: bytes, _: Any) -> None:
        self.questions.append(datagram)
        ask = decode(datagram)
        assert isinstance(ask, Ask)
        await self.desk.take(ask, ADDRESS)

    async def send_paced(self, datagram: bytes, address: Any) -> None:
        await self.send_bytes(datagram, address)

    async def send(self, answer: Tell, _: Any) -> None:
        await self.ranks.questions.note_answer(answer, ADDRESS[0])


async def prepare(*, is_known: bool) -> tuple[Any, Wire, Member]:
    wire, member, counter = Wire(), Member(), Counter()
    counter.orders = counter
    ranks = GroupRanks(
        0,
        '10.0.0.1',
        None,  # type: ignore[arg-type]
        wire,  # type: ignore[arg-type]
        lambda _: None,
        FakeClock(),
        NO_RELAYS,
    )
    desk = OrderDesk(member, wire, counter, counter)  # type: ignore[arg-type]
    wire.ranks = ranks
    wire.desk = desk
    ranks.note_report(make_state(), ADDRESS)
    before = make_map()
    ranks.maps.put(make_state().version, before)
    if is_known:
        desk.maps.put(make_state().version, before)
    order = Prepare(4, move_some(before, 20))
    outcome = await ranks.carry_out(1, order, TERM)
    assert member.orders == [order]
    return outcome, wire, member


@pytest.mark.parametrize(('is_known', 'questions'), [(True, 1), (False, 2)])
def test_an_agent_without_the_base_gets_the_whole_map(
    questions: int, *, is_known: bool
) -> None:
    outcome, wire, _ = curio.run(lambda: prepare(is_known=is_known))
    assert isinstance(outcome, Done)
    assert len(wire.questions) == questions


def test_a_map_that_came_along_is_known_for_the_next_change() -> None:
    known, agent = MapCache(), MapCache()
    first = make_map()
    known.put(0, first)
    order = Prepare(9, move_some(first, 30))
    short, whole = pack_change(order, 0, known)
    assert read_map(short, agent) is None
    for frame in (whole, short):
        read = read_map(frame, agent)
        assert read is not None
        assert unpack_order(read) == order
    for version in range(10, 40):
        agent.put(version, order.experts)
    assert agent.get(0) == first


def test_a_frame_without_its_base_says_so() -> None:
    frame = OrderFrame('Prepare', 4, 0, (), 3, ((0, 0, (1, 2)),))
    assert read_map(frame, MapCache()) is None
    whole = OrderFrame('Prepare', 4, 0, make_map())
    read = read_map(whole, MapCache())
    assert read is not None
    assert unpack_order(read) == Prepare(4, make_map())


def make_shares() -> Shares:
    random = Random(2)
    weights = [random.paretovariate(1.1) for _ in range(SETS * EXPERTS)]
    peak = max(weights)
    return Shares(0.02, bytes(round(255 * one / peak) for one in weights))


def test_packed_shares_are_nearly_the_same() -> None:
    shares = make_shares()
    unpacked = shares.pack_large().unpack()
    assert unpacked is not None
    pairs = zip(shares.chosen, unpacked.chosen, strict=True)
    assert max(abs(one - other) for one, other in pairs) <= 9


def test_small_shares_go_as_they_are() -> None:
    shares = Shares(1, bytes(LARGE_BYTES - 1))
    assert shares.pack_large() is shares
    assert shares.unpack() is shares


def test_shares_that_are_no_bytes_of_ours_are_left_out() -> None:
    assert Shares(1, b'\x00\x01', is_packed=True).unpack() is None


def test_a_plan_ends_with_its_time() -> None:
    """Another coordinator began while the first one planned for 1.9 s."""
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
