"""Shape of the tree of agents, and bandwidth of its messages."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from ospreyford.rebalance.datagrams import DATAGRAM_HEADER_BYTES, Address
from ospreyford.rebalance.election import HEARTBEAT_INTERVAL_SECONDS
from ospreyford.rebalance.entrymessages import GroupStatus, RankDetails
from ospreyford.rebalance.loads import QuantizedLoad, quantize_sum
from ospreyford.rebalance.messages import (
    CoordinatorHeartbeat,
    PartialLoad,
    RankReport,
    RelayedMessage,
    encode,
)
from ospreyford.rebalance.reporter import (
    LOAD_LINK_FRACTION,
    STATE_LINK_FRACTION,
    compute_load_interval,
    compute_state_interval,
)
from ospreyford.rebalance.settings import AgentSettings
from ospreyford.rebalance.statuspublisher import (
    DETAILS_LINK_FRACTION,
    STATUS_LINK_FRACTION,
)
from ospreyford.rebalance.tree import (
    TREE_DEGREE,
    compute_depth,
    find_parent,
    order_members,
)
from tests.rebalance.test_ranks import make_state

#: Ranks, sets of layers, and experts per set.
GROUP_SHAPES = (
    (12, 4, 72),
    (63, 8, 252),
    (129, 16, 258),
    (516, 16, 516),
)
ENTRY_COUNT = 35
#: 3 Mbit/s.
LINK_BYTES_PER_SECOND = 375_000
GROUP_SIZES = (1, 2, 3, 12, 13, 14, 63, 129, 157, 158, 516)


def make_members(count: int) -> tuple[Address, ...]:
    hosts = [f'10.{one % 5}.0.{one // 5}' for one in range(count)]
    return tuple(sorted((host, 7340) for host in hosts))


def make_settings(me: Address) -> AgentSettings:
    return AgentSettings(
        'n', 'z', 'r', me, me, 1, 8, link_bytes=LINK_BYTES_PER_SECOND
    )


def count_hops(ordered: list[Address], agent: Address) -> int:
    steps = 0
    ancestor: Address | None = agent
    while ancestor is not None:
        ancestor = find_parent(ordered, ancestor)
        steps += 1
    return steps


@pytest.mark.parametrize('rotation', [0, 1, 40])
@pytest.mark.parametrize('size', GROUP_SIZES)
def test_tree_degree_and_depth_are_bounded(size: int, rotation: int) -> None:
    """Guards against saturating a coordinator's link by its fan-out."""
    members = make_members(size)
    root = members[size // 2]
    ordered = order_members(members, root, rotation)
    assert sorted(ordered) == [one for one in members if one != root]
    below = Counter(find_parent(ordered, one) for one in ordered)
    assert max(below.values(), default=0) <= TREE_DEGREE
    hops = max((count_hops(ordered, one) for one in ordered), default=0)
    assert hops == compute_depth(size)


def test_rotations_have_different_inner_agents() -> None:
    members = make_members(129)
    inner = []
    for rotation in (0, 1):
        ordered = order_members(members, members[0], rotation)
        inner.append({find_parent(ordered, one) for one in ordered})
    assert inner[0] & inner[1] == {None}


def make_load(sets: int, experts: int) -> QuantizedLoad:
    # Random loads compress worse than actual ones.
    random = Random(2)
    loads = [random.expovariate(1) for _ in range(sets * experts)]
    return quantize_sum(loads)


def measure_status_bytes(ranks: int) -> tuple[int, int]:
    details = RankDetails(1 << 31, bytes(2 for _ in range(ranks)))
    news = GroupStatus(1 << 31, 1 << 50, True, 0.08, 3, 300, 20, ENTRY_COUNT)
    whole = GroupStatus(
        1 << 31, 1 << 50, True, 0.08, 3, 300, 20, ENTRY_COUNT, details
    )
    return len(encode(news)), len(encode(whole))


@pytest.mark.parametrize(('ranks', 'sets', 'experts'), GROUP_SHAPES)
def test_coordinator_traffic_fits_its_link(
    ranks: int, sets: int, experts: int
) -> None:
    """Guards against elections caused by delayed heartbeats.

    The limit is half of a link of 3 Mbit/s in either direction.
    """
    node = make_settings(make_members(1)[0])
    state = make_state(5)._replace(version=1 << 50, born_ms=1 << 41)
    state_bytes = len(encode(RankReport(state)))
    part = PartialLoad(
        0, 11, make_load(sets, experts).compress_large(is_sum=True)
    )
    load_bytes = len(encode(part))
    received = ranks * (
        state_bytes + DATAGRAM_HEADER_BYTES
    ) / compute_state_interval(node, ranks, state_bytes) + min(
        ranks - 1, TREE_DEGREE
    ) * (load_bytes + DATAGRAM_HEADER_BYTES) / compute_load_interval(
        node, ranks, load_bytes
    )
    beat = encode(CoordinatorHeartbeat(1 << 50, node.datagrams, 1))
    passed = encode(RelayedMessage(node.datagrams, 9, 1, ranks, beat))
    sent = (
        min(ranks - 1, TREE_DEGREE)
        * (len(passed) + DATAGRAM_HEADER_BYTES)
        / HEARTBEAT_INTERVAL_SECONDS
    )
    sent += (
        STATUS_LINK_FRACTION + DETAILS_LINK_FRACTION
    ) * LINK_BYTES_PER_SECOND
    assert received < LINK_BYTES_PER_SECOND / 2
    assert sent < LINK_BYTES_PER_SECOND / 2
    assert 2 * (STATE_LINK_FRACTION + LOAD_LINK_FRACTION) < 1


@pytest.mark.parametrize(('ranks', 'sets', 'experts'), GROUP_SHAPES[:3])
def test_status_and_load_intervals_are_bounded(
    ranks: int, sets: int, experts: int
) -> None:
    """Guards against admission by outdated loads.

    The limits are 0.15 s for totals and 0.3 s for the loads of one level.
    """
    totals, detailed = measure_status_bytes(ranks)
    totals_round = (
        ENTRY_COUNT
        * (totals + DATAGRAM_HEADER_BYTES)
        / (STATUS_LINK_FRACTION * LINK_BYTES_PER_SECOND)
    )
    assert 1000 * max(totals_round, HEARTBEAT_INTERVAL_SECONDS) < 150
    details_round = (
        ENTRY_COUNT
        * (detailed + DATAGRAM_HEADER_BYTES)
        / (DETAILS_LINK_FRACTION * LINK_BYTES_PER_SECOND)
    )
    assert 1000 * details_round < 300
    node = make_settings(make_members(1)[0])
    leaf = len(make_load(sets, experts).compress_large().levels)
    assert 1000 * compute_load_interval(node, ranks, leaf) < 300
