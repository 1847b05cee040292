"""Tests of the retry and hedge budgets of routing intents."""

from __future__ import annotations

from collections import Counter, defaultdict

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ospreyford.routing.budget import Allowance
from ospreyford.routing.query import Attempt, Outcome
from ospreyford.routing.router import Router
from ospreyford.routing.settings import BudgetSettings
from tests.routing.factories import make_hosts, make_query, make_router

BURST = 3
INTENTS = st.sampled_from(('counters', 'batch'))
RATIOS = st.sampled_from((0, 0.25, 0.5, 1))
HOSTS = make_hosts(2)


def make_budgeted_router(entry_ratio: float) -> Router:
    budget = BudgetSettings(
        retry_ratio=entry_ratio, hedge_ratio=entry_ratio, burst=BURST
    )
    router = make_router(budget=budget)
    router.choose(make_query(), HOSTS, 0)
    return router


class BudgetMachine(RuleBasedStateMachine):
    """No intent exceeds its budget while documents change."""

    def __init__(self) -> None:
        super().__init__()
        self.router = make_budgeted_router(entry_ratio=1)
        self.earned_retries: defaultdict[str, float] = defaultdict(float)
        self.earned_hedges: defaultdict[str, float] = defaultdict(float)
        self.retries: Counter[str] = Counter()
        self.hedges: Counter[str] = Counter()
        self.firsts = 0

    @rule(intent=INTENTS, retry=RATIOS, hedge=RATIOS, times=st.integers(1, 6))
    def send(self, intent: str, retry: float, hedge: float, times: int) -> None:
        allowance = Allowance(intent, retry, hedge)
        for _ in range(times):
            name = HOSTS[0].name
            self.router.record_sent(name, 0, Attempt.first, allowance)
            self.router.record_finished(name, Outcome.cancelled, 0, 0)
        self.firsts += times
        self.earned_retries[intent] += times * retry
        self.earned_hedges[intent] += times * hedge

    @rule(intent=INTENTS, ratio=RATIOS, times=st.integers(1, 6))
    def retry(self, intent: str, ratio: float, times: int) -> None:
        allowance = Allowance(intent, ratio, 0)
        spent = sum(
            self.router.spend_retry(HOSTS[0].name, allowance)
            for _ in range(times)
        )
        assert ratio or not spent
        self.retries[intent] += spent

    @rule(intent=INTENTS, ratio=RATIOS, times=st.integers(1, 6))
    def hedge(self, intent: str, ratio: float, times: int) -> None:
        allowance = Allowance(intent, 0, ratio)
        spent = sum(self.router.spend_hedge(allowance) for _ in range(times))
        assert ratio or not spent
        self.hedges[intent] += spent

    @invariant()
    def spends_no_more_than_earned(self) -> None:
        for intent, spent in self.retries.items():
            assert spent <= BURST + self.earned_retries[intent]
        for intent, spent in self.hedges.items():
            assert spent <= BURST + self.earned_hedges[intent]
        # The backend's budget and the entry's bound all intents together.
        assert self.retries.total() <= BURST + self.firsts
        assert self.hedges.total() <= BURST + self.firsts


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)


@pytest.mark.parametrize(
    ('ratio', 'allowed'),
    [
        (0, 0),
        (0.25, 3),
        (1, 3),
    ],
)
def test_intents_do_not_share_a_retry_budget(
    ratio: float, allowed: int
) -> None:
    """Guards against one intent using up another's retries."""
    router = make_budgeted_router(entry_ratio=1)
    mine, other = Allowance('mine', ratio, 0), Allowance('other', 1, 0)
    # Separate backends, since all intents share a backend's budget.
    while router.spend_retry(HOSTS[1].name, other):
        """Exhaust the other intent's budget."""
    spent = 0
    while router.spend_retry(HOSTS[0].name, mine):
        spent += 1
    assert spent == allowed


def test_entry_bounds_the_hedges_of_all_intents() -> None:
    router = make_budgeted_router(entry_ratio=0.5)
    spent = 0
    for intent in ('one', 'two', 'three'):
        spent += router.spend_hedge(Allowance(intent, 1, 1))
        spent += router.spend_hedge(Allowance(intent, 1, 1))
    assert spent == BURST
