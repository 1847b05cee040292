"""Messages that travel down the tree, and loads that are summed up in it."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.rebalance.frames import pack_change, read_map
from ospreyford.rebalance.group import Prepare
from ospreyford.rebalance.loads import Shares, add_shares
from ospreyford.rebalance.loadsums import KEPT_SECONDS, LoadSums
from ospreyford.rebalance.mapcache import MapCache
from ospreyford.rebalance.mapdelta import build_initial_map
from ospreyford.rebalance.messages import (
    Ask,
    Lead,
    LoadPart,
    Passed,
    Tell,
    decode,
)
from ospreyford.rebalance.post import Address
from ospreyford.rebalance.ranks import GroupRanks
from ospreyford.rebalance.relays import Relays, unpack
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import TERM, make_state
from tests.rebalance.test_tree import make_members

LEAD = Lead('g', 1, ('10.1.0.30', 7340), 0)


class Network:
    """Agents that pass messages on to each other; some of them are lost."""

    def __init__(self, size: int, lost: tuple[int, ...] = ()) -> None:
        self.members = make_members(size)
        self.lost = {self.members[one] for one in lost}
        self.received: list[tuple[Address, Any]] = []
        self.sent = 0
        self.agents = {one: Relays(one, self) for one in self.members}  # type: ignore[arg-type]
        for agent in self.agents.values():
            agent.members = self.members

    async def send_paced(self, datagram: bytes, address: Address) -> None:
        self.sent += 1
        if address in self.lost:
            return
        passed = decode(datagram)
        assert isinstance(passed, Passed)
        self.received.append((address, unpack(passed)))
        await self.agents[address].pass_on(passed)


@pytest.mark.parametrize('size', [1, 2, 13, 14, 129, 200])
def test_a_message_reaches_each_agent_once(size: int) -> None:
    network = Network(size)
    root = network.members[size // 3]
    curio.run(network.agents[root].spread, LEAD, 5)
    reached = [address for address, _ in network.received]
    assert sorted([root, *reached]) == list(network.members)
    assert all(message == LEAD for _, message in network.received)


def test_a_lost_agent_holds_up_others_in_few_trees_only() -> None:
    """Agents below a lost one heard no heartbeat, and stood themselves."""
    network = Network(129, lost=(40, 90))
    heard: dict[Address, int] = dict.fromkeys(network.members, 0)
    for turn in range(24):
        network.received.clear()
        curio.run(network.agents[network.members[0]].spread, LEAD, turn)
        for address, _ in network.received:
            heard[address] += 1
    sound = set(network.members[1:]) - network.lost
    # Two of 128 agents are lost, one of eleven is an inner one.
    assert min(heard[one] for one in sound) >= 20


def test_a_large_message_is_packed() -> None:
    network = Network(20)
    experts = build_initial_map(16, 258, 129)
    maps = MapCache()
    whole, _ = pack_change(Prepare(2, experts), 1, maps)
    ask = Ask(1, *TERM, whole)
    curio.run(network.agents[network.members[0]].spread, ask, 0)
    assert [message for _, message in network.received] == [ask] * 19


SOUND = Passed(('10.1.0.30', 7340), 0, 0, 3, b'')
BROKEN = (b'', b'\x00\x01', b'\xff')


@pytest.mark.parametrize('inner', BROKEN)
@pytest.mark.parametrize('is_packed', [True, False])
def test_bytes_that_are_no_message_are_dropped(
    inner: bytes, *, is_packed: bool
) -> None:
    passed = Passed(SOUND.origin, 0, 0, 3, inner, is_packed)
    assert unpack(passed) is None


def test_ranges_beyond_the_members_reach_nobody() -> None:
    network = Network(5)
    passed = Passed(network.members[0], 1, 90, 200, b'')
    curio.run(network.agents[network.members[1]].pass_on, passed)
    assert not network.sent


def test_a_change_of_another_first_map_is_not_prepared() -> None:
    """Two ranks with different maps under one version.

    Sequence: an agent works out the first map of its group by itself, and the
    group opened with another one. Ranks do not compare maps.
    """
    mine, theirs = MapCache(), MapCache()
    first = build_initial_map(2, 6, 3)
    other = tuple(tuple(reversed(of_set)) for of_set in first)
    theirs.put(0, first)
    mine.put(0, other)
    changed = (other[0], first[1])
    order = Prepare(7, changed)
    short, whole = pack_change(order, 0, theirs)
    assert read_map(short, mine) is None
    read = read_map(whole, mine)
    assert read is not None
    assert read.experts == changed


def make_part(value: int, turn: int = 0, age_ms: int = 0) -> LoadPart:
    return LoadPart(turn, 1, Shares(1, bytes((value, 2 * value))), age_ms)


def test_loads_are_summed_up_on_the_way() -> None:
    clock = FakeClock()
    inner, root = LoadSums(clock), LoadSums(clock)
    for number in (1, 2, 3):
        inner.note(f'h{number}', make_part(number, age_ms=100))
    part = inner.add_to(Shares(1, bytes((4, 8))), clock.monotonic())
    assert part.ranks == 4
    assert part.age_ms >= 99
    root.note('inner', part)
    assert root.count_ranks() == 4
    assert [round(one) for one in add_shares(root.list_shares())] == [10, 20]


def test_what_is_old_or_of_another_tree_does_not_count() -> None:
    """Ranks that report through another agent by now counted twice."""
    clock = FakeClock()
    sums = LoadSums(clock)
    assert sums.note('a', make_part(1))
    assert not sums.note('b', make_part(1, turn=1))
    sums.follow(1)
    assert not sums.list_shares()
    assert sums.note('b', make_part(1, turn=1))
    clock.advance(KEPT_SECONDS + 0.1)
    assert not sums.count_ranks()


class Agents:
    """Agents of a small group, of which one is out of reach of the tree."""

    def __init__(self, unreached: int) -> None:
        self.link_bytes = float('inf')
        self.unreached = unreached
        self.members = make_members(6)
        self.direct: list[tuple[Address, Ask]] = []
        self.ranks: Any = None

    async def send_paced(self, datagram: bytes, address: Address) -> None:
        message = decode(datagram)
        is_spread = isinstance(message, Passed)
        if isinstance(message, Passed):
            inner = unpack(message)
        else:
            inner = message
        assert isinstance(inner, Ask)
        rank = self.members.index(address)
        if is_spread and rank == self.unreached:
            return
        if not is_spread:
            self.direct.append((address, inner))
        is_known = is_spread or bool(inner.order.parts)
        outcome = 'Done' if is_known else 'UnknownBase'
        state = make_state(rank)._replace(prepared=9) if is_known else None
        await self.ranks.questions.note_answer(
            Tell(inner.number, outcome, state), address[0]
        )


async def prepare_all(unreached: int) -> tuple[Agents, list[Any]]:
    agents = Agents(unreached)
    relays = Relays(agents.members[0], agents)  # type: ignore[arg-type]
    relays.members = agents.members
    ranks = GroupRanks(
        0,
        agents.members[0][0],
        None,  # type: ignore[arg-type]
        agents,  # type: ignore[arg-type]
        lambda _: None,
        FakeClock(),
        relays,
    )
    agents.ranks = ranks
    first = build_initial_map(2, 12, 6)
    ranks.maps.put(make_state().version, first)
    for rank, address in enumerate(agents.members):
        ranks.note_report(make_state(rank), address)
    changed = tuple(reversed(first[0]))
    order = Prepare(9, (changed, first[1]))
    await ranks.broadcast(order, TERM)
    outcomes = [
        await ranks.carry_out(rank, order, TERM) for rank in range(1, 6)
    ]
    return agents, outcomes


def test_an_order_to_all_is_sent_directly_to_who_was_not_reached() -> None:
    """A change of 129 maps took six seconds, and another one began meanwhile.

    The question that comes after the order has no map: an agent that was
    reached answers it, another one gets the change.
    """
    agents, outcomes = curio.run(prepare_all, 3)
    assert [type(one).__name__ for one in outcomes] == ['Done'] * 5
    asked = [bool(ask.order.parts) for _, ask in agents.direct]
    assert {address for address, _ in agents.direct} == {agents.members[3]}
    assert asked == [False, True]
