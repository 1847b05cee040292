"""Loads and drops of one member, by the failure that each guard is for."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.expertmap.fencedengine import FencedEngine
from ospreyford.expertmap.acceptor import RankAcceptor
from ospreyford.expertmap.readcredits import CreditAllocator, ReadCredit, WeightLimits
from ospreyford.expertmap.maps import ExpertMap
from ospreyford.expertmap.messages import (
    Accepted,
    Extend,
    Install,
    Installed,
    Prepare,
    Request,
    Refused,
    decode_response,
    encode,
)
from ospreyford.expertmap.ports import EngineStatus, OrderOutcome
from ospreyford.expertmap.requiredexperts import RequiredExperts
from ospreyford.expertmap.weights import MemberWeights
from ospreyford.expertmap.windows import Ballot, Window
from ospreyford.ports.weights import Expert, Experts, Inventory
from ospreyford.standins.rankengine import RankEngine
from tests.expertmap.group import Group
from tests.fakes.clock import FakeClock

SIZE = 10
ROUNDING = 1e-6
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


def experts(*numbers: int) -> set[Expert]:
    return {Expert(0, number) for number in numbers}


class LateOrder(NamedTuple):
    """An order that has not reached the engine yet."""

    kind: str
    chosen: Experts
    fencing: int


class Member:
    """A keeper over one engine; orders meet the fate that a test sets."""

    def __init__(self, slots: int = 4) -> None:
        self.clock = FakeClock()
        self.engine = RankEngine('first')
        self.fate = 'applied'
        self.ordered: list[Any] = []
        self.late: list[LateOrder] = []
        self.serial = 0
        gate = FencedEngine(self)
        pace = WeightLimits(SIZE, SIZE, slots)
        self.weights = MemberWeights(0, pace, self, gate, self.clock)
        self.keeper = RankAcceptor(
            0, gate, self.clock, iter(range(1, 9)).__next__, self.weights
        )
        run(self.keeper.start())
        self.tell(Prepare(BALLOT))

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

    async def load(self, chosen: Experts, fencing: int) -> OrderOutcome:
        return self.order('load', chosen, fencing)

    async def drop(self, chosen: Experts, fencing: int) -> OrderOutcome:
        # What is being freed may not be counted on while the order is out.
        assert not chosen & self.weights.held
        return self.order('drop', chosen, fencing)

    def order(self, kind: str, chosen: Experts, fencing: int) -> OrderOutcome:
        self.ordered.append((kind, set(chosen)))
        if self.fate == 'late':
            self.late.append(LateOrder(kind, chosen, fencing))
            return OrderOutcome.unknown
        order = getattr(self.engine, kind)
        outcome: OrderOutcome = order(sorted(chosen), fencing)
        return outcome

    def apply_late(self) -> list[OrderOutcome]:
        """Let the orders that got no answer arrive."""
        return [
            getattr(self.engine, kind)(sorted(chosen), fencing)
            for kind, chosen, fencing in self.late
        ]

    def tell(self, question: Request) -> Any:
        return decode_response(run(self.keeper.handle(encode(question))))

    def install(self, expert_map: ExpertMap, **changes: Any) -> Any:
        self.serial += 1
        fields: dict[str, Any] = {
            'ballot': BALLOT,
            'incarnation': self.keeper.incarnation,
            'serial': self.serial,
            'allowed': 1000,
            **changes,
        }
        leave = ReadCredit(**fields)
        return self.tell(Install(expert_map.name(), expert_map, leave))

    def tend(self) -> None:
        run(self.keeper.readiness.reconcile_weights(self.keeper))

    def read_store(self) -> None:
        for one in list(self.engine.memory.queue):
            self.engine.memory.arrive(one, SIZE)

    def bring(self, expert_map: ExpertMap) -> Any:
        """Load and install a map."""
        self.install(expert_map)
        self.tend()
        self.read_store()
        self.tend()
        return self.install(expert_map)

    def extend(
        self, index: int, expert_map: ExpertMap, released: ExpertMap | None
    ) -> Any:
        """Propose a window, and release the one before with its map."""
        before = None if released is None else make_window(index - 1, released)
        return self.tell(
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


def run(coro: Coroutine[Any, Any, Any]) -> Any:
    with pytest.raises(StopIteration) as stop:
        coro.send(None)
    return stop.value.value


def step_on_first() -> Member:
    """Make a member whose engine may run windows 0 and 1 on the first map."""
    member = Member()
    assert member.bring(FIRST).loaded
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
    member.tend()
    assert member.engine.memory.queue == sorted(experts(0, 1))
    # Known to the engine, as by an agent that went before.
    run(member.keeper.engine.install_map(FIRST.name(), FIRST))
    assert member.extend(0, FIRST, None) == refusal
    member.read_store()
    member.tend()
    assert member.install(FIRST).loaded
    assert isinstance(member.extend(0, FIRST, None), Accepted)


def test_old_copies_stay_until_the_new_map_runs() -> None:
    """Symptom: a rank lacks an expert that its old window needs.

    Sequence: the new map is loaded, accepted, released; only then do steps
    reach it. Cause: the drop is ordered at one of the earlier moments.
    """
    member = step_on_first()
    assert member.bring(SECOND).loaded
    for index, released in ((3, FIRST), (4, SECOND)):
        member.extend(index, SECOND, released)
        member.tend()
        assert member.weights.held == experts(0, 1, 2)
    member.run_steps(12)
    member.tend()
    assert member.weights.held == experts(0, 1, 2)
    member.run_steps(13)
    member.tend()
    assert member.ordered[-1] == ('drop', experts(1))
    assert member.engine.memory.held == experts(0, 2)
    member.run_steps(16)


def test_accepted_map_keeps_its_weights() -> None:
    """Symptom: a window that all accepted can't be run by one of them.

    Sequence: a map is accepted; a later plan replaces it as the one to load
    for. Cause: only what is granted and what is loaded for counts as needed.
    """
    member = step_on_first()
    assert member.bring(SECOND).loaded
    member.extend(3, SECOND, FIRST)
    member.install(THIRD)
    member.run_steps(1)
    member.tend()
    assert member.weights.held == experts(0, 1, 2)


def test_unknown_map_may_need_anything() -> None:
    wanted = RequiredExperts(0)
    wanted.set_target(FIRST.name(), FIRST)
    present = frozenset(experts(0, 1, 2))
    assert wanted.find_unneeded(present, [FIRST.name()]) == experts(2)
    assert not wanted.find_unneeded(present, [FIRST.name(), SECOND.name()])


def test_unanswered_drop_is_not_counted_on() -> None:
    """Symptom: a rank steps on a map just as its weights are freed.

    Sequence: a plan is replaced, the drop of what was read for it gets no
    answer; the plan comes back and is accepted; the drop arrives. Cause: the
    inventory, read before it arrived, is taken for the last word.
    """
    member = step_on_first()
    assert member.bring(SECOND).loaded
    member.install(THIRD)
    member.run_steps(1)
    member.fate = 'late'
    member.tend()
    assert member.late[0][:2] == ('drop', frozenset(experts(2)))
    member.install(SECOND)
    member.tend()
    refusal = Installed(held=True, loaded=False)
    assert member.extend(3, SECOND, FIRST) == refusal
    member.fate = 'applied'
    member.tend()
    assert set(member.apply_late()) == {OrderOutcome.refused}
    member.tend()
    assert isinstance(member.extend(3, SECOND, FIRST), Accepted)


@pytest.mark.parametrize(
    ('changes', 'answer'),
    [
        # A coordinator that was outbid.
        ({'ballot': Ballot()}, Refused(BALLOT)),
        # Meant for an earlier life of this member.
        ({'incarnation': 77}, Refused(BALLOT)),
        # Late or doubled.
        ({'serial': 1}, None),
    ],
)
def test_late_or_foreign_leave_changes_nothing(
    changes: dict[str, Any], answer: Any
) -> None:
    """Symptom: weights of a plan that was replaced are read or freed.

    Sequence: an order of the earlier plan arrives late. Cause: it is taken
    for the newest.
    """
    member = Member()
    member.install(FIRST)
    member.install(SECOND)
    assert member.install(FIRST, **changes) == answer
    member.tend()
    assert member.ordered == [('load', experts(0, 2))]


def test_reads_stay_within_leave_and_store() -> None:
    """Symptom: the store is read faster than the group's share.

    Sequence: leave for one expert; the store puts the read off, then breaks
    it; the engine's process is replaced. Cause: reads are not counted, or
    ordered again at once.
    """
    member = Member()
    assert member.install(FIRST, allowed=SIZE).wants == 1
    member.tend()
    assert member.engine.memory.queue == [Expert(0, 0)]
    member.engine.memory.refuse(retry_after=3)
    member.tend()
    assert len(member.ordered) == 1
    # Nothing was read, so the same leave serves.
    member.clock.advance(3)
    member.tend()
    assert member.ordered[1:] == [('load', experts(0))]
    member.engine.memory.fail()
    member.clock.advance(60)
    member.tend()
    member.clock.advance(60)
    member.tend()
    assert len(member.ordered) == 2
    # The leave is spent: part of the expert may have been read.
    assert member.install(FIRST, allowed=SIZE).wants == 2


def test_replaced_engine_loads_again() -> None:
    """Symptom: a rank whose engine lost its weights steps without them.

    Sequence: the engine's process is replaced. Cause: the agent goes on by
    the inventory of the earlier one.
    """
    member = step_on_first()
    member.engine = RankEngine('second')
    member.tend()
    assert member.weights.held
    run(member.keeper.read_status())
    assert not member.weights.held
    # Leave of its earlier life doesn't count, as that spent some of it.
    assert member.install(FIRST, incarnation=1) == Refused(BALLOT)
    assert not member.install(FIRST).loaded
    member.tend()
    member.read_store()
    member.tend()
    assert member.install(FIRST).loaded


def test_memory_holds_old_new_and_under_way() -> None:
    """Symptom: an engine is ordered to hold more than its memory takes.

    Sequence: a plan is replaced while its expert is being read. Cause: only
    what is held is counted.
    """
    member = Member(slots=3)
    member.bring(FIRST)
    member.extend(0, FIRST, None)
    member.extend(1, FIRST, FIRST)
    member.run_steps(1)
    member.install(SECOND)
    member.tend()
    assert member.engine.memory.queue == [Expert(0, 2)]
    member.install(THIRD)
    member.tend()
    assert member.engine.memory.queue == [Expert(0, 2)]
    member.read_store()
    member.tend()
    assert member.engine.memory.held == experts(0, 1)
    member.tend()
    assert member.engine.memory.queue == [Expert(0, 3)]


def test_group_that_forms_anew_frees_what_is_in_the_way() -> None:
    """Symptom: a group stands for good, its engines full of weights.

    Sequence: every agent is replaced, and the first map that they agree on
    isn't the one that the engines hold. Cause: nothing is freed before a
    step of the new map, and there is none without room for its weights.
    """
    member = Member(slots=2)
    member.engine.memory.held = experts(1, 3)
    member.install(FIRST)
    for _ in range(3):
        member.tend()
    assert member.engine.memory.held == experts(1)
    assert member.engine.memory.queue == [Expert(0, 0)]


@pytest.mark.parametrize('taken', [0, 1, 2])
def test_engine_keeps_maps_of_unknown_content(taken: int) -> None:
    """Symptom: a restarted agent frees what its group still steps on.

    Sequence: the agent is new, its engine holds weights. Cause: what no
    known map needs is taken for spare.
    """
    member = Member()
    member.engine.memory.held = experts(1, 2, 3)
    for expert_map in (FIRST, SECOND)[:taken]:
        member.install(expert_map)
    for _ in range(3):
        member.tend()
    assert member.engine.memory.held == experts(1, 2, 3)


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
    group.flow(600)
    promised = group.processes[0].service.acceptor.promised
    assert promised.number <= 3
    assert all(engine.step for engine in group.engines)


TAKES = st.tuples(st.floats(0, 3), st.integers(0, 3))


@given(takes=st.lists(TAKES, max_size=30))
@settings(derandomize=True, database=None, max_examples=60)
def test_allotment_stays_within_the_share(
    takes: Any,
) -> None:
    """Symptom: members together read more than the group's share.

    Sequence: any wants at any times; answers come late. Cause: leave given
    for wants, not for what the share has gathered.
    """
    allotment = CreditAllocator(WeightLimits(SIZE, SIZE, 4), BALLOT, 0)
    allotment.set_incarnations([1, 2])
    now = 0.0
    for seconds, wants in takes:
        now += seconds
        allotment.record_needed(wants % 2, wants)
        allotment.allocate(now)
        allowed = [allotment.make_credit(slot).allowed_bytes for slot in range(2)]
        share = SIZE * now
        assert sum(allowed) <= share + ROUNDING
