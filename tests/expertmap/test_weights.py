"""Loads and drops of one member, by the failure that each guard is for."""

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
#: Experts of the one layer that rank 0 holds in each map.


def make_map(revision: int, *ranks: int) -> ExpertMap:
    """Make a map of one layer, with one rank for each expert."""
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
    """An order that has not reached the engine yet."""

    kind: str
    experts: Experts
    fencing: int


class Member:
    """A keeper over one engine; orders meet the fate that a test sets."""

    def __init__(self, slots: int = 4) -> None:
        self.clock = FakeClock()
        self.engine = RankEngine('first')
        self.fate = 'applied'
        self.sent_orders: list[Any] = []
        self.delayed: list[DelayedOrder] = []
        self.sequence = 0
        gate = FencedEngine(self)
        pace = WeightLimits(EXPERT_BYTES, EXPERT_BYTES, slots)
        self.weights = MemberWeights(0, pace, self, gate, self.clock)
        self.acceptor = RankAcceptor(
            0, gate, self.clock, iter(range(1, 9)).__next__, self.weights
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
        # What is being freed may not be counted on while the order is out.
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
        """Let the orders that got no answer arrive."""
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
        """Propose a window, and release the one before with its map."""
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
    """Make a member whose engine may run windows 0 and 1 on the first map."""
    member = Member()
    assert member.load_map(FIRST).loaded
    member.extend(0, FIRST, None)
    member.extend(1, FIRST, FIRST)
    assert isinstance(member.extend(2, FIRST, FIRST), Accepted)
    return member


def test_map_is_accepted_only_with_its_weights() -> None:
    """Symptom: a rank answers for an expert whose weights it lacks.

    Sequence: a map comes, the engine still reads. Cause: the map counts as
    loaded when the engine knows it.
    """
    member = Member()
    assert member.install(FIRST) == Installed(True, False, 0)
    refusal = Installed(held=True, loaded=False)
    assert member.extend(0, FIRST, None) == refusal
    member.reconcile()
    assert member.engine.memory.queue == sorted(make_experts(0, 1))
    # Known to the engine, as by an agent that went before.
    run_to_completion(member.acceptor.engine.install_map(FIRST.name(), FIRST))
    assert member.extend(0, FIRST, None) == refusal
    member.complete_reads()
    member.reconcile()
    assert member.install(FIRST).loaded
    assert isinstance(member.extend(0, FIRST, None), Accepted)


def test_old_copies_stay_until_the_new_map_runs() -> None:
    """Symptom: a rank lacks an expert that its old window needs.

    Sequence: the new map is loaded, accepted, released; only then do steps
    reach it. Cause: the drop is ordered at one of the earlier moments.
    """
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
    """Symptom: a window that all accepted can't be run by one of them.

    Sequence: a map is accepted; a later plan replaces it as the one to load
    for. Cause: only what is granted and what is loaded for counts as needed.
    """
    member = make_running_member()
    assert member.load_map(SECOND).loaded
    member.extend(3, SECOND, FIRST)
    member.install(THIRD)
    member.run_steps(1)
    member.reconcile()
    assert member.weights.held == make_experts(0, 1, 2)


def test_nothing_is_unneeded_with_unknown_map() -> None:
    wanted = RequiredExperts(0)
    wanted.select_target(FIRST.name(), FIRST)
    present = frozenset(make_experts(0, 1, 2))
    assert wanted.find_unneeded(present, [FIRST.name()]) == make_experts(2)
    assert not wanted.find_unneeded(present, [FIRST.name(), SECOND.name()])


def test_dropped_experts_are_not_held() -> None:
    """Symptom: a rank steps on a map just as its weights are freed.

    Sequence: a plan is replaced, the drop of what was read for it gets no
    answer; the plan comes back and is accepted; the drop arrives. Cause: the
    inventory, read before it arrived, is taken for the last word.
    """
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
        # A coordinator that was outbid.
        ({'ballot': Ballot()}, Refused(BALLOT)),
        # Meant for an earlier life of this member.
        ({'incarnation': 77}, Refused(BALLOT)),
        # Late or doubled.
        ({'sequence': 1}, None),
    ],
)
def test_late_or_foreign_credit_changes_nothing(
    changes: dict[str, Any], response: Any
) -> None:
    """Symptom: weights of a plan that was replaced are read or freed.

    Sequence: an order of the earlier plan arrives late. Cause: it is taken
    for the newest.
    """
    member = Member()
    member.install(FIRST)
    member.install(SECOND)
    assert member.install(FIRST, **changes) == response
    member.reconcile()
    assert member.sent_orders == [('load', make_experts(0, 2))]


def test_reads_stay_within_credit_and_store_limits() -> None:
    """Symptom: the store is read faster than the group's share.

    Sequence: leave for one expert; the store puts the read off, then breaks
    it; the engine's process is replaced. Cause: reads are not counted, or
    ordered again at once.
    """
    member = Member()
    assert member.install(FIRST, allowed_bytes=EXPERT_BYTES).credits_needed == 1
    member.reconcile()
    assert member.engine.memory.queue == [Expert(0, 0)]
    member.engine.memory.refuse(retry_after=3)
    member.reconcile()
    assert len(member.sent_orders) == 1
    # Nothing was read, so the same leave serves.
    member.clock.advance(3)
    member.reconcile()
    assert member.sent_orders[1:] == [('load', make_experts(0))]
    member.engine.memory.fail()
    member.clock.advance(60)
    member.reconcile()
    member.clock.advance(60)
    member.reconcile()
    assert len(member.sent_orders) == 2
    # The leave is spent: part of the expert may have been read.
    assert member.install(FIRST, allowed_bytes=EXPERT_BYTES).credits_needed == 2


def test_replaced_engine_loads_again() -> None:
    """Symptom: a rank whose engine lost its weights steps without them.

    Sequence: the engine's process is replaced. Cause: the agent goes on by
    the inventory of the earlier one.
    """
    member = make_running_member()
    member.engine = RankEngine('second')
    member.reconcile()
    assert member.weights.held
    run_to_completion(member.acceptor.read_status())
    assert not member.weights.held
    # Leave of its earlier life doesn't count, as that spent some of it.
    assert member.install(FIRST, incarnation=1) == Refused(BALLOT)
    assert not member.install(FIRST).loaded
    member.reconcile()
    member.complete_reads()
    member.reconcile()
    assert member.install(FIRST).loaded


def test_memory_limit_counts_reads_in_progress() -> None:
    """Symptom: an engine is ordered to hold more than its memory takes.

    Sequence: a plan is replaced while its expert is being read. Cause: only
    what is held is counted.
    """
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
    """Symptom: a group stands for good, its engines full of weights.

    Sequence: every agent is replaced, and the first map that they agree on
    isn't the one that the engines hold. Cause: nothing is freed before a
    step of the new map, and there is none without room for its weights.
    """
    member = Member(slots=2)
    member.engine.memory.held = make_experts(1, 3)
    member.install(FIRST)
    for _ in range(3):
        member.reconcile()
    assert member.engine.memory.held == make_experts(1)
    assert member.engine.memory.queue == [Expert(0, 0)]


@pytest.mark.parametrize('taken', [0, 1, 2])
def test_engine_keeps_maps_of_unknown_content(taken: int) -> None:
    """Symptom: a restarted agent frees what its group still steps on.

    Sequence: the agent is new, its engine holds weights. Cause: what no
    known map needs is taken for spare.
    """
    member = Member()
    member.engine.memory.held = make_experts(1, 2, 3)
    for expert_map in (FIRST, SECOND)[:taken]:
        member.install(expert_map)
    for _ in range(3):
        member.reconcile()
    assert member.engine.memory.held == make_experts(1, 2, 3)


def test_members_wait_for_a_coordinator_that_loads() -> None:
    """Symptom: a group with empty engines never gets its first weights.

    Sequence: members hear nothing but requests to load, each outbids the
    other before the first leave is given. Cause: loading taken for silence.
    """
    group = Group(3, None, wall=False, weights=True)
    # At the store's rate that takes twelve seconds.
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
    """Symptom: members together read more than the group's share.

    Sequence: any wants at any times; answers come late. Cause: leave given
    for wants, not for what the share has gathered.
    """
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
