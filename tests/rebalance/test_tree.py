"""The tree of a group's agents, and what its messages cost their links."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from ospreyford.rebalance.audience import (
    DETAILS_PART,
    NEWS_PART,
)
from ospreyford.rebalance.election import HEARTBEAT_INTERVAL_SECONDS
from ospreyford.rebalance.loads import Shares, pack_sum
from ospreyford.rebalance.messages import Counts, Lead, LoadPart, Passed, encode
from ospreyford.rebalance.news import GroupNews, RankDetails
from ospreyford.rebalance.post import HEADER_BYTES, Address
from ospreyford.rebalance.reporter import (
    LOAD_PART,
    STATE_PART,
    tell_load_pause,
    tell_report_pause,
)
from ospreyford.rebalance.settings import AgentSettings
from ospreyford.rebalance.tree import (
    DEGREE,
    count_levels,
    find_parent,
    order_members,
)
from tests.rebalance.test_ranks import make_state

#: Ranks, sets of layers and experts of a set.
SHAPES = (
    (12, 4, 72),
    (63, 8, 252),
    (129, 16, 258),
    (516, 16, 516),
)
ENTRIES = 35
#: What a link of 3 Mbit/s carries, in bytes a second.
LINK = 375_000
SIZES = (1, 2, 3, 12, 13, 14, 63, 129, 157, 158, 516)


def make_members(count: int) -> tuple[Address, ...]:
    hosts = [f'10.{one % 5}.0.{one // 5}' for one in range(count)]
    return tuple(sorted((host, 7340) for host in hosts))


def make_settings(me: Address) -> AgentSettings:
    return AgentSettings('n', 'z', 'r', me, me, 1, 8, link_bytes=LINK)


def count_steps(ordered: list[Address], agent: Address) -> int:
    steps = 0
    above: Address | None = agent
    while above is not None:
        above = find_parent(ordered, above)
        steps += 1
    return steps


@pytest.mark.parametrize('turn', [0, 1, 40])
@pytest.mark.parametrize('size', SIZES)
def test_each_agent_is_reached_through_few_others(size: int, turn: int) -> None:
    """A coordinator's link was filled by what it sent to each rank."""
    members = make_members(size)
    root = members[size // 2]
    ordered = order_members(members, root, turn)
    assert sorted(ordered) == [one for one in members if one != root]
    below = Counter(find_parent(ordered, one) for one in ordered)
    assert max(below.values(), default=0) <= DEGREE
    steps = max((count_steps(ordered, one) for one in ordered), default=0)
    assert steps == count_levels(size)


def test_another_turn_has_other_inner_agents() -> None:
    members = make_members(129)
    inner = []
    for turn in (0, 1):
        ordered = order_members(members, members[0], turn)
        inner.append({find_parent(ordered, one) for one in ordered})
    assert inner[0] & inner[1] == {None}


def make_shares(sets: int, experts: int) -> Shares:
    # Hardly any two loads are alike, which compresses worse than played ones.
    random = Random(2)
    loads = [random.expovariate(1) for _ in range(sets * experts)]
    return pack_sum(loads)


def tell_news_bytes(ranks: int) -> tuple[int, int]:
    details = RankDetails(1 << 31, bytes(2 for _ in range(ranks)))
    news = GroupNews('service', 1 << 50, True, 0.08, 3, 300, 20, ENTRIES)
    whole = GroupNews(
        'service', 1 << 50, True, 0.08, 3, 300, 20, ENTRIES, details
    )
    return len(encode(news)), len(encode(whole))


@pytest.mark.parametrize(('ranks', 'sets', 'experts'), SHAPES)
def test_what_a_coordinator_says_and_hears_fits_its_link(
    ranks: int, sets: int, experts: int
) -> None:
    """News were 1.3 s old, and coordinators deposed each other without a fault.

    The bound is half of a link of 3 Mbit/s in either direction.
    """
    node = make_settings(make_members(1)[0])
    state = make_state(5)._replace(version=1 << 50, born_ms=1 << 41)
    state_bytes = len(encode(Counts(state)))
    part = LoadPart(0, 11, make_shares(sets, experts).pack_large(is_sum=True))
    load_bytes = len(encode(part))
    heard = ranks * (state_bytes + HEADER_BYTES) / tell_report_pause(
        node, ranks, state_bytes
    ) + min(ranks - 1, DEGREE) * (load_bytes + HEADER_BYTES) / tell_load_pause(
        node, ranks, load_bytes
    )
    beat = encode(Lead('group', 1 << 50, node.datagrams, 1))
    passed = encode(Passed(node.datagrams, 9, 1, ranks, beat))
    said = (
        min(ranks - 1, DEGREE)
        * (len(passed) + HEADER_BYTES)
        / HEARTBEAT_INTERVAL_SECONDS
    )
    said += (NEWS_PART + DETAILS_PART) * LINK
    assert heard < LINK / 2
    assert said < LINK / 2
    assert 2 * (STATE_PART + LOAD_PART) < 1


@pytest.mark.parametrize(('ranks', 'sets', 'experts'), SHAPES[:3])
def test_totals_at_entries_and_loads_are_fresh(
    ranks: int, sets: int, experts: int
) -> None:
    """Figures behind admissions were 1,265 ms old in the median.

    The bounds are 0.15 s for the totals and 0.3 s for the loads of one level.
    """
    totals, whole = tell_news_bytes(ranks)
    totals_round = ENTRIES * (totals + HEADER_BYTES) / (NEWS_PART * LINK)
    assert 1000 * max(totals_round, HEARTBEAT_INTERVAL_SECONDS) < 150
    details_round = ENTRIES * (whole + HEADER_BYTES) / (DETAILS_PART * LINK)
    assert 1000 * details_round < 300
    node = make_settings(make_members(1)[0])
    leaf = len(make_shares(sets, experts).pack_large().chosen)
    assert 1000 * tell_load_pause(node, ranks, leaf) < 300
