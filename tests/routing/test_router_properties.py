"""Invariants of the router under any sequence of events."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ospreyford.ports.fleet import Host, HostState, LoadReport
from ospreyford.routing.locality import Locality
from ospreyford.routing.pool import Pool
from ospreyford.routing.query import (
    AllLeaving,
    Attempt,
    Choice,
    Identity,
    NoBackend,
    NoCandidate,
    Outcome,
    Overloaded,
    Priority,
)
from ospreyford.routing.registry import BackendRegistry
from ospreyford.routing.router import Router
from ospreyford.routing.settings import BudgetSettings, RoutingSettings
from tests.routing.factories import (
    IDENTITY,
    make_hosts,
    make_query,
    make_router,
)

COUNT = 6
NUMBERS = st.integers(0, COUNT - 1)
MAX_LOAD = 8
BUDGET = BudgetSettings(retry_ratio=0.2, hedge_ratio=0.1, burst=3)


class RouterMachine(RuleBasedStateMachine):
    """Ejection never empties the pool; leaving backends are never chosen."""

    def __init__(self) -> None:
        super().__init__()
        self.router = make_router(max_load=MAX_LOAD, budget=BUDGET)
        self.twin = make_router(max_load=MAX_LOAD, budget=BUDGET)
        self.hosts = make_hosts(COUNT)
        self.now = 100.0
        self.draining: set[str] = set()
        self.running: Counter[str] = Counter()
        self.firsts = 0
        self.retries = 0
        self.hedges = 0
        self.choose(excluded=frozenset(), prefix=None, idempotent=True)

    @rule(
        excluded=st.frozensets(NUMBERS, max_size=2),
        prefix=st.sampled_from((None, b'p', b'q')),
        idempotent=st.booleans(),
    )
    def choose(
        self, excluded: frozenset[int], prefix: bytes | None, idempotent: bool
    ) -> None:
        names = frozenset(f'backend-{number}' for number in excluded)
        query = make_query(excluded=names, prefix=prefix, idempotent=idempotent)
        answer = self.router.choose(query, self.hosts, self.now)
        assert answer == self.twin.choose(query, self.hosts, self.now)
        live = {
            host.name for host in self.hosts if host.state is HostState.live
        }
        usable = live - names - self.draining
        match answer:
            case Choice(host, _):
                assert host.name in usable
                assert self.running[host.name] < MAX_LOAD
            case NoBackend(NoCandidate(), _):
                assert not live
            case NoBackend(AllLeaving(), _):
                assert not usable
            case NoBackend(Overloaded(Priority.normal), wait):
                assert usable
                assert wait > 0
                assert sum(self.running.values()) > 0

    @rule(number=NUMBERS)
    def send(self, number: int) -> None:
        name = f'backend-{number}'
        self.firsts += 1
        self.running[name] += 1
        for router in (self.router, self.twin):
            router.record_sent(name, self.now)

    @rule(number=NUMBERS, times=st.integers(1, 6))
    def retry(self, number: int, times: int) -> None:
        name = f'backend-{number}'
        for _ in range(times):
            spent = self.router.spend_retry(name)
            assert spent == self.twin.spend_retry(name)
            if spent:
                self.retries += 1
                self.running[name] += 1
                for router in (self.router, self.twin):
                    router.record_sent(name, self.now, Attempt.retry)

    @rule()
    def hedge(self) -> None:
        spent = self.router.spend_hedge()
        assert spent == self.twin.spend_hedge()
        self.hedges += spent

    @rule(
        number=NUMBERS,
        outcome=st.sampled_from(Outcome),
        seconds=st.sampled_from((0.1, 1.0, 9.0)),
        times=st.integers(1, 12),
    )
    def finish(
        self, number: int, outcome: Outcome, seconds: float, times: int
    ) -> None:
        name = f'backend-{number}'
        for _ in range(times):
            self.running[name] = max(0, self.running[name] - 1)
            for router in (self.router, self.twin):
                router.record_finished(name, outcome, seconds, self.now)

    @rule(count=st.integers(1, COUNT))
    def lose_network(self, count: int) -> None:
        for number in range(count):
            self.finish(number, Outcome.failed, 1, 5)

    @rule(number=NUMBERS, draining=st.booleans())
    def report(self, number: int, draining: bool) -> None:
        name = f'backend-{number}'
        load = LoadReport(incarnation='1', draining=draining)
        self.draining.discard(name)
        if draining:
            self.draining.add(name)
        for router in (self.router, self.twin):
            router.record_load(name, load, self.now)

    @rule(number=NUMBERS, state=st.sampled_from(HostState))
    def list_hosts(self, number: int, state: HostState) -> None:
        changed = self.hosts[number]._replace(state=state)
        hosts = list(self.hosts)
        hosts[number] = changed
        self.hosts = tuple(hosts)

    @rule(seconds=st.sampled_from((0.1, 3.0, 60.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def budgets_hold(self) -> None:
        assert self.retries <= BUDGET.burst + BUDGET.retry_ratio * self.firsts
        assert self.hedges <= BUDGET.burst + BUDGET.hedge_ratio * self.firsts


TestRouterMachine = RouterMachine.TestCase
TestRouterMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def list_subset(entry: str, hosts: tuple[Host, ...]) -> set[str]:
    """List the backends in an entry's subset."""
    sizes = RoutingSettings(local_size=6, spill_size=2)
    identity = Identity(entry, 'a', 'mn')
    find = partial(BackendRegistry(sizes).get_or_create, now=0)
    pool = Pool(hosts, 'drafting', Locality(identity), sizes, find)
    return {backend.host.name for backend in pool.backends}


def test_subset_changes_by_one_when_one_host_leaves() -> None:
    """Guards against reshuffled subsets when one host leaves."""
    hosts = make_hosts(90)
    before = list_subset(IDENTITY.name, hosts)
    assert len(before) == 8
    for gone in range(0, 90, 9):
        left = hosts[:gone] + hosts[gone + 1 :]
        assert len(before - list_subset(IDENTITY.name, left)) <= 1


def test_subsets_cover_the_zone() -> None:
    """Guards against backends that are in no entry's subset."""
    hosts = make_hosts(60)
    followers: Counter[str] = Counter()
    for number in range(40):
        followers.update(list_subset(f'entry-{number}', hosts))
    local = [host.name for host in hosts if host.zone == 'a']
    assert min(followers[name] for name in local) >= 3


def test_all_entries_agree_on_the_backend_of_a_prefix() -> None:
    """Guards against entries that disagree on the backend of a prefix."""
    hosts = make_hosts(12)
    query = make_query(prefix=b'letter')
    names = set()
    for number in range(12):
        identity = Identity(f'entry-{number}', 'abc'[number % 3], 'mn')
        router = Router(RoutingSettings(), identity, Random(number))
        answer = router.choose(query, hosts, 0)
        assert isinstance(answer, Choice)
        names.add(answer.host.name)
    assert len(names) == 1
