"""Tests of weight loads, drops and read credits."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.expertmap.acceptor import RankAcceptor
from ospreyford.expertmap.fencedengine import FencedEngine
from ospreyford.expertmap.maps import ExpertMap
from ospreyford.expertmap.messages import (
    Accepted,
    Extend,
    Install,
    Installed,
    Prepare,
    Refused,
    Request,
    decode_response,
    encode,
)
from ospreyford.expertmap.ports import EngineStatus, OrderOutcome
from ospreyford.expertmap.readcredits import (
    CreditAllocator,
    ReadCredit,
    WeightLimits,
)
from ospreyford.expertmap.requiredexperts import RequiredExperts
from ospreyford.expertmap.weights import MemberWeights
from ospreyford.expertmap.windows import Ballot, Window
from ospreyford.ports.weights import Expert, Experts, Inventory
from ospreyford.standins.rankengine import RankEngine
from tests.expertmap.group import Group
from tests.fakes.clock import FakeClock

EXPERT_BYTES = 10
ROUNDING_BYTES = 1e-6


def make_map(revision: int, *ranks: int) -> ExpertMap:
    """Create a map of one layer, with one rank for each expert."""
    layer = tuple((rank,) for rank in ranks)
    return ExpertMap(revision=revision, layers=(layer,))


FIRST = make_map(1, 0, 0, 1, 1)
SECOND = make_map(2, 0, 1, 0, 1)
THIRD = make_map(3, 0, 1, 1, 0)
BALLOT = Ballot(number=1, incarnation=5)
LATER = Ballot(number=2, incarnation=5)


def make_experts(*indexes: int) -> set[Expert]:
    return {Expert(0, number) for number in indexes}


class DelayedOrder(NamedTuple):
    """An order that the engine has not received yet."""

    kind: str
    experts: Experts
    fencing: int


class Member:
    """An acceptor with one engine; ``fate`` decides what happens to orders."""

    def __init__(self, slots: int = 4) -> None:
        self.clock = FakeClock()
        self.engine = RankEngine('first')
        self.fate = 'applied'
        self.sent_orders: list[Any] = []
        self.delayed: list[DelayedOrder] = []
        self.sequence = 0
        fenced_engine = FencedEngine(self)
        limits = WeightLimits(EXPERT_BYTES, EXPERT_BYTES, slots)
        self.weights = MemberWeights(0, limits, self, fenced_engine, self.clock)
        self.acceptor = RankAcceptor(
            0,
            fenced_engine,
            self.clock,
            iter(range(1, 9)).__next__,
            self.weights,
        )
        run_to_completion(self.acceptor.start())
        self.send(Prepare(BALLOT))

    async def grant(self, order: Any) -> OrderOutcome:
        return self.engine.grant(order)

    async def halt(self, generation: int, fencing: int) -> OrderOutcome:
        return self.engine.halt(fencing)

    async def install_map(self, expert_map: ExpertMap, fencing: int) -> bool:
        return self.engine.install(expert_map, fencing)

    async def read_status(self) -> EngineStatus:
        return self.engine.read_status()

    async def read_weights(self) -> Inventory:
        return self.engine.read_weights()

    async def load(self, experts: Experts, fencing: int) -> OrderOutcome:
        return self.order('load', experts, fencing)

    async def drop(self, experts: Experts, fencing: int) -> OrderOutcome:
        # Experts are not held while their drop is in flight.
        assert not experts & self.weights.held
        return self.order('drop', experts, fencing)

    def order(self, kind: str, experts: Experts, fencing: int) -> OrderOutcome:
        self.sent_orders.append((kind, set(experts)))
        if self.fate == 'late':
            self.delayed.append(DelayedOrder(kind, experts, fencing))
            return OrderOutcome.unknown
        order = getattr(self.engine, kind)
        outcome: OrderOutcome = order(sorted(experts), fencing)
        return outcome

    def apply_delayed(self) -> list[OrderOutcome]:
        """Apply the delayed orders."""
        return [
            getattr(self.engine, kind)(sorted(experts), fencing)
            for kind, experts, fencing in self.delayed
        ]

    def send(self, request: Request) -> Any:
        return decode_response(
            run_to_completion(self.acceptor.handle_request(encode(request)))
        )

    def install(self, expert_map: ExpertMap, **changes: Any) -> Any:
        self.sequence += 1
        fields: dict[str, Any] = {
            'ballot': BALLOT,
            'incarnation': self.acceptor.incarnation,
            'sequence': self.sequence,
            'allowed_bytes': 1000,
            **changes,
        }
        credit = ReadCredit(**fields)
        return self.send(Install(expert_map.name(), expert_map, credit))

    def reconcile(self) -> None:
        run_to_completion(
            self.acceptor.readiness.reconcile_weights(self.acceptor)
        )

    def complete_reads(self) -> None:
        for expert in list(self.engine.memory.queue):
            self.engine.memory.arrive(expert, EXPERT_BYTES)

    def load_map(self, expert_map: ExpertMap) -> Any:
        """Load and install a map."""
        self.install(expert_map)
        self.reconcile()
        self.complete_reads()
        self.reconcile()
        return self.install(expert_map)

    def extend(
        self, index: int, expert_map: ExpertMap, released: ExpertMap | None
    ) -> Any:
        """Propose a window, and release the previous one."""
        before = None if released is None else make_window(index - 1, released)
        return self.send(
            Extend(
                ballot=BALLOT,
                generation=BALLOT,
                released=before,
                proposed=make_window(index, expert_map),
                members=(1,) if released is None else (),
            )
        )

    def run_steps(self, last: int) -> None:
        for step in range(self.engine.step + 1, last + 1):
            grant = self.engine.find_grant(step)
            assert grant is not None
            assert not self.engine.find_lacks(grant.map_name, 0)
            self.engine.step = step


def make_window(index: int, expert_map: ExpertMap) -> Window:
    first = index * 4 + 1
    return Window(
        index=index,
        first_step=first,
        last_step=first + 3,
        map_name=expert_map.name(),
    )


def run_to_completion(coro: Coroutine[Any, Any, Any]) -> Any:
    with pytest.raises(StopIteration) as stop:
        coro.send(None)
    return stop.value.value


def make_running_member() -> Member:
    """Create a member whose engine may run windows 0 and 1 on the first map."""
    member = Member()
    assert member.load_map(FIRST).loaded
    member.extend(0, FIRST, None)
    member.extend(1, FIRST, FIRST)
    assert isinstance(member.extend(2, FIRST, FIRST), Accepted)
    return member


def test_map_is_accepted_only_with_its_weights() -> None:
    """No window may be accepted before its weights are read."""
    member = Member()
    assert member.install(FIRST) == Installed(True, False, 0)
    refusal = Installed(held=True, loaded=False)
    assert member.extend(0, FIRST, None) == refusal
    member.reconcile()
    assert member.engine.memory.queue == sorted(make_experts(0, 1))
    # The engine knows the map, as if from an earlier agent.
    run_to_completion(member.acceptor.engine.install_map(FIRST.name(), FIRST))
    assert member.extend(0, FIRST, None) == refusal
    member.complete_reads()
    member.reconcile()
    assert member.install(FIRST).loaded
    assert isinstance(member.extend(0, FIRST, None), Accepted)


def test_old_copies_stay_until_the_new_map_runs() -> None:
    """Old weights must not be dropped before steps reach the new map."""
    member = make_running_member()
    assert member.load_map(SECOND).loaded
    for index, released in ((3, FIRST), (4, SECOND)):
        member.extend(index, SECOND, released)
        member.reconcile()
        assert member.weights.held == make_experts(0, 1, 2)
    member.run_steps(12)
    member.reconcile()
    assert member.weights.held == make_experts(0, 1, 2)
    member.run_steps(13)
    member.reconcile()
    assert member.sent_orders[-1] == ('drop', make_experts(1))
    assert member.engine.memory.held == make_experts(0, 2)
    member.run_steps(16)


def test_accepted_map_keeps_its_weights() -> None:
    """A new target map must not drop weights of an accepted window."""
    member = make_running_member()
    assert member.load_map(SECOND).loaded
    member.extend(3, SECOND, FIRST)
    member.install(THIRD)
    member.run_steps(1)
    member.reconcile()
    assert member.weights.held == make_experts(0, 1, 2)


def test_nothing_is_unneeded_with_unknown_map() -> None:
    required = RequiredExperts(0)
    required.select_target(FIRST.name(), FIRST)
    resident = frozenset(make_experts(0, 1, 2))
    assert required.find_unneeded(resident, [FIRST.name()]) == make_experts(2)
    assert not required.find_unneeded(resident, [FIRST.name(), SECOND.name()])


def test_dropped_experts_are_not_held() -> None:
    """No window may be accepted if a delayed drop can free its weights."""
    member = make_running_member()
    assert member.load_map(SECOND).loaded
    member.install(THIRD)
    member.run_steps(1)
    member.fate = 'late'
    member.reconcile()
    assert member.delayed[0][:2] == ('drop', frozenset(make_experts(2)))
    member.install(SECOND)
    member.reconcile()
    refusal = Installed(held=True, loaded=False)
    assert member.extend(3, SECOND, FIRST) == refusal
    member.fate = 'applied'
    member.reconcile()
    assert set(member.apply_delayed()) == {OrderOutcome.refused}
    member.reconcile()
    assert isinstance(member.extend(3, SECOND, FIRST), Accepted)


@pytest.mark.parametrize(
    ('changes', 'response'),
    [
        # Preempted coordinator.
        ({'ballot': Ballot()}, Refused(BALLOT)),
        # Credit for another incarnation.
        ({'incarnation': 77}, Refused(BALLOT)),
        # Stale or duplicated.
        ({'sequence': 1}, None),
    ],
)
def test_late_or_foreign_credit_changes_nothing(
    changes: dict[str, Any], response: Any
) -> None:
    """A stale request must not restore an older target map."""
    member = Member()
    member.install(FIRST)
    member.install(SECOND)
    assert member.install(FIRST, **changes) == response
    member.reconcile()
    assert member.sent_orders == [('load', make_experts(0, 2))]


def test_reads_stay_within_credit_and_store_limits() -> None:
    """Reads must not be retried without delay or credits."""
    member = Member()
    assert member.install(FIRST, allowed_bytes=EXPERT_BYTES).credits_needed == 1
    member.reconcile()
    assert member.engine.memory.queue == [Expert(0, 0)]
    member.engine.memory.refuse(retry_after=3)
    member.reconcile()
    assert len(member.sent_orders) == 1
    # Nothing was read, so the same credit is used.
    member.clock.advance(3)
    member.reconcile()
    assert member.sent_orders[1:] == [('load', make_experts(0))]
    member.engine.memory.fail()
    member.clock.advance(60)
    member.reconcile()
    member.clock.advance(60)
    member.reconcile()
    assert len(member.sent_orders) == 2
    # The credit is spent: part of the expert may have been read.
    assert member.install(FIRST, allowed_bytes=EXPERT_BYTES).credits_needed == 2


def test_replaced_engine_loads_again() -> None:
    """The inventory of a replaced engine must not be used."""
    member = make_running_member()
    member.engine = RankEngine('second')
    member.reconcile()
    assert member.weights.held
    run_to_completion(member.acceptor.read_status())
    assert not member.weights.held
    # Credits of the earlier incarnation are void.
    assert member.install(FIRST, incarnation=1) == Refused(BALLOT)
    assert not member.install(FIRST).loaded
    member.reconcile()
    member.complete_reads()
    member.reconcile()
    assert member.install(FIRST).loaded


def test_memory_limit_counts_reads_in_progress() -> None:
    """Loads must not exceed memory while reads are in progress."""
    member = Member(slots=3)
    member.load_map(FIRST)
    member.extend(0, FIRST, None)
    member.extend(1, FIRST, FIRST)
    member.run_steps(1)
    member.install(SECOND)
    member.reconcile()
    assert member.engine.memory.queue == [Expert(0, 2)]
    member.install(THIRD)
    member.reconcile()
    assert member.engine.memory.queue == [Expert(0, 2)]
    member.complete_reads()
    member.reconcile()
    assert member.engine.memory.held == make_experts(0, 1)
    member.reconcile()
    assert member.engine.memory.queue == [Expert(0, 3)]


def test_reformed_group_frees_blocking_weights() -> None:
    """Weights of an old map must not block a group that forms."""
    member = Member(slots=2)
    member.engine.memory.held = make_experts(1, 3)
    member.install(FIRST)
    for _ in range(3):
        member.reconcile()
    assert member.engine.memory.held == make_experts(1)
    assert member.engine.memory.queue == [Expert(0, 0)]


@pytest.mark.parametrize('taken', [0, 1, 2])
def test_engine_keeps_maps_of_unknown_content(taken: int) -> None:
    """A restarted agent must not drop weights of an unknown map."""
    member = Member()
    member.engine.memory.held = make_experts(1, 2, 3)
    for expert_map in (FIRST, SECOND)[:taken]:
        member.install(expert_map)
    for _ in range(3):
        member.reconcile()
    assert member.engine.memory.held == make_experts(1, 2, 3)


def test_members_wait_for_a_coordinator_that_loads() -> None:
    """Members must not preempt a coordinator that waits for loads."""
    group = Group(3, None, wall=False, weights=True)
    # Loading takes 12 s at the store's rate.
    layers = make_map(1, 0, 1, 2).layers
    large = ExpertMap(revision=1, layers=layers * 40)
    group.processes[0].service.propose(large)
    group.run_events(600)
    promised = group.processes[0].service.acceptor.promised
    assert promised.number <= 3
    assert all(engine.step for engine in group.engines)


REQUESTS = st.tuples(st.floats(0, 3), st.integers(0, 3))


@given(requests=st.lists(REQUESTS, max_size=30))
@settings(derandomize=True, database=None, max_examples=60)
def test_credits_stay_within_group_share(
    requests: Any,
) -> None:
    """Credits must not exceed the group's share of the weight store."""
    allocator = CreditAllocator(
        WeightLimits(EXPERT_BYTES, EXPERT_BYTES, 4), BALLOT, 0
    )
    allocator.record_incarnations([1, 2])
    now = 0.0
    for seconds, experts_needed in requests:
        now += seconds
        allocator.record_needed(experts_needed % 2, experts_needed)
        allocator.allocate(now)
        allowed_bytes = [
            allocator.make_credit(slot).allowed_bytes for slot in range(2)
        ]
        share_bytes = EXPERT_BYTES * now
        assert sum(allowed_bytes) <= share_bytes + ROUNDING_BYTES
