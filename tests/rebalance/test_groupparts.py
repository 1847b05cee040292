"""Parts that keep the groups of a service apart, each alone."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import curio
import pytest

from ospreyford.rebalance.agentcontext import AgentContext
from ospreyford.rebalance.agentports import AgentPorts
from ospreyford.rebalance.election import (
    CANDIDATE_STAGGER_SECONDS,
    INCOMPLETE_TIMEOUT_SECONDS,
    INITIAL_TIMEOUT_SECONDS,
    Election,
    compute_position,
)
from ospreyford.rebalance.failuredetector import FailureDetector
from ospreyford.rebalance.group import (
    Go,
    Guard,
    Order,
    RankState,
)
from ospreyford.rebalance.groupengine import GroupEngine, Reading
from ospreyford.rebalance.groupkey import GroupKey
from ospreyford.rebalance.groupprefix import GroupDatagram
from ospreyford.rebalance.groupsessions import GroupSessions
from ospreyford.rebalance.memberstates import fill_group, strip_group
from ospreyford.rebalance.messages import OrderResponse, RankReport, encode
from ospreyford.rebalance.metrics import AgentMetrics
from ospreyford.rebalance.ports import Reply
from ospreyford.rebalance.rankprober import (
    FOREIGN_SECONDS,
    MAX_UNASSIGNED_PROBES,
    RankProber,
)
from ospreyford.rebalance.rankstates import RankStates
from ospreyford.rebalance.remoteranks import RemoteRanks
from ospreyford.rebalance.sessiondecisions import select_group
from ospreyford.rebalance.statuspublisher import compute_status_interval
from tests.fakes.clock import FakeClock
from tests.rebalance.test_ranks import TERM, make_state

OWN, OTHER = GroupKey('s', 'g'), GroupKey('s', 'h')
AGENTS = tuple((f'10.0.0.{number}', 7) for number in range(1, 5))


def make_foreign(rank: int = 1) -> RankState:
    return make_state(rank)._replace(group='h')


@pytest.mark.parametrize(
    ('current', 'leaving', 'state', 'service', 'expected'),
    [
        (None, (), None, 's', None),
        (None, (), make_state(), '', None),
        (None, (), make_state()._replace(group=''), 's', None),
        (None, (), make_state(), 's', OWN),
        (OWN, (), make_state(), 's', OWN),
        # The rank does not respond.
        (OWN, (), None, 's', OWN),
        (OWN, (), make_foreign(), 's', OTHER),
        (OWN, (), make_state(), 't', GroupKey('t', 'g')),
        (OWN, (), make_state()._replace(group=''), 's', None),
        (OTHER, (OWN,), make_state(), 's', None),
        (None, (OTHER,), make_state(), 's', OWN),
    ],
)
def test_session_is_made_kept_or_replaced(
    current: GroupKey | None,
    leaving: tuple[GroupKey, ...],
    state: RankState | None,
    service: str,
    expected: GroupKey | None,
) -> None:
    assert select_group(current, leaving, state, service) == expected


class Engine:
    """Engine of a rank in the given state."""

    def __init__(self, state: RankState | None) -> None:
        self.state = state
        self.reads = 0
        self.orders: list[Order] = []

    async def read_state(self) -> RankState | None:
        self.reads += 1
        return self.state

    async def read_counts(self) -> tuple[int, ...]:
        return (1,)

    async def read_experts(self) -> Any:
        return ((1,),)

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        self.orders.append(order)
        return Reply.accepted


async def use_engine(engine: Engine) -> tuple[GroupEngine, list[Any]]:
    scoped = GroupEngine(engine, 'g')
    got = [
        await scoped.read_member(),
        await scoped.read_state(),
        await scoped.read_counts(),
        await scoped.read_experts(),
        await scoped.send_order(Go(1), Guard(*TERM, 1)),
    ]
    return scoped, got


def test_rank_of_the_group_is_used() -> None:
    engine = Engine(make_state())
    scoped, got = curio.run(use_engine, engine)
    state = make_state()
    assert got == [Reading(state), state, (1,), ((1,),), Reply.accepted]
    assert not scoped.foreign_reads


def test_rank_of_another_group_gives_nothing() -> None:
    """Guards against states, counts and orders between groups."""
    engine = Engine(make_foreign())
    scoped, got = curio.run(use_engine, engine)
    foreign = Reading(None, is_foreign=True)
    assert got == [foreign, None, None, None, Reply.no_answer]
    assert scoped.foreign_reads == 2
    assert not engine.orders
    engine.state = make_state()
    assert curio.run(scoped.read_state) == make_state()


def make_states(*numbers: int, size: int = 3, epoch: int = 1) -> RankStates:
    states = RankStates(0)
    for rank in numbers:
        state = make_state(rank)._replace(size=size, epoch=epoch)
        states.record_agent(state, AGENTS[rank])
    return states


def test_address_with_another_rank_is_forgotten_under_the_old_one() -> None:
    states = make_states(0, 1, 2)
    moved = make_state(2)._replace(size=3, sequence=9)
    states.record_agent(moved, AGENTS[1])
    assert states.by_rank.keys() == {0, 2}
    assert states.agents == {0: AGENTS[0], 2: AGENTS[1]}
    assert states.is_missing_any()


def test_ranks_above_the_size_are_dropped() -> None:
    """Guards against counts of ranks that a smaller group has no more."""
    states = make_states(0, 1, 2)
    states.record(make_state(0)._replace(size=2, epoch=2))
    states.record_agent(make_state(2)._replace(size=3), AGENTS[2])
    assert states.by_rank.keys() == {0, 1}
    assert states.agents.keys() == {0, 1}
    assert states.is_missing_any()
    states.record(make_state(1)._replace(size=2, epoch=2))
    assert not states.is_missing_any()


def make_prober(
    clock: FakeClock, engines: dict[str, Engine], states: RankStates
) -> RankProber:
    scoped = {host: GroupEngine(one, 'g') for host, one in engines.items()}
    return RankProber(
        RemoteRanks(scoped.get, clock),
        FailureDetector(clock),
        states,
        AGENTS[0][0],
    )


def test_rank_of_another_group_is_left_alone_for_a_while() -> None:
    clock = FakeClock()
    engine = Engine(make_foreign(2))
    states = make_states(0, 1, 2)
    prober = make_prober(clock, {AGENTS[2][0]: engine}, states)
    reads = []
    for _ in range(int(FOREIGN_SECONDS) + 2):
        clock.advance(1)
        assert not curio.run(prober.probe, AGENTS[:3], ())
        reads.append(engine.reads)
    assert reads == [1, 1, 1, 1, 2]
    assert states.by_rank.keys() == {0, 1}


def test_unassigned_hosts_are_read_while_ranks_are_missing() -> None:
    """Guards against a group that waits for a rank without an agent."""
    clock = FakeClock()
    others = tuple((f'10.0.1.{number}', 7) for number in range(20))
    engines = {host: Engine(None) for host, _ in others}
    last_host = others[-1][0]
    engines[last_host].state = make_state(2)._replace(size=3)
    states = make_states(0, 1)
    prober = make_prober(clock, engines, states)
    rounds = 0
    while states.is_missing_any() and rounds < 9:
        clock.advance(0.6 if rounds == 0 else 0.03)
        before = sum(one.reads for one in engines.values())
        curio.run(prober.probe, (), others)
        read = sum(one.reads for one in engines.values()) - before
        assert read <= MAX_UNASSIGNED_PROBES
        rounds += 1
    assert rounds == 3
    assert states.agents[2] == others[-1]
    clock.advance(60)
    before = sum(one.reads for one in engines.values())
    curio.run(prober.probe, (), others)
    assert sum(one.reads for one in engines.values()) == before


@pytest.mark.parametrize(
    ('members', 'unassigned', 'size', 'position'),
    [
        (AGENTS, (), 4, 3),
        (AGENTS[3:], AGENTS[:3], 4, 3),
        (AGENTS[2:], AGENTS[:2], 4, 3),
        # One rank is missing: at most one of the hosts before is its.
        (AGENTS[2:], AGENTS[:2], 3, 2),
        (AGENTS[3:], (), 4, 0),
        (AGENTS[3:], AGENTS[:3], 1, 0),
    ],
)
def test_position_counts_hosts_that_may_be_of_the_group(
    members: Any, unassigned: Any, size: int, position: int
) -> None:
    own = AGENTS[3]
    assert compute_position(own, members, unassigned, size) == position


def test_agent_that_knows_few_members_campaigns_later() -> None:
    """Guards against terms that fence each other as a service starts."""
    clock = FakeClock()
    early, late = (Election(AGENTS[3], clock) for _ in range(2))
    for one in (early, late):
        one.record_members(AGENTS[3:], is_complete=False)
    clock.advance(INCOMPLETE_TIMEOUT_SECONDS - 0.01)
    assert not early.campaign(AGENTS[3:], 3, size=4)
    late.record_members(AGENTS, is_complete=True)
    clock.advance(0.02)
    assert early.campaign(AGENTS[3:], 3, size=4)
    last = INITIAL_TIMEOUT_SECONDS + 3 * CANDIDATE_STAGGER_SECONDS
    clock.advance(last - 0.04)
    assert not late.campaign(AGENTS, 3, size=4)
    clock.advance(0.04)
    assert late.campaign(AGENTS, 3, size=4)


#: Groups, and the interval in seconds.
INTERVALS = (
    (1, 0),
    (4, 0),
    (8, 0.2),
    (37, 0.925),
)


@pytest.mark.parametrize(('groups', 'interval'), INTERVALS)
def test_entry_hears_all_groups_at_a_bounded_rate(
    groups: int, interval: float
) -> None:
    assert compute_status_interval(groups) == pytest.approx(interval)


def test_states_between_members_bear_no_name() -> None:
    """Guards against messages that grow with the names of groups."""
    state = make_state()
    report = RankReport(strip_group(state))
    assert len(encode(report)) < len(encode(RankReport(state)))
    assert fill_group(report, 'g') == RankReport(state)
    answer = OrderResponse(1, 'Done', strip_group(state))
    assert fill_group(answer, 'g') == OrderResponse(1, 'Done', state)
    pending = OrderResponse(1, None)
    assert fill_group(pending, 'g') == pending


def test_datagram_of_another_group_is_dropped_undecoded() -> None:
    metrics, sock = AgentMetrics(), SimpleNamespace(malformed=0)
    nothing: Any = None
    context: Any = AgentContext(
        nothing,
        AgentPorts(nothing, nothing, nothing, nothing),
        sock,  # type: ignore[arg-type]
        nothing,
        metrics,
    )
    sessions = GroupSessions(context)
    datagram = GroupDatagram(OTHER.compute_tag(), b'\xff')
    curio.run(sessions.handle_datagram, datagram, AGENTS[1])
    assert b'ospreyford_foreign_datagrams_total 1.0' in metrics.render()
    assert not sock.malformed
