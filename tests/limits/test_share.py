from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ospreyford.limits.messages import LeaseResponse
from ospreyford.limits.owners import EntryView, OwnerDirectory
from ospreyford.limits.settings import ShareSettings
from ospreyford.limits.share import EntryIdentity, LimitShare
from ospreyford.ports.peers import Handler
from tests.fakes.stepping import SteppedTask, Stepper, park

NAMES: tuple[str, ...] = ('x', 'y', 'z')
CUSTOMERS = ('c1', 'c2', 'c4')
SETTINGS = ShareSettings()
#: The full limit, with a tolerance for rounding.
FULL_LIMIT = 1 + 1e-9
HALF = 0.5
#: Lower bound on an even split between two entries, which is 0.467.
MIN_HALF_SHARE = 0.4
ENTRIES = st.sampled_from(NAMES)


class FakeEntry:
    """An entry with its clock, view and peer port."""

    def __init__(self, name: str, world: World, incarnation: int) -> None:
        self.name = name
        self.world = world
        self.live = world.reachable[name]
        self.task: SteppedTask | None = None
        self.paused = False
        self.handlers: dict[str, Handler] = {}
        self.share = LimitShare(
            SETTINGS,
            EntryIdentity(name, f'{name}-{incarnation}'),
            self,
            self,
            self,
        )

    def monotonic(self) -> float:
        return self.world.now + ord(self.name)

    def wall(self) -> float:
        return self.world.now

    async def sleep(self, seconds: float) -> None:
        await park('sleep')

    def view(self) -> EntryView:
        return EntryView({name: name for name in self.live}, len(NAMES))

    def serve(self, topic: str, handler: Handler) -> None:
        self.handlers[topic] = handler

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        query = PendingQuery(self.name, address, body, self.world.now + timeout)
        response: bytes | None = await park('ask', query)
        return response

    async def handle_query(self, body: bytes) -> bytes | None:
        return await self.handlers['limit-lease'](body)

    def get_fraction(self, customer: str) -> float:
        return self.share.get_fraction(customer, self.monotonic())


class PendingQuery:
    def __init__(
        self, sender: str, address: str, body: bytes, expires_at: float
    ) -> None:
        self.sender = sender
        self.address = address
        self.body = body
        self.expires_at = expires_at


class World:
    """Three entries, simulated time and the network between them."""

    def __init__(self) -> None:
        self.now = 0.0
        self.incarnation = 0
        self.reachable: dict[str, tuple[str, ...]] = dict.fromkeys(NAMES, NAMES)
        self.stepper = Stepper()
        self.lost_queries: list[PendingQuery] = []
        self.diverged_at: float | None = None
        self.entries = {name: FakeEntry(name, self, 0) for name in NAMES}

    def partition(self, alone: str | None) -> None:
        """Partition one entry from the rest, or heal the network."""
        self.update_all_views()
        rest = tuple(name for name in NAMES if name != alone)
        self.reachable = {name: rest for name in NAMES}
        if alone:
            self.reachable[alone] = (alone,)

    def update_view(self, name: str) -> None:
        """Update one entry's view to the entries it can reach."""
        entry = self.entries[name]
        if entry.live != self.reachable[name] and not entry.paused:
            entry.live = self.reachable[name]
            if self.diverged_at is None:
                self.diverged_at = self.now
        if all(
            entry.live == self.reachable[entry.name]
            for entry in self.entries.values()
        ):
            self.diverged_at = None

    def update_all_views(self) -> None:
        for name in NAMES:
            self.update_view(name)

    def advance(self, seconds: float) -> None:
        """Advance time; views converge within the configured time."""
        later = self.now + seconds
        diverged_at = self.diverged_at
        if (
            diverged_at is not None
            and later > diverged_at + SETTINGS.convergence_seconds
        ):
            self.update_all_views()
        for task in self.list_pending():
            if get_pending_query(task).expires_at < later:
                self.drop(task)
        self.now = later

    def list_pending(self) -> list[SteppedTask]:
        return self.stepper.parked('ask')

    def renew(self, name: str) -> None:
        entry = self.entries[name]
        if not entry.paused and (entry.task is None or entry.task.done):
            entry.task = self.stepper.spawn(name, entry.share.renew_leases())

    def deliver_query(self, query: PendingQuery) -> bytes | None:
        owner = self.entries[query.address]
        if owner.paused or query.sender not in self.reachable[query.address]:
            return None
        done = self.stepper.spawn('answer', owner.handle_query(query.body))
        response: bytes | None = done.answer
        return response

    def complete(self, task: SteppedTask) -> None:
        self.stepper.resume(task, self.deliver_query(get_pending_query(task)))

    def drop(self, task: SteppedTask) -> None:
        self.lost_queries.append(get_pending_query(task))
        self.stepper.resume(task, None)

    def restart(self, name: str) -> None:
        self.incarnation += 1
        task = self.entries[name].task
        if task and not task.done:
            self.stepper.kill(task)
        self.entries[name] = FakeEntry(name, self, self.incarnation)

    def run_rounds(self, rounds: int) -> None:
        """Renew the leases of every entry once per second."""
        for _ in range(rounds):
            for name in NAMES:
                self.renew(name)
            while self.list_pending():
                self.complete(self.list_pending()[0])
            self.advance(1)

    def total(self, customer: str) -> float:
        return sum(
            entry.get_fraction(customer)
            for entry in self.entries.values()
            if not entry.paused
        )


def get_pending_query(task: SteppedTask) -> PendingQuery:
    assert task.waiting
    query: Any = task.waiting.note
    assert isinstance(query, PendingQuery)
    return query


class ShareMachine(RuleBasedStateMachine):
    """Fractions never sum to more than the limit while views converge in time.

    Covers delay, loss, duplication, partition, restart and pause.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @initialize(entry=ENTRIES)
    def warm_up(self, entry: str) -> None:
        for customer in CUSTOMERS:
            self.demand(entry, customer, 5)
        self.world.run_rounds(7)

    @rule(
        entry=ENTRIES,
        customer=st.sampled_from(CUSTOMERS),
        count=st.sampled_from((1, 20, 200)),
    )
    def demand(self, entry: str, customer: str, count: int) -> None:
        one = self.world.entries[entry]
        for _ in range(count):
            one.share.record_demand(customer, one.monotonic())

    @rule(seconds=st.sampled_from((0.1, 0.4, 1.0, 2.9)))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(entry=ENTRIES)
    def renew(self, entry: str) -> None:
        self.world.renew(entry)

    @rule(rounds=st.integers(1, 6))
    def run_rounds(self, rounds: int) -> None:
        self.world.run_rounds(rounds)

    @precondition(lambda machine: machine.world.list_pending())
    @rule(which=st.integers(0, 2), answered=st.booleans())
    def end_question(self, which: int, answered: bool) -> None:
        pending = self.world.list_pending()
        task = pending[which % len(pending)]
        if not answered:
            # The query arrives, but the response is lost.
            self.world.deliver_query(get_pending_query(task))
            self.world.drop(task)
        else:
            self.world.complete(task)

    @precondition(lambda machine: machine.world.lost_queries)
    @rule(which=st.integers(0, 5))
    def repeat_question(self, which: int) -> None:
        lost = self.world.lost_queries
        self.world.deliver_query(lost[which % len(lost)])

    @rule(alone=st.sampled_from((None, *NAMES)))
    def cut(self, alone: str | None) -> None:
        self.world.partition(alone)

    @rule(entry=ENTRIES)
    def detect(self, entry: str) -> None:
        self.world.update_view(entry)

    @rule(entry=ENTRIES)
    def restart(self, entry: str) -> None:
        self.world.restart(entry)

    @rule(entry=ENTRIES)
    def pause(self, entry: str) -> None:
        self.world.entries[entry].paused = True

    @rule(entry=ENTRIES)
    def wake(self, entry: str) -> None:
        self.world.entries[entry].paused = False
        self.world.update_view(entry)

    @invariant()
    def never_more_than_the_limit(self) -> None:
        for customer in CUSTOMERS:
            assert self.world.total(customer) <= FULL_LIMIT


TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)


def generate_demand(world: World, name: str, rounds: int) -> None:
    for _ in range(rounds):
        entry = world.entries[name]
        for _ in range(10):
            entry.share.record_demand('c1', entry.monotonic())
        world.run_rounds(1)


def test_demand_at_one_entry_gets_all_but_the_reserve() -> None:
    world = World()
    generate_demand(world, 'x', 8)
    assert world.entries['x'].get_fraction('c1') == pytest.approx(
        0.867, abs=0.001
    )


def test_leases_follow_the_demand() -> None:
    world = World()
    generate_demand(world, 'x', 8)
    generate_demand(world, 'y', 12)
    assert world.entries['y'].get_fraction('c1') == pytest.approx(
        0.867, abs=0.001
    )


def test_each_side_of_a_partition_gets_its_fraction() -> None:
    world = World()
    generate_demand(world, 'x', 8)
    world.partition('x')
    world.update_all_views()
    generate_demand(world, 'x', 8)
    assert world.entries['x'].get_fraction('c1') == pytest.approx(
        0.333, abs=0.001
    )
    generate_demand(world, 'y', 8)
    assert world.entries['y'].get_fraction('c1') == pytest.approx(
        0.6, abs=0.001
    )


def find_owner(world: World) -> str:
    entry = world.entries['x']
    return OwnerDirectory('x', entry, SETTINGS, 0).find_owner('c1')


def start_with_lease() -> tuple[World, str, str, str]:
    """Lease all to one entry; return world, owner, holder and third entry."""
    world = World()
    owner = find_owner(world)
    holder, other = (name for name in NAMES if name != owner)
    generate_demand(world, holder, 8)
    assert world.entries[holder].get_fraction('c1') > HALF
    return world, owner, holder, other


def start_query(world: World, name: str) -> SteppedTask | None:
    """Record demand at an entry and start a lease query."""
    entry = world.entries[name]
    for _ in range(50):
        entry.share.record_demand('c1', entry.monotonic())
    world.renew(name)
    return entry.task if entry.task and not entry.task.done else None


def query_once(world: World, name: str) -> None:
    task = start_query(world, name)
    if task:
        world.complete(task)


def test_second_entry_gets_only_the_remainder() -> None:
    """Guards against granting beyond the limit when one entry holds all."""
    world, _, _, other = start_with_lease()
    query_once(world, other)
    assert world.total('c1') <= FULL_LIMIT


def test_restarted_owner_waits_for_its_leases_to_expire() -> None:
    """Guards against granting beyond the limit after the owner restarts."""
    world, owner, _, other = start_with_lease()
    world.restart(owner)
    query_once(world, other)
    assert world.total('c1') <= FULL_LIMIT


def test_new_owner_waits_for_earlier_leases_to_expire() -> None:
    """Guards against granting beyond the limit after an owner change."""
    world, owner, _, other = start_with_lease()
    world.partition(owner)
    world.update_all_views()
    query_once(world, other)
    assert world.total('c1') <= FULL_LIMIT


def test_resumed_owner_waits_for_leases_granted_during_its_pause() -> None:
    """Guards against an owner that resumes from a pause and grants again.

    Its view is unchanged, so it cannot tell that another owner took over.
    """
    world, owner, holder, other = start_with_lease()
    world.entries[owner].paused = True
    world.partition(owner)
    world.update_all_views()
    generate_demand(world, holder, 8)
    world.partition(None)
    world.entries[owner].paused = False
    world.update_all_views()
    query_once(world, other)
    assert world.total('c1') <= FULL_LIMIT


@pytest.mark.parametrize('pause', [2, 3, 3.5, 4.5, 5, 6])
@pytest.mark.parametrize('first', [0, 1])
def test_resumed_owner_waits_while_another_grants(
    pause: float, first: int
) -> None:
    """Guards against two owners granting at once after a pause.

    The new owner has begun to grant and does not yet see the first one back.
    """
    world, owner, holder, other = start_with_lease()
    world.renew(owner)
    world.entries[owner].paused = True
    world.partition(owner)
    world.update_all_views()
    for name in (holder, other):
        query_once(world, name)
    advance_with_queries(world, pause)
    world.reachable = dict.fromkeys(NAMES, NAMES)
    world.entries[owner].paused = False
    world.renew(owner)
    # The views converge within the configured time, but not immediately.
    world.diverged_at = world.now
    advance_with_queries(world, min(SETTINGS.convergence_seconds, 5.2 - pause))
    world.update_view((holder, other)[first])
    for name in (holder, other, holder, other):
        query_once(world, name)
        assert world.total('c1') <= FULL_LIMIT


def advance_with_queries(world: World, seconds: float) -> None:
    """Advance time while the running entries query one another."""
    until = world.now + seconds
    while world.now < until:
        for name in NAMES:
            if not world.entries[name].paused:
                query_once(world, name)
                assert world.total('c1') <= FULL_LIMIT
        world.advance(min(0.25, until - world.now))


def test_full_limit_is_granted_only_when_all_views_agree() -> None:
    """Guards against granting the full limit before all views agree.

    After a partition heals, the other side's owner may still grant.
    """
    world, owner, holder, _ = start_with_lease()
    world.partition(owner)
    world.update_all_views()
    generate_demand(world, holder, 8)
    world.partition(None)
    world.update_view(owner)
    query_once(world, owner)
    assert world.total('c1') <= FULL_LIMIT


def test_reduced_lease_counts_in_full_until_acknowledged() -> None:
    """Guards against granting beyond the limit when a reduction is lost."""
    world, _, holder, other = start_with_lease()
    query_once(world, other)
    task = start_query(world, holder)
    assert task
    world.deliver_query(get_pending_query(task))
    world.drop(task)
    query_once(world, other)
    assert world.total('c1') <= FULL_LIMIT


def test_lease_duration_counts_from_sending_the_query() -> None:
    """Guards against a lease that outlives the owner's record of it."""
    world, owner, holder, other = start_with_lease()
    task = start_query(world, holder)
    assert task
    response = world.deliver_query(get_pending_query(task))
    world.advance(0.4)
    world.stepper.resume(task, response)
    world.advance(1)
    # An owner that does not renew for three seconds counts as paused.
    world.renew(owner)
    world.advance(1.8)
    query_once(world, other)
    assert world.entries[other].get_fraction('c1') > HALF
    assert world.total('c1') <= FULL_LIMIT


def test_late_query_to_an_earlier_incarnation_drops_no_lease() -> None:
    """Guards against lease numbers of the owner's earlier incarnation.

    They are higher than the current ones, which would count as given up.
    """
    world, owner, holder, other = start_with_lease()
    generate_demand(world, holder, 20)
    task = start_query(world, holder)
    assert task
    late = get_pending_query(task)
    world.drop(task)
    world.restart(owner)
    generate_demand(world, holder, 8)
    query_once(world, other)
    world.deliver_query(late)
    query_once(world, other)
    assert world.total('c1') <= FULL_LIMIT


def test_entry_that_is_not_the_owner_grants_nothing() -> None:
    world, _, holder, other = start_with_lease()
    task = start_query(world, holder)
    assert task
    get_pending_query(task).address = other
    response = world.deliver_query(get_pending_query(task))
    assert response
    assert not msgspec.msgpack.decode(response, type=LeaseResponse).leases


def test_lease_expires_without_renewal() -> None:
    """Guards against using a lease after its end when renewal hangs."""
    world, _, holder, other = start_with_lease()
    world.advance(3.1)
    query_once(world, other)
    assert world.total('c1') <= FULL_LIMIT


def test_queries_keep_to_the_byte_rate() -> None:
    """Guards against lease queries exceeding the byte rate."""
    world = World()
    entry = world.entries['x']
    for number in range(5000):
        entry.share.record_demand(f'customer-{number}', entry.monotonic())
    sent = 0
    for _ in range(60):
        world.renew('x')
        while world.list_pending():
            task = world.list_pending()[0]
            sent += len(get_pending_query(task).body)
            world.complete(task)
        world.advance(1)
    assert sent <= 61 * SETTINGS.bytes_per_second


def test_malformed_messages_are_dropped() -> None:
    world = World()
    generate_demand(world, 'x', 8)
    done = world.stepper.spawn(
        'answer', world.entries['y'].handle_query(b'\xc1')
    )
    assert done.done
    assert done.answer is None
    before = world.entries['x'].get_fraction('c1')
    for _ in range(3):
        world.renew('x')
        for task in world.list_pending():
            world.stepper.resume(task, b'\xc1')
    assert world.entries['x'].get_fraction('c1') == pytest.approx(before)


def test_sparse_demand_keeps_its_fraction() -> None:
    """Guards against leases that follow single requests between entries."""
    world = World()
    for number in range(40):
        name = NAMES[number % 2]
        world.entries[name].share.record_demand('c1', 0)
        world.run_rounds(1)
        parts = [world.entries[one].get_fraction('c1') for one in NAMES[:2]]
        assert number < 20 or min(parts) > MIN_HALF_SHARE
